// A small deployment of four machines in three zones on loopback addresses, with the disruption of one case.
// usage: fleet CASE RECORD, in the repository's root; TROUBLE=0 leaves the disruption out.
// Exits with 1 if the case's rule was broken, 0 if it held, 2 if the case could not run.

#include "Client.h"
#include "Target.h"
#include <cstdlib>
#include <iostream>

namespace Review {

namespace {

    constexpr int exitHeld = 0;
    constexpr int exitBroken = 1;
    constexpr int exitNotRun = 2;

    const Endpoint rotaRoute { 0xC6120001, 443 };
    const Endpoint sheetsRoute { 0xC6120001, 8443 };
    const Endpoint extraRoute { 0xC6120001, 9443 };
    constexpr unsigned machineCount = 4;
    constexpr Ms configurationBound { 3000 };

    class Deployment {
    public:
        struct Options {
            std::string record;
            std::string folder;
            /// Settings of the services in the configuration.
            double warmUpSeconds { 2.0 };
            double warmUpPerSecond { 0.0 };
            int rotaTargetsPerZone { 2 };
            /// In the first zone.
            int additionalRotaTargets { 0 };
            double freshPerSecond { 60 };
        };

        explicit Deployment(const Options& options)
            : options_(options)
            , store_(world_.loop,
                  { loopbackAddress(1, 1), loopbackAddress(1, 2), loopbackAddress(1, 3), loopbackAddress(1, 4) })
        {
            world_.record.open(options.record);
            std::vector<uint32_t> dataAddresses;
            // One client more than machines: it probes a single machine.
            for (unsigned index = 1; index <= machineCount + 1; ++index) {
                dataAddresses.push_back(loopbackAddress(10, index));
                dataAddresses.push_back(loopbackAddress(20, index));
            }
            world_.dataPort = findFreePort(dataAddresses);
            writeConfiguration(true);
            for (int index = 0; index < options_.additionalRotaTargets; ++index)
                addTarget("rota", "brum");
            for (const auto* zone : { "brum", "notts", "leic" }) {
                for (int index = 0; index < options_.rotaTargetsPerZone; ++index)
                    addTarget("rota", zone);
                addTarget("sheets", zone);
            }
            unsigned address = 0;
            for (const auto* zone : { "brum", "brum", "notts", "leic" }) {
                ++address;
                nodes_.push_back(std::make_unique<Node>(world_,
                    Node::Options { .name = "front-" + std::string(zone) + "-" + std::to_string(address),
                        .zone = zone,
                        .address = loopbackAddress(10, address),
                        .store = store_.endpoint(address - 1),
                        .folder = options_.folder }));
                clients_.push_back(std::make_unique<Client>(world_, nodes_,
                    Client::Options { .address = loopbackAddress(20, address),
                        .zone = zone,
                        .routes = { rotaRoute, rotaRoute, rotaRoute, sheetsRoute },
                        .freshPerSecond = options_.freshPerSecond / 4 }));
            }
        }

        World& world() { return world_; }
        Store& store() { return store_; }
        std::vector<std::unique_ptr<Target>>& targets() { return targets_; }
        std::vector<std::unique_ptr<Node>>& nodes() { return nodes_; }
        std::vector<std::unique_ptr<Client>>& clients() { return clients_; }

        /// Writes the next version of the configuration; the return is its acknowledgement.
        void writeConfiguration(bool hasExtraRoute)
        {
            using Json = Store::Json;
            const auto route = [](const char* name, const Endpoint& endpoint, const char* service) {
                return Json { { "name", name }, { "host", endpoint.host() },
                    { "prefix", "/" + std::to_string(endpoint.port) + "/" }, { "route_type", "safe" },
                    { "timeout_ms", 1500 }, { "aim_ms", 100 }, { "priority", 2 }, { "service", service },
                    { "max_attempts", 2 } };
            };
            const auto service = [&](const char* name) {
                return Json { { "name", name }, { "health_path", "/health" }, { "max_conns", 2000 },
                    { "protocol", "h1" }, { "tls", false }, { "warmup_s", options_.warmUpSeconds },
                    { "warmup_per_s", options_.warmUpPerSecond } };
            };
            Json routes = Json::array({ route("r-rota", rotaRoute, "rota"), route("r-sheets", sheetsRoute, "sheets") });
            if (hasExtraRoute)
                routes.push_back(route("r-extra", extraRoute, "rota"));
            version_ += 3;
            store_.put("op/config",
                { { "version", version_ }, { "routes", routes },
                    { "services", Json::array({ service("rota"), service("sheets") }) },
                    { "limits", { { "idle_timeout_ms", 15000 } } } });
            world_.write("version " + std::to_string(version_) + (hasExtraRoute ? " with" : " without")
                + " the extra route is acknowledged");
        }

        /// Waits until all machines are in rotation, and starts the traffic. Returns false if they are not in time.
        bool start()
        {
            constexpr int maximumWaits = 60;
            for (int waits = 0; waits < maximumWaits; ++waits) {
                world_.loop.runFor(Ms(250));
                if (!std::all_of(nodes_.begin(), nodes_.end(), [](const auto& node) { return node->isInRotation(); }))
                    continue;
                world_.loop.runFor(Ms(1000));
                world_.write("traffic starts");
                for (auto& client : clients_)
                    client->startFreshFlows();
                return true;
            }
            return false;
        }

        /// Ends the traffic. Returns false if the run shows nothing, since few requests were served.
        bool finish()
        {
            for (auto& client : clients_)
                client->stop();
            world_.loop.runFor(Ms(2000));
            for (const auto& [what, count] : world_.counts) {
                if (!what.starts_with("runs "))
                    std::cout << count << " " << what << "\n";
            }
            return world_.counts["answers"] * 2 > world_.counts["requests sent"];
        }

    private:
        void addTarget(const std::string& service, const std::string& zone)
        {
            ++targetCount_;
            targets_.push_back(std::make_unique<Target>(world_, store_, 0xA0000000U + 7919U * targetCount_,
                Target::Options { .service = service,
                    .zone = zone,
                    .address = loopbackAddress(30, targetCount_),
                    .warmUp = Ms(static_cast<int64_t>(options_.warmUpSeconds * 1000)) }));
        }

        Options options_;
        World world_;
        Store store_;
        uint64_t version_ { 0 };
        unsigned targetCount_ { 0 };
        std::vector<std::unique_ptr<Target>> targets_;
        std::vector<std::unique_ptr<Node>> nodes_;
        std::vector<std::unique_ptr<Client>> clients_;
    };

    /// Another writer's entry of a service that no configuration names, at the address of a live target.
    int runForeignEntry(Deployment::Options options, bool hasTrouble)
    {
        options.freshPerSecond = 40;
        Deployment deployment(options);
        if (!deployment.start())
            return exitNotRun;
        auto& world = deployment.world();
        for (int count = 0; count < 6; ++count) {
            for (auto& client : deployment.clients())
                client->openLongFlow(rotaRoute, 60, Ms(200));
            world.loop.runFor(Ms(100));
        }
        world.loop.runFor(Ms(4000));
        const auto& target = *deployment.targets().front();
        if (hasTrouble) {
            world.write("another writer writes an entry of service rota-trial at the address of " + target.id());
            deployment.store().put("servers/i-5c0ffee5",
                { { "service", "rota-trial" }, { "address", target.endpoint().text() },
                    { "zone", target.options().zone }, { "version", "v1" }, { "concurrency", 2 }, { "state", "ready" },
                    { "warmup_left_ms", 0 }, { "sequence", 1 }, { "born", target.startedAtMilliseconds() + 5000 } });
        }
        world.loop.runFor(Ms(6000));
        if (!deployment.finish())
            return exitNotRun;
        return world.counts["FLOW broken"] > 0 ? exitBroken : exitHeld;
    }

    /// A lost SYN+ACK, which its target sends again, on flows whose machine is then stopped as planned.
    int runLateSynAck(const Deployment::Options& options, bool hasTrouble)
    {
        constexpr int flowsPerClient = 6;
        Deployment deployment(options);
        if (!deployment.start())
            return exitNotRun;
        auto& world = deployment.world();
        world.loop.runFor(Ms(4000));
        std::set<Endpoint> unlucky;
        for (auto& target : deployment.targets()) {
            target->setLossOfSynAck([&unlucky](const Endpoint& client) { return unlucky.erase(client) > 0; });
        }
        for (int count = 0; count < flowsPerClient; ++count) {
            for (std::size_t index = 0; index < 2; ++index) {
                const auto end = deployment.clients()[index]->openLongFlow(rotaRoute, 14, Ms(900));
                if (hasTrouble)
                    unlucky.insert(end);
            }
            world.loop.runFor(Ms(50));
        }
        // The lost datagrams lie more than contact_ms back when the first flow has to change its machine.
        world.loop.runFor(Ms(4200));
        if (hasTrouble)
            deployment.nodes().front()->restartGracefully();
        world.loop.runFor(Ms(9000));
        if (!deployment.finish())
            return exitNotRun;
        return world.counts["FLOW broken"] > 0 ? exitBroken : exitHeld;
    }

    /// The largest number of opening packets that arrived within one second.
    std::size_t busiestSecond(const std::vector<Target::Opening>& openings)
    {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < openings.size(); ++last) {
            while (openings[last].arrivedAt - openings[first].arrivedAt >= Ms(1000))
                ++first;
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    /// A target crashes and starts again under its id while the store is down.
    int runColdTarget(Deployment::Options options, bool hasTrouble)
    {
        options.warmUpSeconds = 6.0;
        options.warmUpPerSecond = 4.0;
        options.rotaTargetsPerZone = 1;
        options.additionalRotaTargets = 1;
        options.freshPerSecond = 160;
        constexpr double bound = 4.0 * 1.5 + 5;
        Deployment deployment(options);
        if (!deployment.start())
            return exitNotRun;
        auto& world = deployment.world();
        world.loop.runFor(Ms(4000));
        auto& target = *deployment.targets().front();
        if (hasTrouble) {
            world.write("the store is down");
            deployment.store().setDown(true);
            world.loop.runFor(Ms(500));
            target.crash();
            world.loop.runFor(Ms(200));
            target.restart();
            world.loop.runFor(Ms(3800));
            deployment.store().setDown(false);
            world.write("the store is back");
        }
        world.loop.runFor(Ms(4000));
        if (!deployment.finish())
            return exitNotRun;
        const auto most = busiestSecond(target.openingsWhileCold());
        const auto text = "the cold target took " + std::to_string(most) + " requests in one second, the most is "
            + std::to_string(static_cast<int>(bound));
        world.write(text);
        std::cout << text << "\n";
        return static_cast<double>(most) > bound ? exitBroken : exitHeld;
    }

    /// The machines that watch the store are cut off from it without a reset, and a route is dropped. The other machine
    /// of the first zone is in touch all the while.
    int runSilentWatchers(const Deployment::Options& options, bool hasTrouble)
    {
        Deployment deployment(options);
        if (!deployment.start())
            return exitNotRun;
        auto& world = deployment.world();
        auto& store = deployment.store();
        world.loop.runFor(Ms(4000));
        const std::size_t watching = store.isWatchedBy(0) ? 0 : 1;
        const std::size_t probed = 1 - watching;
        if (!store.isWatchedBy(watching) || store.isWatchedBy(probed))
            return exitNotRun;
        Client prober(world, deployment.nodes(),
            { .address = loopbackAddress(20, machineCount + 1),
                .zone = "brum",
                .routes = { extraRoute },
                .freshPerSecond = 20,
                .onlyMachine = deployment.nodes()[probed]->options().name });
        prober.startFreshFlows();
        deployment.writeConfiguration(true);
        world.loop.runFor(Ms(350));
        if (hasTrouble) {
            for (const std::size_t machine : { watching, std::size_t { 2 }, std::size_t { 3 } }) {
                world.write(deployment.nodes()[machine]->options().name + " is cut off from the store");
                store.cutOff(machine);
            }
        }
        world.loop.runFor(Ms(50));
        world.droppedRoute = extraRoute;
        world.droppedRouteEndsAt = Clock::now() + configurationBound;
        deployment.writeConfiguration(false);
        // The cut lasts no longer than its largest dose.
        world.loop.runFor(Ms(5400));
        prober.stop();
        if (!deployment.finish())
            return exitNotRun;
        return world.counts["CONFIG broken"] > 0 ? exitBroken : exitHeld;
    }

    int run(const std::string& name, const Deployment::Options& options)
    {
        const char* trouble = std::getenv("TROUBLE");
        const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
        if (name == "foreign-entry")
            return runForeignEntry(options, hasTrouble);
        if (name == "late-syn-ack")
            return runLateSynAck(options, hasTrouble);
        if (name == "cold-target")
            return runColdTarget(options, hasTrouble);
        if (name == "silent-watchers")
            return runSilentWatchers(options, hasTrouble);
        std::cerr << "unknown case " << name << "\n";
        return exitNotRun;
    }

}

}

int main(int argc, char** argv)
{
    if (argc != 3) {
        std::cerr << "usage: fleet CASE RECORD\n";
        return Review::exitNotRun;
    }
    std::string folder = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(folder.data()) == nullptr)
        return Review::exitNotRun;
    int code = Review::exitNotRun;
    try {
        code = Review::run(argv[1], { .record = argv[2], .folder = folder });
    } catch (const std::exception& exception) {
        std::cerr << exception.what() << "\n";
    }
    if (std::getenv("REVIEW_KEEP") == nullptr)
        std::filesystem::remove_all(folder);
    else
        std::cout << folder << "\n";
    return code;
}
