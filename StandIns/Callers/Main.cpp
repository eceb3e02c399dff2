// standin-callers: simulates many callers in one process. Reads a plan (JSON: port classes with endpoint, rate and kind
// of flow), opens flows through the fabric for the given time, waits for them to finish and writes a report.

#include "CallerFlow.h"
#include <Common/EventLoop.h>
#include <Common/ProgramOptions.h>
#include <Common/UdpSocket.h>
#include <fstream>
#include <unordered_map>

namespace {

using namespace StandIn;

constexpr Base::milliseconds tickInterval { 5 };
/// Callers use the addresses from 10.0.0.1 upwards, each with one port range.
constexpr uint32_t firstCallerAddress = 0x0A000001;
constexpr uint16_t firstCallerPort = 10'000;
constexpr uint16_t portsPerCaller = 50'000;

int64_t wallMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

PortClassPlan readPortClassPlan(const nlohmann::json& json)
{
    return {
        .service = json.at("service"),
        .portClass = json.at("class"),
        .endpoint = Ipv4Endpoint::parse(json.at("endpoint").get<std::string>()).value(),
        .transport = json.value("transport", "tcp") == "udp" ? Transport::Udp : Transport::Tcp,
        .idempotent = json.value("idempotent", false),
        .flowsPerSecond = json.at("flows_per_second"),
        .longLivedShare = json.value("long_lived_share", 0.0),
        .longLivedRequests = json.value("long_lived_requests", 20U),
        .pauseBetweenRequests = Base::milliseconds(json.value("pause_ms", 500)),
        .deadline = Base::milliseconds(json.value("deadline_ms", 2000)),
    };
}

/// Opens and drives the flows of all callers of the process.
class Callers {
public:
    Callers(EventLoop& loop, UdpSocket socket, Ipv4Endpoint fabric, std::vector<PortClassPlan> plans, uint64_t seed)
        : loop_(loop)
        , socket_(std::move(socket))
        , fabric_(fabric)
        , plans_(std::move(plans))
        , statistics_(plans_.size())
        , dueFlows_(plans_.size(), 0.0)
        , random_(seed)
    {
        loop_.watch(socket_.descriptor(), [this] { receiveAll(); });
        loop_.every(tickInterval, [this] { tick(); });
    }

    void stopOpeningFlows()
    {
        isOpeningFlows_ = false;
        for (auto& [endpoint, flow] : flows_)
            flow->finishAfterCurrentRequest();
    }

    bool isIdle() const { return !isOpeningFlows_ && flows_.empty(); }

    nlohmann::json report() const
    {
        auto classes = nlohmann::json::array();
        for (std::size_t index = 0; index < plans_.size(); ++index) {
            auto entry = statistics_[index].toJson();
            entry["service"] = plans_[index].service;
            entry["class"] = plans_[index].portClass;
            classes.push_back(std::move(entry));
        }
        return { { "classes", classes } };
    }

private:
    void receiveAll()
    {
        while (auto datagram = socket_.receive()) {
            const auto packet = parse(datagram->bytes);
            if (!packet)
                continue;
            const auto found = flows_.find(packet->transport == Transport::Icmp ? packet->source : packet->destination);
            if (found != flows_.end())
                found->second->receive(loop_.now(), *packet);
        }
    }

    void tick()
    {
        for (std::size_t index = 0; isOpeningFlows_ && index < plans_.size(); ++index) {
            dueFlows_[index] += plans_[index].flowsPerSecond * Base::toSeconds(tickInterval) * 2 * random_.unit();
            for (; dueFlows_[index] >= 1; dueFlows_[index] -= 1)
                openFlow(index);
        }
        for (auto& [endpoint, flow] : flows_)
            flow->tick(loop_.now());
        std::erase_if(flows_, [](const auto& entry) { return entry.second->hasEnded(); });
    }

    void openFlow(std::size_t index)
    {
        const auto id = nextFlow_++;
        const Ipv4Endpoint caller { .address = { firstCallerAddress + static_cast<uint32_t>(id / portsPerCaller) },
            .port = static_cast<uint16_t>(firstCallerPort + id % portsPerCaller) };
        flows_[caller] = std::make_unique<CallerFlow>(
            CallerFlow::Options {
                .id = id,
                .plan = &plans_[index],
                .caller = caller,
                .longLived = random_.chance(plans_[index].longLivedShare),
                .initialSequence = static_cast<uint32_t>(random_.next()),
                .sendPacket = [this](const WirePacket& packet) { socket_.send(fabric_, serialize(packet)); },
                .nextRequestId = [this] { return nextRequest_++; },
                .wallMilliseconds = wallMilliseconds,
                .statistics = &statistics_[index],
            },
            loop_.now());
    }

    EventLoop& loop_;
    UdpSocket socket_;
    Ipv4Endpoint fabric_;
    std::vector<PortClassPlan> plans_;
    std::vector<PortClassStatistics> statistics_;
    std::vector<double> dueFlows_;
    Base::Random random_;
    std::unordered_map<Ipv4Endpoint, std::unique_ptr<CallerFlow>> flows_;
    uint64_t nextFlow_ { 0 };
    uint64_t nextRequest_ { 1 };
    bool isOpeningFlows_ { true };
};

int runCallers(const cxxopts::ParseResult& arguments)
{
    std::vector<PortClassPlan> plans;
    for (const auto& entry : nlohmann::json::parse(std::ifstream(arguments["plan"].as<std::string>())))
        plans.push_back(readPortClassPlan(entry));
    EventLoop loop;
    Callers callers(loop, UdpSocket::create(0).value(),
        Ipv4Endpoint::parse(arguments["fabric"].as<std::string>()).value(), std::move(plans),
        arguments["seed"].as<uint64_t>());
    const auto duration = std::chrono::seconds(arguments["seconds"].as<unsigned>());
    const auto drain = std::chrono::seconds(arguments["drain-seconds"].as<unsigned>());
    loop.after(duration, [&] { callers.stopOpeningFlows(); });
    loop.every(std::chrono::milliseconds(100), [&] {
        if (callers.isIdle())
            loop.stop();
    });
    loop.after(duration + drain, [&] { loop.stop(); });
    loop.run();
    writeFile(arguments["report"].as<std::string>(), callers.report().dump());
    return 0;
}

}

int main(int argc, char** argv)
{
    cxxopts::Options options("standin-callers", "Opens flows through the fabric and reports what became of them.");
    options.add_options()("plan", "JSON file that names the classes", cxxopts::value<std::string>());
    options.add_options()("fabric", "the fabric's endpoint for callers", cxxopts::value<std::string>());
    options.add_options()("report", "file to write the report to", cxxopts::value<std::string>());
    options.add_options()("seconds", "how long flows are opened", cxxopts::value<unsigned>()->default_value("10"));
    options.add_options()(
        "drain-seconds", "longest wait for open flows after that", cxxopts::value<unsigned>()->default_value("10"));
    options.add_options()("seed", "seed of every random choice", cxxopts::value<uint64_t>()->default_value("1"));
    return StandIn::runProgram(argc, argv, std::move(options), runCallers);
}
