// Flows whose packets reach several entry VMs: what their tokens tell an entry VM that has no record of the flow.

#include "Fixture.h"

#include <catch2/catch.hpp>

using Steering::Refusal;
using Steering::VerdictKind;

namespace {

/// An entry VM that knows three servers. Its caller's first packet has the sequence number 1000.
class EntryVm : public SteeringFixture {
public:
    explicit EntryVm(std::size_t maximumFlows = 200'000)
        : SteeringFixture(maximumFlows)
    {
        configure();
        for (uint64_t server = 1; server <= 3; ++server)
            listServer(server);
    }

    /// The hedged attempts made so far.
    const std::vector<Steering::HedgedAttempt>& hedgedAttempts() const { return hedgedAttempts_; }

    /// Waits until the flow's first packet has been offered to a second server.
    Steering::Verdict awaitHedgedAttempt()
    {
        advance(Base::milliseconds(80));
        REQUIRE(hedgedAttempts_.size() == 1);
        return hedgedAttempts_[0].verdict;
    }

    uint64_t unconfirmedTokens() const
    {
        return decider_.statistics().refused[static_cast<std::size_t>(Refusal::UnconfirmedToken)];
    }
};

/// Two servers of a service that share a confirmed token.
std::pair<uint64_t, uint64_t> findServersWithOneToken()
{
    std::unordered_map<uint32_t, uint64_t> seen;
    for (uint64_t value = 1;; ++value) {
        const auto [place, isNew] = seen.emplace(SteeringFixture::token(value).value, value);
        if (!isNew)
            return { place->second, value };
    }
}

}

// Guards against open flows that a planned stop sends to a server which the caller did not choose.
TEST_CASE("a late handshake of a hedged flow's other server does not move the flow when the entry VM is gone")
{
    EntryVm hedging;
    const auto first = hedging.sendFirst(1);
    const auto second = hedging.awaitHedgedAttempt();
    const auto request = hedging.sendData(1, second.token, 1001, 501);
    REQUIRE(request.number == second.number);

    // The response carries the request's token. Then the first server repeats its handshake response.
    EntryVm other;
    CHECK(other.sendData(1, first.token, 1101, 701).kind == VerdictKind::Drop);
    CHECK(other.sendData(1, request.token, 1101, 701).number == second.number);
    CHECK(other.sendData(1, first.token, 1201, 901).number == second.number);
}

TEST_CASE("a request that the caller repeats with another server's token is dropped where its flow is not known")
{
    EntryVm hedging;
    const auto first = hedging.sendFirst(1);
    const auto second = hedging.awaitHedgedAttempt();
    REQUIRE(hedging.sendData(1, second.token, 1001, 501).number == second.number);
    // No response has come yet, so that the sequence number is still that of the start of the flow.
    EntryVm other;
    const auto verdict = other.sendData(1, first.token, 1001, 501);
    CHECK(verdict.kind == VerdictKind::Drop);
    CHECK(verdict.refusal == Refusal::UnconfirmedToken);
    CHECK(other.unconfirmedTokens() == 1);
    // The hedging entry VM still knows the caller's choice.
    CHECK(hedging.sendData(1, first.token, 1001, 501).number == second.number);
}

TEST_CASE("a flow that moves between its first packet and its handshake is dropped, not guessed")
{
    EntryVm before;
    EntryVm after;
    const auto first = before.sendFirst(1);
    CHECK(after.send(1, first.token).refusal == Refusal::UnconfirmedToken);
    CHECK(after.sendData(1, first.token, 1001, 501).refusal == Refusal::UnconfirmedToken);
    // Back at the first entry VM, the flow opens.
    CHECK(before.sendData(1, first.token, 1001, 501).number == first.number);
}

TEST_CASE("a flow that moves between its handshake and its first data goes on once a response has come")
{
    EntryVm before;
    EntryVm after;
    const auto first = before.sendFirst(1);
    const auto handshake = before.send(1, first.token);
    REQUIRE(handshake.number == first.number);
    CHECK(after.sendData(1, first.token, 1001, 501).refusal == Refusal::UnconfirmedToken);
    CHECK(after.sendData(1, handshake.token, 1001, 501).number == first.number);
    CHECK(after.sendData(1, first.token, 1001, 501).number == first.number);
}

TEST_CASE("copies of a first packet that reach two entry VMs: the caller's choice holds at both")
{
    EntryVm one;
    EntryVm two;
    // Keeps the two from making the same choices.
    two.sendFirst(100);
    int differentServers = 0;
    for (uint16_t port = 1; port <= 30; ++port) {
        const auto first = one.sendFirst(port);
        one.advance(Base::milliseconds(200));
        two.advance(Base::milliseconds(200));
        const auto copy = two.sendFirst(port, 443, 1000, 1);
        REQUIRE(copy.kind == VerdictKind::Forward);
        CHECK((copy.token == first.token) == (copy.number == first.number));
        const bool isSameServer = copy.number == first.number
            || (!one.hedgedAttempts().empty() && copy.token == one.hedgedAttempts().back().verdict.token);
        if (isSameServer) {
            CHECK(one.sendData(port, copy.token, 1001, 501).number == copy.number);
            continue;
        }
        ++differentServers;
        // An entry VM does not know the attempts of the other one.
        CHECK(one.sendData(port, copy.token, 1001, 501).refusal == Refusal::UnconfirmedToken);
        const auto request = two.sendData(port, copy.token, 1001, 501);
        CHECK(request.number == copy.number);
        // The other one awaits the handshake still; the next request is not the start of the flow.
        CHECK(one.sendData(port, first.token, 1101, 701).refusal == Refusal::UnconfirmedToken);
        CHECK(one.sendData(port, request.token, 1101, 701).number == copy.number);
        CHECK(one.sendData(port, first.token, 1201, 901).number == copy.number);
    }
    CHECK(differentServers > 5);
}

TEST_CASE("an awaited handshake is not completed after the time in which callers give up")
{
    EntryVm entryVm;
    const auto first = entryVm.sendFirst(1);
    entryVm.advance(Base::milliseconds(1400));
    CHECK(entryVm.sendFirst(1, 443, 1000, 1).kind == VerdictKind::Forward);
    entryVm.advance(Base::milliseconds(1500));
    CHECK(entryVm.sendData(1, first.token, 1001, 501).refusal == Refusal::UnconfirmedToken);
}

TEST_CASE("a request of several packets that moves in the middle goes on with the token of its acknowledgements")
{
    EntryVm before;
    EntryVm after;
    const auto first = before.sendFirst(1);
    const auto start = before.sendData(1, first.token, 1001, 501, 1200);
    REQUIRE(start.number == first.number);
    CHECK(before.sendData(1, first.token, 2201, 501, 1200).number == first.number);
    CHECK(after.sendData(1, first.token, 3401, 501, 1200).refusal == Refusal::UnconfirmedToken);
    CHECK(after.sendData(1, start.token, 3401, 501, 1200).number == first.number);
    CHECK(after.sendData(1, first.token, 4601, 501, 1200).number == first.number);
    CHECK(before.sendData(1, start.token, 5801, 501, 1200).number == first.number);
}

TEST_CASE("the packets of a long first request open the flow in any order")
{
    EntryVm entryVm;
    const auto first = entryVm.sendFirst(1);
    entryVm.advance(Base::milliseconds(10));
    CHECK(entryVm.sendData(1, first.token, 2201, 501, 1200).number == first.number);
    CHECK(entryVm.sendData(1, first.token, 1001, 501, 1200).number == first.number);
}

TEST_CASE("a flow's end that carries the tentative token keeps its record for repetitions of it")
{
    EntryVm entryVm;
    const auto first = entryVm.sendFirst(1);
    CHECK(entryVm.send(1, first.token, 501, true).number == first.number);
    CHECK(entryVm.send(1, first.token, 501, true).number == first.number);
    CHECK(entryVm.send(1, EntryVm::token(first.number.value), 501, true).number == first.number);
}

TEST_CASE("a server that restarts under its number keeps its tokens")
{
    EntryVm entryVm;
    const auto first = entryVm.sendFirst(1);
    const auto request = entryVm.sendData(1, first.token, 1001, 501);
    EntryVm other;
    other.listServer(
        first.number.value, "brum", Steering::ServerState::Ready, Base::milliseconds(0), Base::milliseconds(900));
    // The server resets a flow that it does not know; only it may say so.
    CHECK(other.sendData(1, request.token, 1101, 701).number == first.number);
    CHECK(other.sendData(1, first.token, 1101, 701).number == first.number);
}

TEST_CASE("a tentative token belongs to one flow, first packet and server")
{
    using Steering::FlowToken;
    const auto flow = SteeringFixture::flow(1);
    const auto token = FlowToken::tentative({ 7 }, flow, 1000);
    CHECK(token == FlowToken::tentative({ 7 }, flow, 1000));
    CHECK(token != FlowToken::tentative({ 7 }, flow, 1001));
    CHECK(token != FlowToken::tentative({ 8 }, flow, 1000));
    CHECK(token != FlowToken::tentative({ 7 }, SteeringFixture::flow(2), 1000));
    for (uint64_t server = 0; server < 1000; ++server) {
        CHECK(FlowToken::tentative({ server }, flow, 0).isTentative());
        CHECK_FALSE(FlowToken::confirmed({ server }).isTentative());
        CHECK(FlowToken::confirmed({ server }).isValid());
    }
}

TEST_CASE_METHOD(SteeringFixture, "of two servers that share a confirmed token only one gets new flows")
{
    const auto [first, second] = findServersWithOneToken();
    configure();
    listServer(first);
    listServer(second);
    for (uint16_t port = 1; port <= 20; ++port)
        CHECK(sendFirst(port).number == number(first));
}

TEST_CASE("a flow that the full flow table cannot hold is offered to one server and opens by its token")
{
    EntryVm entryVm(1);
    CHECK(entryVm.sendFirst(1).token.isTentative());
    const auto untracked = entryVm.sendFirst(2);
    REQUIRE(untracked.kind == VerdictKind::Forward);
    CHECK(untracked.token == EntryVm::token(untracked.number.value));
    CHECK(entryVm.sendFirst(2, 443, 1000, 1).kind == VerdictKind::Drop);
    CHECK(entryVm.sendFirst(2, 443, 1000, 2).refusal == Refusal::FlowTableFull);
    CHECK(entryVm.sendData(2, untracked.token, 1001, 501).number == untracked.number);
}
