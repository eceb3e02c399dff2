#include "Fixture.h"

#include <catch2/catch.hpp>

using Steering::Refusal;
using Steering::VerdictKind;

TEST_CASE_METHOD(SteeringFixture, "a node that never saw a flow's first packet forwards later packets by their token")
{
    configure();
    listServer(1);
    listServer(2, "notts");
    CHECK(send(1, token(2)).number == number(2));
    CHECK(send(2, token(1)).number == number(1));
}

TEST_CASE_METHOD(
    SteeringFixture, "packets without a token or with an unknown one are dropped, never reset or forwarded")
{
    configure();
    listServer(1);
    CHECK(send(1, {}).kind == VerdictKind::Drop);
    CHECK(send(1, {}).refusal == Refusal::NoToken);
    CHECK(send(1, token(99)).kind == VerdictKind::Drop);
    CHECK(send(1, token(99)).refusal == Refusal::UnknownToken);
}

TEST_CASE_METHOD(
    SteeringFixture, "open flows reach a draining server, and one without an entry for the lifetime of a flow")
{
    configure();
    listServer(1);
    listServer(2);
    listServer(1, "brum", Steering::ServerState::Draining);
    CHECK(send(1, token(1)).number == number(1));
    decider_.handle(now_, Steering::ServerUnlisted { .number = number(1) });
    CHECK(send(1, token(1)).number == number(1));
    CHECK(sendFirst(2).number == number(2));
    advance(milliseconds(59'000));
    CHECK(send(1, token(1)).number == number(1));
    advance(milliseconds(2000));
    CHECK(send(1, token(1)).refusal == Refusal::UnknownToken);
}

TEST_CASE_METHOD(SteeringFixture,
    "a server whose entry disappears during an outage of the store stays usable for a grace period after it")
{
    configure();
    listServer(1);
    decider_.handle(now_, Steering::StoreReachable { .isReachable = false });
    decider_.handle(now_, Steering::ServerUnlisted { .number = number(1) });
    advance(milliseconds(20'000));
    CHECK(sendFirst(1).number == number(1));
    decider_.handle(now_, Steering::StoreReachable { .isReachable = true });
    advance(milliseconds(2000));
    CHECK(sendFirst(2).number == number(1));
    advance(milliseconds(600));
    CHECK(sendFirst(3).refusal == Refusal::NoServer);
    CHECK(send(4, token(1)).number == number(1));
    listServer(1);
    CHECK(sendFirst(5).number == number(1));
}

TEST_CASE_METHOD(
    SteeringFixture, "a server whose entry disappears just after an outage of the store stays usable as well")
{
    configure();
    listServer(1);
    decider_.handle(now_, Steering::StoreReachable { .isReachable = false });
    decider_.handle(now_, Steering::StoreReachable { .isReachable = true });
    decider_.handle(now_, Steering::ServerUnlisted { .number = number(1) });
    CHECK(sendFirst(1).number == number(1));
    advance(milliseconds(2600));
    CHECK(sendFirst(2).refusal == Refusal::NoServer);
}

TEST_CASE_METHOD(SteeringFixture, "a draining server whose entry disappears gets no grace period")
{
    configure();
    listServer(1, "brum", Steering::ServerState::Draining);
    decider_.handle(now_, Steering::StoreReachable { .isReachable = false });
    decider_.handle(now_, Steering::ServerUnlisted { .number = number(1) });
    CHECK(sendFirst(1).refusal == Refusal::NoServer);
}

TEST_CASE_METHOD(SteeringFixture, "packets of a removed route are dropped")
{
    configure(10, { 443 });
    listServer(1);
    configure(11, { 444 });
    CHECK(send(1, token(1)).kind == VerdictKind::Drop);
    CHECK(send(1, token(1)).refusal == Refusal::NoRoute);
}

TEST_CASE("servers that share a token are distinguished by service, and only one of a service gets new flows")
{
    Steering::ServerTable table({});
    const auto now = Base::TimePoint {} + Base::milliseconds(1000);
    // Tokens of 31 bits collide after some ten thousand numbers; find a pair.
    std::unordered_map<uint32_t, uint64_t> seen;
    uint64_t first = 0;
    uint64_t second = 0;
    for (uint64_t value = 1; second == 0; ++value) {
        const auto [place, isNew] = seen.emplace(Steering::FlowToken::confirmed({ value }).value, value);
        if (!isNew) {
            first = place->second;
            second = value;
        }
    }
    const auto entry = [](uint64_t value, const char* service) {
        return Steering::BackendServerEntry { .number = { value }, .service = service, .failureDomain = "brum" };
    };
    const auto token = Steering::FlowToken::confirmed({ first });
    table.setConfiguredServices(now, { table.serviceIndex("rota"), table.serviceIndex("sheets") });
    table.addOrUpdate(now, entry(first, "rota"), {});
    table.addOrUpdate(now, entry(second, "sheets"), {});
    const auto numberOf = [&](const char* service) {
        return table.at(*table.resolve(token, { table.serviceIndex(service) })).entry.number.value;
    };
    CHECK(numberOf("rota") == first);
    CHECK(numberOf("sheets") == second);
    table.addOrUpdate(now, entry(second, "rota"), {});
    CHECK(numberOf("rota") == first);
    CHECK(table.at(*table.find({ second })).isShadowed);
    table.removeEntry(now, { first });
    table.expire(now + Base::milliseconds(61'000));
    CHECK_FALSE(table.at(*table.find({ second })).isShadowed);
}
