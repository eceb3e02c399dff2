// Open flows to backend servers that fell silent: callers with long flows would wait until their deadline for a
// response that cannot come. The load is that of a service whose servers are replaced without notice.

#include "Fixture.h"

#include <catch2/catch.hpp>

using Steering::Refusal;
using Steering::VerdictKind;

namespace {

class StalledFlowsFixture : public SteeringFixture {
public:
    StalledFlowsFixture()
    {
        configure();
        listServer(1);
        listServer(2);
    }

    /// Opens a flow to the server; flows that were placed at another server are ended.
    void openFlowAt(uint64_t server)
    {
        for (;;) {
            const auto opened = openFlow(++lastPort_);
            if (opened.number == number(server))
                return;
            send(lastPort_, opened.token, 501, true);
        }
    }

protected:
    uint16_t lastPort_ { 0 };
};

}

TEST_CASE_METHOD(StalledFlowsFixture, "a flow whose server neither responds nor accepts a probe is reset")
{
    openFlowAt(1);
    sendData(lastPort_, token(1), 1001, 501);
    advance(milliseconds(60));
    CHECK(probes_.empty());
    advance(milliseconds(60));
    REQUIRE(probes_.size() == 1);
    CHECK(probes_[0].server == number(1));
    CHECK(probes_[0].address.address == Base::Ipv4Address { 1 });
    CHECK(resets_.empty());
    answerProbe(number(1), false);
    REQUIRE(resets_.size() == 1);
    CHECK(resets_[0].flow == flow(lastPort_));
    CHECK(resets_[0].acknowledged == 501);
}

TEST_CASE_METHOD(StalledFlowsFixture, "requests on other flows to an unreachable server are reset at once")
{
    openFlowAt(1);
    const auto stalled = lastPort_;
    openFlowAt(1);
    const auto idle = lastPort_;
    sendData(stalled, token(1), 1001, 501);
    advance(milliseconds(120));
    answerProbe(number(1), false);
    const auto verdict = sendData(idle, token(1), 1001, 501);
    CHECK(verdict.kind == VerdictKind::Reset);
    CHECK(verdict.refusal == Refusal::ServerGone);
    // Also flows that opened through another node.
    CHECK(sendData(500, token(1), 2001, 701).kind == VerdictKind::Reset);
    // Packets without data need no response, and flows to other servers are not affected.
    CHECK(send(500, token(1)).kind == VerdictKind::Forward);
    CHECK(sendData(501, token(2), 2001, 701).kind == VerdictKind::Forward);
    // New flows avoid the server.
    CHECK(sendFirst(600).number == number(2));
}

TEST_CASE_METHOD(StalledFlowsFixture, "a stalled request of a flow that another node opened is reset as well")
{
    CHECK(sendData(500, token(1), 2001, 701).kind == VerdictKind::Forward);
    CHECK(decider_.ownLoads().size() == 1);
    advance(milliseconds(120));
    REQUIRE(probes_.size() == 1);
    answerProbe(number(1), false);
    REQUIRE(resets_.size() == 1);
    CHECK(resets_[0].flow == flow(500));
    CHECK(resets_[0].acknowledged == 701);
    CHECK(decider_.ownLoads().empty());
}

TEST_CASE_METHOD(StalledFlowsFixture, "the token decides where packets go of a flow that another node opened")
{
    CHECK(sendData(500, token(1), 2001, 701).number == number(1));
    CHECK(sendData(500, token(2), 2001, 701).number == number(2));
    REQUIRE(decider_.ownLoads().size() == 1);
    CHECK(decider_.ownLoads()[0].number == number(2));
    // The response ends the request, and a first packet starts a new flow.
    send(500, token(2), 901);
    CHECK(decider_.ownLoads().empty());
    CHECK(sendFirst(500, 443, 0).kind == VerdictKind::Forward);
    CHECK(decider_.statistics().firstPackets == 1);
}

TEST_CASE_METHOD(StalledFlowsFixture, "a slow server that accepts the probe keeps its flows")
{
    openFlowAt(1);
    sendData(lastPort_, token(1), 1001, 501);
    advance(milliseconds(120));
    REQUIRE(probes_.size() == 1);
    answerProbe(number(1), true);
    CHECK(resets_.empty());
    CHECK(sendData(lastPort_, token(1), 1001, 501).kind == VerdictKind::Forward);
}

TEST_CASE_METHOD(StalledFlowsFixture, "a response that arrives while a probe is pending outweighs the probe's failure")
{
    openFlowAt(1);
    const auto waiting = lastPort_;
    openFlowAt(1);
    const auto answered = lastPort_;
    sendData(waiting, token(1), 1001, 501);
    advance(milliseconds(120));
    REQUIRE(probes_.size() == 1);
    sendData(answered, token(1), 1001, 501);
    advance(milliseconds(10));
    send(answered, token(1), 701);
    answerProbe(number(1), false);
    CHECK(resets_.empty());
    CHECK(sendData(waiting, token(1), 1001, 501).kind == VerdictKind::Forward);
}

TEST_CASE_METHOD(StalledFlowsFixture, "a server that responds to other flows is not probed")
{
    openFlowAt(1);
    const auto waiting = lastPort_;
    openFlowAt(1);
    const auto answered = lastPort_;
    sendData(waiting, token(1), 1001, 501);
    for (uint32_t request = 0; request < 10; ++request) {
        sendData(answered, token(1), 1001 + 100 * request, 501 + 200 * request);
        advance(milliseconds(20));
        send(answered, token(1), 701 + 200 * request);
    }
    CHECK(probes_.empty());
}

TEST_CASE_METHOD(StalledFlowsFixture, "the result of a probe is used for a second only")
{
    openFlowAt(1);
    sendData(lastPort_, token(1), 1001, 501);
    advance(milliseconds(120));
    answerProbe(number(1), false);
    advance(milliseconds(400));
    CHECK(sendData(500, token(1), 2001, 701).kind == VerdictKind::Reset);
    advance(milliseconds(0));
    // The server is probed again while requests to it arrive.
    CHECK(probes_.size() == 2);
    answerProbe(number(1), true);
    CHECK(sendData(501, token(1), 2001, 701).kind == VerdictKind::Forward);
    advance(milliseconds(700));
    CHECK(sendData(502, token(1), 2001, 701).kind == VerdictKind::Forward);
}

TEST_CASE_METHOD(StalledFlowsFixture, "time in which this node read no packets does not count as silence of a server")
{
    openFlowAt(1);
    sendData(lastPort_, token(1), 1001, 501);
    decider_.recordStall(milliseconds(100));
    advance(milliseconds(120));
    CHECK(probes_.empty());
    advance(milliseconds(120));
    CHECK(probes_.size() == 1);
}

TEST_CASE_METHOD(StalledFlowsFixture, "requests to a server whose address a later server has taken over are reset")
{
    openFlowAt(1);
    const auto caller = lastPort_;
    const auto address = Base::Ipv4Endpoint { .address = { 1 }, .port = 80 };
    decider_.handle(now_,
        Steering::ServerListed { .entry = { .number = number(9),
                                     .service = "sheets",
                                     .address = address,
                                     .failureDomain = "brum",
                                     .slots = 2,
                                     .startedAt = milliseconds(6) } });
    CHECK(sendData(caller, token(1), 1001, 501).kind == VerdictKind::Reset);
    CHECK(sendFirst(600).number == number(2));
    // A new process under the old number ends the state.
    listServer(1, "brum", Steering::ServerState::Ready, milliseconds(0), milliseconds(7));
    CHECK(sendData(caller, token(1), 1001, 501).kind == VerdictKind::Forward);
}
