#include "Forwarder.h"

#include <LibBase/Verify.h>
#include <LibDataPath/DataPath.h>

namespace Measure::PacketPath {

namespace {

    constexpr Base::EntryVmId self { 0x7F000001'0001 };

    Configuration::SnapshotPointer makeSnapshot(const std::vector<Base::Ipv4Endpoint>& backendServers)
    {
        Configuration::Service service { .id = { 1 }, .name = "rota", .addresses = { PacketLoad::service().address } };
        service.portClasses = { { .name = "claim",
            .port = PacketLoad::service().port,
            .slotUse = Configuration::SlotUse::None,
            .idleTimeout = Base::milliseconds(3'600'000) } };
        uint32_t next = 1;
        for (const auto& endpoint : backendServers) {
            service.backendServers.push_back({ .id = { next },
                .name = "rota-" + std::to_string(next),
                .failureDomain = "brum",
                .tunnel = endpoint,
                .management = endpoint,
                .connections = 1'000'000,
                .warmUp = Base::milliseconds(0) });
            ++next;
        }
        Configuration::Snapshot snapshot { .revision = { 1 } };
        snapshot.services["rota"] = std::move(service);
        snapshot.failureDomains["brum"] = { .name = "brum", .region = "midlands" };
        return std::make_shared<const Configuration::Snapshot>(std::move(snapshot));
    }

    /// Simulates the handshake of every flow of the load, so that all are established.
    void establishFlows(Flow::FlowDecider& decider, const PacketLoad& load)
    {
        Flow::Actions actions;
        for (std::size_t flow = 0; flow < load.flowCount(); ++flow) {
            const auto now = std::chrono::steady_clock::now();
            if (flow % 1024 == 0)
                decider.handleTick(now, actions);
            Flow::PacketEvent event { .packet = { .key = load.key(flow), .flags = { .syn = true } } };
            actions.clear();
            decider.handlePacket(now, event, actions);
            Base::BackendServerId server;
            for (const auto& action : actions) {
                if (const auto* forward = std::get_if<Flow::ForwardToBackendServer>(&action))
                    server = forward->backendServer;
            }
            VERIFY(server.isValid());
            event.packet.direction = Packet::Direction::ToCaller;
            event.packet.flags.ack = true;
            event.backendServer = server;
            decider.handlePacket(now, event, actions);
            event.packet.direction = Packet::Direction::ToBackendServer;
            event.packet.flags.syn = false;
            event.backendServer = {};
            decider.handlePacket(now, event, actions);
        }
    }

    class OwnBalancer : public Forwarder {
    public:
        explicit OwnBalancer(const ForwarderOptions& options)
            : snapshot_(makeSnapshot(options.backendServers))
        {
            auto decider = makeDecider(options);
            auto path = Base::capture([&] {
                return DataPath::DataPath::create({ .endpoint = { { 0x7F000001 }, 0 },
                                                      .workers = options.threads,
                                                      .self = self,
                                                      .keys = { "a key for measurements" },
                                                      .decide = { .fabric = options.backendServers.front(),
                                                          .onStatistics = [](const Flow::FlowDecider&) {} } },
                    std::move(decider));
            });
            VERIFY(path.isOk());
            path_ = std::move(*path.value);
            path_->decideThread().push(snapshot_);
        }

        Base::Ipv4Endpoint endpoint() const override { return path_->endpoint(); }
        void start() override { path_->start(); }
        void stop() override { path_->stop(); }
        Base::nanoseconds processorTime() const override { return path_->processorTime(); }

        uint64_t forwarded() const override
        {
            uint64_t sum = 0;
            for (const auto& worker : path_->workers())
                sum += worker->counters().sent.value();
            return sum;
        }

    private:
        std::unique_ptr<Flow::FlowDecider> makeDecider(const ForwarderOptions& options) const
        {
            auto decider = Base::capture([&] {
                return Flow::FlowDecider::create({ .self = self,
                    .failureDomain = "brum",
                    .seed = options.seed,
                    .maximumFlows = options.load->flowCount() + 1024 });
            });
            VERIFY(decider.isOk());
            const auto now = std::chrono::steady_clock::now();
            const auto error = Base::captureError([&]() -> Base::ErrorOr<void> {
                TRY((*decider.value)->setPeers(now, { .version = 1, .peers = {} }));
                return (*decider.value)->setConfiguration(now, snapshot_);
            });
            VERIFY(!error);
            establishFlows(**decider.value, *options.load);
            return std::move(*decider.value);
        }

        Configuration::SnapshotPointer snapshot_;
        std::unique_ptr<DataPath::DataPath> path_;
    };

}

std::unique_ptr<Forwarder> makeOwnBalancer(const ForwarderOptions& options)
{
    return std::make_unique<OwnBalancer>(options);
}

}
