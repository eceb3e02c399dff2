// Entries of other writers in the store, while callers use the servers that they speak of.

#include "SimulatedFleet.h"

#include <LibPeer/Sockets.h>
#include <algorithm>
#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

namespace {

using Base::milliseconds;

/// Rules with a time limit apply to entry VMs that have been undisturbed for this long.
constexpr milliseconds settlingTime { 4500 };
constexpr milliseconds observed { 4000 };
constexpr milliseconds heartbeat { 1000 };

/// An address at which connections are neither accepted nor refused.
class SilentHost {
public:
    SilentHost()
        : listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const sockaddr_in any { .sin_family = AF_INET, .sin_addr = { htonl(INADDR_LOOPBACK) } };
        REQUIRE(::bind(listener_, reinterpret_cast<const sockaddr*>(&any), sizeof(any)) == 0);
        // The kernel does not answer further connections once the queue is full.
        REQUIRE(::listen(listener_, 0) == 0);
        for (int& socket : sockets_)
            socket = Peer::startConnecting(address()).value();
    }
    ~SilentHost()
    {
        for (const int socket : sockets_)
            ::close(socket);
        ::close(listener_);
    }
    SilentHost(const SilentHost&) = delete;
    SilentHost& operator=(const SilentHost&) = delete;

    Base::Ipv4Endpoint address() const { return Peer::localEndpoint(listener_); }

private:
    int listener_;
    std::array<int, 4> sockets_ {};
};

class FleetWithForeignEntries : public SimulatedFleet {
public:
    explicit FleetWithForeignEntries(uint64_t seed)
        : SimulatedFleet({ .seed = seed, .entryVmsPerZone = 1, .serversPerZone = 3 })
    {
        runFor(settlingTime);
    }

    /// Writes an entry that names the silent host and the server's zone.
    void writeEntry(const std::string& id, const std::string& service, const StandIn::FleetServer& server)
    {
        const nlohmann::json entry { { "service", service }, { "address", silentHost_.address().toString() },
            { "zone", server.options().zone }, { "version", "v1" }, { "concurrency", 2 }, { "state", "ready" },
            { "warmup_left_ms", 0 }, { "sequence", 1 }, { "born", 1'700'000'005'000 } };
        deployment().records().put("servers/" + id, entry.dump());
    }

    StandIn::FleetServer& anyServerOf(const std::string& service)
    {
        const auto& servers = deployment().servers();
        return **std::ranges::find_if(
            servers, [&](const auto& server) { return server->options().service == service; });
    }

    /// Requests that fail and open flows that are reset count as violations, since nothing else happens.
    void checkThatNoCallerIsDisturbed()
    {
        for (const auto& violation : invariants().violations())
            UNSCOPED_INFO(violation);
        CHECK(invariants().violations().empty());
        CHECK(deployment().unexpectedExits().empty());
    }

private:
    SilentHost silentHost_;
};

}

// Guards against resets of live servers' open flows since another key with the digits of an id took their place.
TEST_CASE("keys with the digits of servers' ids and another address disturb no caller")
{
    FleetWithForeignEntries fleet(16);
    const auto* service = GENERATE("rota", "rota-trial");
    for (const auto& server : fleet.deployment().servers())
        fleet.writeEntry("x" + server->options().id, service, *server);
    fleet.runFor(observed);
    for (const auto& server : fleet.deployment().servers())
        fleet.deployment().records().remove("servers/x" + server->options().id);
    fleet.runFor(observed);
    fleet.checkThatNoCallerIsDisturbed();
}

// Guards against open flows that follow what another writer puts under a server's own key until the next heartbeat.
TEST_CASE("a server's own key that is overwritten for a moment disturbs no caller")
{
    FleetWithForeignEntries fleet(17);
    auto& server = fleet.anyServerOf("rota");
    fleet.writeEntry(server.options().id, "rota", server);
    fleet.runFor(heartbeat);
    server.rewriteEntry();
    fleet.runFor(observed);
    fleet.checkThatNoCallerIsDisturbed();
}
