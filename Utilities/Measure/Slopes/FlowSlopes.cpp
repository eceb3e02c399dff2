#include "../ResourceUse.h"
#include "SampleConfiguration.h"
#include "SlopeSeries.h"
#include <LibBase/Verify.h>
#include <LibFlow/FlowDecider.h>
#include <LibFlow/Process/FlowStatistics.h>

namespace Measure {

namespace {

    constexpr std::size_t flowBackendServers = 300;
    constexpr uint32_t connectionsForSlopes = 1'000'000;
    constexpr std::size_t sampledPackets = 200'000;
    constexpr int sampledTicks = 200;
    constexpr std::size_t domainCount = 4;
    constexpr double targetBackendServers = 28'000;
    constexpr double targetBalancers = 3400;
    constexpr Base::milliseconds tickPeriod { 10 };
    constexpr Base::seconds settleTime { 60 };
    constexpr uint32_t firstCallerAddress = 0x0A000001;
    constexpr std::size_t portsPerCaller = 50'000;
    constexpr uint16_t firstCallerPort = 10'000;

    /// A single balancer that owns every backend server and processes generated packets.
    class SoleBalancer {
    public:
        SoleBalancer(std::size_t backendServers, std::size_t maximumFlows, uint64_t seed)
        {
            auto configuration = sampleConfiguration(backendServers);
            for (auto& [name, service] : configuration.services) {
                for (auto& server : service.backendServers) {
                    server.connections = connectionsForSlopes;
                    server.warmUp = Base::milliseconds(0);
                }
            }
            configuration_ = std::make_shared<const Configuration::Snapshot>(std::move(configuration));
            auto created = Base::capture([&] {
                return Flow::FlowDecider::create(
                    { .self = self, .failureDomain = "domain-0", .seed = seed, .maximumFlows = maximumFlows });
            });
            VERIFY(created.isOk());
            decider_ = std::move(*created.value);
        }

        /// Enforces the configuration, with the given number of other balancers distributed over the failure domains.
        void configure(std::size_t otherBalancers = 0)
        {
            Flow::PeerView& view = view_;
            view = { .version = 1, .peers = { { .id = self, .incarnation = 1, .failureDomain = "domain-0" } } };
            for (std::size_t index = 1; index <= otherBalancers; ++index) {
                view.peers.push_back({ .id = { self.value + index },
                    .incarnation = 1,
                    .failureDomain = "domain-" + std::to_string(index % domainCount) });
            }
            VERIFY(!Base::captureError([&] { return decider_->setPeers(now_, view); }));
            VERIFY(!Base::captureError([&] { return decider_->setConfiguration(now_, configuration_); }));
            settle();
        }

        /// Advances the time until the balancer no longer expects flows that were established before its start.
        void settle()
        {
            for (Base::nanoseconds passed { 0 }; passed < settleTime; passed += tickPeriod)
                tick();
        }

        /// Enforces the configuration under the next revision, with one weight changed.
        void reconfigure()
        {
            auto next = *configuration_;
            next.revision.value++;
            auto& service = next.services.begin()->second;
            service.changedAt = next.revision;
            auto& weight = service.backendServers.front().weight;
            weight = weight == 100 ? 50 : 100;
            configuration_ = std::make_shared<const Configuration::Snapshot>(std::move(next));
            const auto before = threadProcessorTime();
            VERIFY(!Base::captureError([&] { return decider_->setConfiguration(now_, configuration_); }));
            reconfigureTime_ += threadProcessorTime() - before;
        }

        /// Restarts another balancer in the same failure domain and returns the processor time that this costs here.
        Base::nanoseconds restartPeer()
        {
            ++view_.version;
            for (auto& peer : view_.peers) {
                if (peer.id != self && peer.failureDomain == "domain-0") {
                    ++peer.incarnation;
                    break;
                }
            }
            const auto before = threadProcessorTime();
            VERIFY(!Base::captureError([&] { return decider_->setPeers(now_, view_); }));
            return threadProcessorTime() - before;
        }

        /// Opens flows until the given number is established.
        void openFlows(std::size_t count)
        {
            for (; opened_ < count; ++opened_)
                openFlow(opened_);
        }

        void sendMidFlow(std::size_t flow)
        {
            handle({ .packet = { .key = keyOf(flow), .flags = { .ack = true }, .payloadLength = 100 },
                .token = nextToken_++ });
        }

        void tick()
        {
            now_ += tickPeriod;
            actions_.clear();
            decider_->handleTick(now_, actions_);
        }

        std::size_t openedFlows() const { return opened_; }
        Base::nanoseconds reconfigureTime() const { return reconfigureTime_; }
        uint64_t flowsHeld() const { return decider_->statistics().flowsHeld; }

    private:
        static constexpr Base::EntryVmId self { 1 };

        Packet::FlowKey keyOf(std::size_t flow) const
        {
            const auto services = configuration_->services.size();
            const auto service = flow % services;
            return {
                .caller = { .address = { firstCallerAddress + static_cast<uint32_t>(flow / portsPerCaller) },
                    .port = static_cast<uint16_t>(firstCallerPort + flow % portsPerCaller) },
                .service = { .address = { 0x0A800001 + static_cast<uint32_t>(service) }, .port = 443 },
            };
        }

        void openFlow(std::size_t flow)
        {
            handle({ .packet = { .key = keyOf(flow), .flags = { .syn = true } }, .token = nextToken_++ });
            Base::BackendServerId server;
            for (const auto& action : actions_) {
                if (const auto* forward = std::get_if<Flow::ForwardToBackendServer>(&action))
                    server = forward->backendServer;
            }
            if (!server.isValid())
                return;
            handle({ .packet = { .key = keyOf(flow),
                         .direction = Packet::Direction::ToCaller,
                         .flags = { .syn = true, .ack = true } },
                .token = nextToken_++,
                .backendServer = server });
            handle({ .packet = { .key = keyOf(flow), .flags = { .ack = true } }, .token = nextToken_++ });
            if (flow % 1000 == 0)
                tick();
        }

        void handle(const Flow::PacketEvent& event)
        {
            actions_.clear();
            decider_->handlePacket(now_, event, actions_);
        }

        Flow::PeerView view_;
        Configuration::SnapshotPointer configuration_;
        std::unique_ptr<Flow::FlowDecider> decider_;
        Flow::Actions actions_;
        Base::TimePoint now_ { Base::seconds(1000) };
        std::size_t opened_ { 0 };
        Flow::PacketToken nextToken_ { 1 };
        Base::nanoseconds reconfigureTime_ { 0 };
    };

    template <typename Work>
    double nanosecondsEach(std::size_t repetitions, const Work& work)
    {
        const auto before = threadProcessorTime();
        for (std::size_t index = 0; index < repetitions; ++index)
            work(index);
        return static_cast<double>((threadProcessorTime() - before).count()) / static_cast<double>(repetitions);
    }

    double bytesPerFlow(double flows, uint64_t seed)
    {
        SoleBalancer balancer(flowBackendServers, static_cast<std::size_t>(flows), seed);
        balancer.configure();
        const auto before = heapBytesInUse();
        balancer.openFlows(static_cast<std::size_t>(flows));
        VERIFY(balancer.flowsHeld() * 100 >= static_cast<uint64_t>(flows) * 99);
        return static_cast<double>(heapBytesInUse() - before) / flows;
    }

    double midFlowNanoseconds(double flows, uint64_t seed)
    {
        SoleBalancer balancer(flowBackendServers, static_cast<std::size_t>(flows), seed);
        balancer.configure();
        balancer.openFlows(static_cast<std::size_t>(flows));
        return nanosecondsEach(sampledPackets,
            [&](std::size_t index) { balancer.sendMidFlow(Base::mix(index) % balancer.openedFlows()); });
    }

    double openFlowNanoseconds(double flows, uint64_t seed)
    {
        SoleBalancer balancer(flowBackendServers, static_cast<std::size_t>(flows), seed);
        balancer.configure();
        const auto before = threadProcessorTime();
        balancer.openFlows(static_cast<std::size_t>(flows));
        return static_cast<double>((threadProcessorTime() - before).count()) / flows;
    }

    double tickMicroseconds(double flows, uint64_t seed)
    {
        SoleBalancer balancer(flowBackendServers, static_cast<std::size_t>(flows), seed);
        balancer.configure();
        balancer.openFlows(static_cast<std::size_t>(flows));
        return nanosecondsEach(sampledTicks, [&](std::size_t) { balancer.tick(); }) / 1000;
    }

    /// Returns the number of other balancers, at the target ratio of balancers to backend servers.
    std::size_t otherBalancers(double backendServers)
    {
        return static_cast<std::size_t>(backendServers / targetBackendServers * targetBalancers);
    }

    double routingBytes(double backendServers, uint64_t seed)
    {
        SoleBalancer balancer(static_cast<std::size_t>(backendServers), 1000, seed);
        const auto before = heapBytesInUse();
        balancer.configure(otherBalancers(backendServers));
        return static_cast<double>(heapBytesInUse() - before);
    }

    double reconfigureMicroseconds(double backendServers, uint64_t seed)
    {
        constexpr int repetitions = 10;
        SoleBalancer balancer(static_cast<std::size_t>(backendServers), 1000, seed);
        balancer.configure(otherBalancers(backendServers));
        for (int index = 0; index < repetitions; ++index)
            balancer.reconfigure();
        return Base::toSeconds(balancer.reconfigureTime()) * 1e6 / repetitions;
    }

    double peerChangeMicroseconds(double backendServers, uint64_t seed)
    {
        constexpr int repetitions = 10;
        SoleBalancer balancer(static_cast<std::size_t>(backendServers), 1000, seed);
        balancer.configure(otherBalancers(backendServers));
        Base::nanoseconds total { 0 };
        for (int index = 0; index < repetitions; ++index)
            total += balancer.restartPeer();
        return Base::toSeconds(total) * 1e6 / repetitions;
    }

    double idleTickMicroseconds(double backendServers, uint64_t seed)
    {
        SoleBalancer balancer(static_cast<std::size_t>(backendServers), 1000, seed);
        balancer.configure(otherBalancers(backendServers));
        return nanosecondsEach(sampledTicks, [&](std::size_t) { balancer.tick(); }) / 1000;
    }

    SlopeSeries seeded(std::string name, std::string unit, std::string sizeOf, std::vector<double> sizes,
        double (*measure)(double, uint64_t), uint64_t seed)
    {
        return { .name = std::move(name),
            .unit = std::move(unit),
            .sizeOf = std::move(sizeOf),
            .sizes = std::move(sizes),
            .measure = [measure, seed](double size) { return measure(size, seed); } };
    }

}

std::vector<SlopeSeries> flowSeries(uint64_t seed)
{
    const std::vector<double> flows { 10'000, 50'000, 100'000, 300'000, 500'000 };
    const std::vector<double> servers { 18, 1000, 7000, 14000, 28000 };
    return {
        seeded("flow_bytes", "B", "flows", flows, bytesPerFlow, seed),
        seeded("packet_decision", "ns", "flows", flows, midFlowNanoseconds, seed),
        seeded("flow_opening", "ns", "flows", flows, openFlowNanoseconds, seed),
        seeded("flow_tick", "us", "flows", flows, tickMicroseconds, seed),
        seeded("routing_memory", "B", "backend servers", servers, routingBytes, seed),
        seeded("reconfigure", "us", "backend servers", servers, reconfigureMicroseconds, seed),
        seeded("peer_change", "us", "backend servers", servers, peerChangeMicroseconds, seed),
        seeded("routing_tick", "us", "backend servers", servers, idleTickMicroseconds, seed),
    };
}

}
