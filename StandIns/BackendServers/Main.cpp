// standin-backends: simulates many backend servers in one process, each with its own tunnel socket and management port.
// Reads a plan (JSON: [{"name", "service", "failure_domain", "slots", "connections"}]), writes the endpoints assigned
// by the kernel to a file, and on SIGTERM writes a report of the executed requests.

#include "ManagementServer.h"
#include <Common/ProgramOptions.h>
#include <fstream>

namespace {

using namespace StandIn;

constexpr Base::milliseconds balancerListRefreshInterval { 50 };

std::unique_ptr<BackendServer> makeBackendServer(const nlohmann::json& plan, uint64_t seed,
    const std::shared_ptr<SprayList>& balancers, const std::shared_ptr<WorkLedger>& ledger)
{
    return std::make_unique<BackendServer>(BackendServer::Options {
        .name = plan.at("name"),
        .service = plan.at("service"),
        .failureDomain = plan.at("failure_domain"),
        .slots = plan.value("slots", 2U),
        .connections = plan.value("connections", 2000U),
        .serviceTime = Base::microseconds(plan.value("service_time_us", 8000)),
        .seed = seed,
        .tunnel = UdpSocket::create(0).value(),
        .balancers = balancers,
        .ledger = ledger,
    });
}

nlohmann::json describeEndpoints(
    const std::vector<std::unique_ptr<BackendServer>>& servers, const std::vector<int>& managementPorts)
{
    auto endpoints = nlohmann::json::array();
    for (std::size_t index = 0; index < servers.size(); ++index) {
        endpoints.push_back(
            { { "name", servers[index]->name() }, { "tunnel", servers[index]->tunnelEndpoint().toString() },
                { "management", "127.0.0.1:" + std::to_string(managementPorts[index]) } });
    }
    return endpoints;
}

nlohmann::json finalReport(const std::vector<std::unique_ptr<BackendServer>>& servers, const WorkLedger& ledger)
{
    auto reports = nlohmann::json::array();
    for (const auto& server : servers)
        reports.push_back(server->report());
    return { { "backend_servers", reports }, { "doubled", ledger.duplicateExecutionCount() },
        { "wrong_service", ledger.misroutedCount() }, { "started", ledger.startedIdentifiers() } };
}

int runBackendServers(const cxxopts::ParseResult& arguments)
{
    const auto seed = arguments["seed"].as<uint64_t>();
    const auto plan = nlohmann::json::parse(std::ifstream(arguments["plan"].as<std::string>()));
    auto balancers = std::make_shared<SprayList>(arguments["balancers"].as<std::string>(), seed);
    auto ledger = std::make_shared<WorkLedger>();
    std::vector<std::unique_ptr<BackendServer>> servers;
    std::vector<const BackendServer*> views;
    EventLoop loop;
    for (const auto& entry : plan) {
        servers.push_back(makeBackendServer(entry, seed + servers.size() + 1, balancers, ledger));
        servers.back()->attachTo(loop);
        views.push_back(servers.back().get());
    }
    ManagementServer management(views);
    writeFile(arguments["endpoints"].as<std::string>(), describeEndpoints(servers, management.ports()).dump(2));
    loop.every(balancerListRefreshInterval, [&] { balancers->refresh(); });
    loop.run();
    writeFile(arguments["report"].as<std::string>(), finalReport(servers, *ledger).dump());
    return 0;
}

}

int main(int argc, char** argv)
{
    cxxopts::Options options("standin-backends", "Backend servers that take encapsulated packets.");
    options.add_options()("plan", "JSON file that names the backend servers", cxxopts::value<std::string>());
    options.add_options()("balancers", "file with one balancer data endpoint a line", cxxopts::value<std::string>());
    options.add_options()("endpoints", "file to write the bound endpoints to", cxxopts::value<std::string>());
    options.add_options()("report", "file to write the final report to", cxxopts::value<std::string>());
    options.add_options()("seed", "seed of every random choice", cxxopts::value<uint64_t>()->default_value("1"));
    return StandIn::runProgram(argc, argv, std::move(options), runBackendServers);
}
