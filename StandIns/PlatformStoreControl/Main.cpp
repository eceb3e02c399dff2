/// standin-storectl: injects faults into standin-store, reads its call counts and edits its VM list.

#include <StoreControl.grpc.pb.h>
#include <cstdio>
#include <cxxopts.hpp>
#include <grpcpp/grpcpp.h>
#include <map>
#include <string>
#include <vector>

namespace {

namespace Wire = eelgrasshatch::store;

constexpr int exitFailure = 1;
constexpr int exitUsage = 2;
constexpr std::chrono::seconds callTimeout { 5 };

/// Stub of the store's control service and the context of one call.
struct Call {
    explicit Call(const std::string& endpoint)
        : stub(Wire::StoreControl::NewStub(grpc::CreateChannel(endpoint, grpc::InsecureChannelCredentials())))
    {
        context.set_deadline(std::chrono::system_clock::now() + callTimeout);
    }

    std::unique_ptr<Wire::StoreControl::Stub> stub;
    grpc::ClientContext context;
};

int finish(const grpc::Status& status)
{
    if (status.ok())
        return 0;
    std::fprintf(stderr, "standin-storectl: %s\n", status.error_message().c_str());
    return exitFailure;
}

int setFaults(Call& call, const cxxopts::ParseResult& arguments)
{
    static const std::map<std::string, Wire::Faults::Outage> outages { { "none", Wire::Faults::NONE },
        { "refusing", Wire::Faults::REFUSING }, { "silent", Wire::Faults::SILENT } };
    const auto outage = outages.find(arguments["outage"].as<std::string>());
    if (outage == outages.end()) {
        std::fprintf(stderr, "standin-storectl: --outage: expected none, refusing or silent\n");
        return exitUsage;
    }
    Wire::Faults faults;
    faults.set_outage(outage->second);
    faults.set_delay_ms(arguments["delay-ms"].as<uint32_t>());
    faults.set_lost_answers_permille(arguments["lost-permille"].as<uint32_t>());
    faults.set_stale_reads_permille(arguments["stale-permille"].as<uint32_t>());
    faults.set_vm_list_lag_ms(arguments["vm-lag-ms"].as<uint32_t>());
    Wire::Faults answer;
    return finish(call.stub->SetFaults(&call.context, faults, &answer));
}

int printCounts(Call& call, const cxxopts::ParseResult& arguments)
{
    Wire::CountsRequest request;
    request.set_reset(arguments.count("reset") > 0);
    Wire::Counts counts;
    const auto status = call.stub->GetCounts(&call.context, request, &counts);
    const std::map<std::string, uint64_t> sorted(counts.calls().begin(), counts.calls().end());
    for (const auto& [name, count] : sorted)
        std::printf("%s %llu\n", name.c_str(), static_cast<unsigned long long>(count));
    std::printf("waiting_watches %u\n", counts.waiting_watches());
    return finish(status);
}

int editVm(Call& call, const std::vector<std::string>& words, bool leaving)
{
    Wire::Vm vm;
    vm.set_control_endpoint(words[2]);
    Wire::ControlAnswer answer;
    if (words[1] == "remove")
        return finish(call.stub->RemoveVm(&call.context, vm, &answer));
    if (words[1] != "put" || words.size() != 5)
        return exitUsage;
    vm.set_failure_domain(words[3]);
    vm.set_region(words[4]);
    vm.set_leaving(leaving);
    return finish(call.stub->PutVm(&call.context, vm, &answer));
}

int runCommand(const cxxopts::ParseResult& arguments)
{
    const auto words = arguments["words"].as<std::vector<std::string>>();
    Call call(arguments["endpoint"].as<std::string>());
    if (words[0] == "faults")
        return setFaults(call, arguments);
    if (words[0] == "counts")
        return printCounts(call, arguments);
    if (words[0] == "vm" && words.size() >= 3)
        return editVm(call, words, arguments.count("leaving") > 0);
    return exitUsage;
}

cxxopts::Options commandLine()
{
    cxxopts::Options options("standin-storectl", "Turns the switches of standin-store");
    options.positional_help("faults | counts | vm put ENDPOINT DOMAIN REGION | vm remove ENDPOINT");
    auto number = [] { return cxxopts::value<uint32_t>()->default_value("0"); };
    options.add_options()("endpoint", "the store's ADDRESS:PORT", cxxopts::value<std::string>());
    options.add_options()("outage", "none, refusing or silent", cxxopts::value<std::string>()->default_value("none"));
    options.add_options()("delay-ms", "added to each call", number());
    options.add_options()("lost-permille", "writes that take effect without an answer, of 1000", number());
    options.add_options()("stale-permille", "reads answered with the previous value, of 1000", number());
    options.add_options()("vm-lag-ms", "time by which the VM list lags", number());
    options.add_options()("reset", "counts: set to zero after reading")("leaving", "vm put: listed as leaving");
    options.add_options()("words", "command", cxxopts::value<std::vector<std::string>>());
    options.add_options()("help", "this page");
    options.parse_positional("words");
    return options;
}

}

int main(int argc, char** argv)
{
    try {
        auto options = commandLine();
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::printf("%s\n", options.help().c_str());
            return 0;
        }
        if (arguments.count("endpoint") > 0 && arguments.count("words") > 0) {
            const auto code = runCommand(arguments);
            if (code != exitUsage)
                return code;
        }
        std::fprintf(stderr, "%s\n", options.help().c_str());
        return exitUsage;
    } catch (const cxxopts::exceptions::exception& exception) {
        std::fprintf(stderr, "standin-storectl: %s\n", exception.what());
        return exitUsage;
    }
}
