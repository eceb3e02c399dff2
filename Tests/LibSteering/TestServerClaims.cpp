// Entries of other writers that claim the number of a running backend server, or name another address for it.

#include "Fixture.h"

#include <catch2/catch.hpp>

using Steering::VerdictKind;

namespace {

constexpr uint64_t server = 1;
const std::string ownId = "i-1";
const std::string otherId = "x-1";

const Base::Ipv4Endpoint ownAddress { .address = { 1 }, .port = 80 };
const Base::Ipv4Endpoint otherAddress { .address = { 99 }, .port = 80 };

class ServerClaimsFixture : public SteeringFixture {
public:
    ServerClaimsFixture() { configure(); }

    static Steering::BackendServerEntry entry(
        const std::string& id, const Base::Ipv4Endpoint& address, const std::string& service = "rota")
    {
        return { .number = number(server),
            .id = id,
            .service = service,
            .address = address,
            .failureDomain = "brum",
            .slots = 2,
            .startedAt = milliseconds(id == ownId ? 5 : 6) };
    }

    void list(const Steering::BackendServerEntry& entry)
    {
        decider_.handle(now_, Steering::ServerListed { .entry = entry });
    }
    void unlist(const std::string& id)
    {
        decider_.handle(now_, Steering::ServerUnlisted { .number = number(server), .id = id });
    }

    /// Sends a request on an open flow of the server. Returns where it is sent; nothing if it is not forwarded.
    std::optional<Base::Ipv4Endpoint> sendRequest(uint16_t callerPort, uint32_t sequence, uint32_t acknowledged = 501)
    {
        const auto verdict = sendData(callerPort, token(server), sequence, acknowledged);
        return verdict.kind == VerdictKind::Forward ? std::optional(verdict.server) : std::nullopt;
    }

    void pass(milliseconds time)
    {
        for (const auto end = now_ + time; now_ < end;)
            advance(milliseconds(50));
    }
};

}

// Guards against another writer's key that moves the open flows of a live server to the address in its entry.
TEST_CASE_METHOD(ServerClaimsFixture, "an entry under another id with the digits of a server moves no flow")
{
    list(entry(ownId, ownAddress));
    REQUIRE(openFlow(1).server == ownAddress);
    const auto* service = GENERATE("rota", "rota-trial");
    list(entry(otherId, otherAddress, service));
    CHECK(sendRequest(1, 1001) == ownAddress);
    CHECK(sendFirst(2).server == ownAddress);
    unlist(otherId);
    CHECK(sendRequest(1, 1101, 701) == ownAddress);
    CHECK(sendFirst(3).server == ownAddress);
}

// Guards against resets of a live server's open flows because nothing answers at another writer's address.
TEST_CASE_METHOD(ServerClaimsFixture, "flows are not reset because another writer's address does not answer")
{
    SECTION("the server's own entry is known")
    {
        list(entry(ownId, ownAddress));
        list(entry(otherId, otherAddress));
    }
    SECTION("the other entry was read first")
    {
        list(entry(otherId, otherAddress));
        list(entry(ownId, ownAddress));
    }
    sendRequest(1, 1001);
    pass(milliseconds(200));
    REQUIRE(probes_.size() == 1);
    answerProbe(number(server), probes_[0].address == ownAddress);
    CHECK(resets_.empty());
    CHECK(sendData(1, token(server), 1101, 501).kind != VerdictKind::Reset);
}

// Guards against the same by an entry under the server's own id, which the server overwrites a moment later.
TEST_CASE_METHOD(ServerClaimsFixture, "open flows stay at the address at which their server has responded")
{
    list(entry(ownId, ownAddress));
    REQUIRE(openFlow(1).server == ownAddress);
    auto moved = entry(ownId, otherAddress);
    SECTION("the entry names a later start") { moved.startedAt = milliseconds(7); }
    SECTION("the entry names the same start") { }
    list(moved);
    CHECK(sendRequest(1, 1001) == ownAddress);
    pass(milliseconds(200));
    REQUIRE(probes_.size() == 1);
    CHECK(probes_[0].address == ownAddress);
    // The first packet goes where the entry says; its handshake shows that the server has moved.
    const auto first = sendFirst(2);
    CHECK(first.server == otherAddress);
    CHECK(sendRequest(1, 1101, 701) == ownAddress);
    advance(milliseconds(8));
    send(2, first.token);
    CHECK(sendRequest(2, 1001) == otherAddress);
}

// Guards against a handshake that is taken for one at an address which the entry has named only since.
TEST_CASE_METHOD(ServerClaimsFixture, "a handshake says nothing about an address that was not attempted")
{
    list(entry(ownId, ownAddress));
    const auto first = sendFirst(1);
    REQUIRE(first.server == ownAddress);
    auto moved = entry(ownId, otherAddress);
    moved.startedAt = milliseconds(7);
    list(moved);
    advance(milliseconds(8));
    send(1, first.token);
    sendRequest(1, 1001);
    pass(milliseconds(200));
    REQUIRE(probes_.size() == 1);
    answerProbe(number(server), probes_[0].address == ownAddress);
    CHECK(resets_.empty());
}

// Guards against an entry of a service that does not exist and that takes a live server's flows with it.
TEST_CASE_METHOD(ServerClaimsFixture, "an entry of an unnamed service under a server's own id leaves its flows alone")
{
    list(entry(ownId, ownAddress));
    SECTION("this node has seen the server respond") { REQUIRE(openFlow(1).server == ownAddress); }
    SECTION("another node opened the flow") { }
    list(entry(ownId, otherAddress, "rota-trial"));
    CHECK(sendRequest(1, 1001) == ownAddress);
    // The entry names no server to use.
    CHECK(sendFirst(2).kind == VerdictKind::Reset);
    list(entry(ownId, ownAddress));
    CHECK(sendFirst(3).server == ownAddress);
}

// Guards against packets to an address that only an entry of an unnamed service states.
TEST_CASE_METHOD(ServerClaimsFixture, "tokens do not resolve to entries of services that were never configured")
{
    list(entry(ownId, otherAddress, "rota-trial"));
    CHECK(sendData(1, token(server), 1001, 501).refusal == Steering::Refusal::UnknownToken);
    list(entry(ownId, ownAddress));
    CHECK(sendRequest(1, 1001) == ownAddress);
}

// Guards against a live server that stays unused because another writer's entry was read first.
TEST_CASE_METHOD(ServerClaimsFixture, "a server whose number another entry holds is used once that one is silent")
{
    list(entry(otherId, otherAddress));
    list(entry(ownId, ownAddress));
    uint16_t port = 1;
    for (; sendFirst(port).server == otherAddress; ++port) {
        REQUIRE(port < 100);
        pass(milliseconds(250));
        sendFirst(port, 443, 1000, 1);
    }
    pass(milliseconds(3000));
    REQUIRE(openFlow(port + 1).server == ownAddress);
    // The other entry is not tried again while the server responds.
    pass(milliseconds(5000));
    CHECK(sendFirst(port + 2).server == ownAddress);
}

// Guards against an entry that is lost because another one had the number when it was written.
TEST_CASE_METHOD(ServerClaimsFixture, "an entry takes its place when the one that held the number is gone")
{
    list(entry(ownId, ownAddress));
    list(entry(otherId, otherAddress));
    unlist(ownId);
    CHECK(sendFirst(1).kind == VerdictKind::Reset);
    // Flows of the first server may live for this long.
    pass(milliseconds(60'000));
    pass(milliseconds(3000));
    CHECK(sendFirst(2).server == otherAddress);
}

// Guards against an entry that comes back after the store has removed it.
TEST_CASE_METHOD(ServerClaimsFixture, "an entry that is gone is not kept when another one takes its place")
{
    list(entry(otherId, otherAddress, "rota-trial"));
    unlist(otherId);
    list(entry(ownId, ownAddress));
    CHECK(decider_.contestingEntryCount() == 0);
    list(entry(otherId, otherAddress));
    CHECK(decider_.contestingEntryCount() == 1);
    unlist(otherId);
    CHECK(decider_.contestingEntryCount() == 0);
    unlist(ownId);
    CHECK(decider_.contestingEntryCount() == 0);
}

// Guards against a live server that stays unused because an entry that names no server to use was read first.
TEST_CASE_METHOD(ServerClaimsFixture, "a configured entry takes the number from one of an unnamed service")
{
    list(entry(otherId, otherAddress, "rota-trial"));
    list(entry(ownId, ownAddress));
    CHECK(sendFirst(1).server == ownAddress);
}

// Guards against an entry that is forgotten because it was written before operators configured its service.
TEST_CASE_METHOD(ServerClaimsFixture, "an entry under a server's own id is used once operators configure its service")
{
    list(entry(ownId, ownAddress));
    list(entry(ownId, otherAddress, "rota-trial"));
    CHECK(sendFirst(1).kind == VerdictKind::Reset);
    auto configuration = std::make_shared<Steering::Configuration>();
    configuration->version = 11;
    configuration->routes.push_back(
        { .name = "route", .endpoint = service(443), .shares = { { .service = "rota-trial", .weight = 1 } } });
    decider_.handle(now_, Steering::ConfigurationChanged { .configuration = configuration });
    CHECK(sendFirst(2).server == otherAddress);
}
