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
        for (int attempt = 0;; ++attempt) {
            REQUIRE(attempt < 1000);
            const auto opened = openFlow(++lastPort_);
            if (opened.number == number(server))
                return;
            send(lastPort_, opened.token, 501, true);
        }
    }

    /// A later server, 9, registers at the address of another one.
    void listOtherAtAddressOf(uint32_t server, const std::string& service)
    {
        decider_.handle(now_,
            Steering::ServerListed { .entry = { .number = number(9),
                                         .service = service,
                                         .address = { .address = { server }, .port = 80 },
                                         .failureDomain = "brum",
                                         .slots = 2,
                                         .startedAt = milliseconds(6) } });
    }

    void configureServices(const std::vector<std::string>& names, uint64_t revision = 11)
    {
        Steering::Configuration configuration { .version = revision, .position = { .revision = revision } };
        configuration.routes.push_back(
            { .name = "route", .endpoint = service(443), .shares = { { .service = "rota", .weight = 1 } } });
        for (const auto& name : names)
            configuration.services.push_back({ .name = name });
        configuration.idleTimeout = milliseconds(15'000);
        decider_.handle(
            now_, Steering::ConfigurationChanged { std::make_shared<const Steering::Configuration>(configuration) });
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
    configureServices({ "rota", "sheets" });
    openFlowAt(1);
    const auto caller = lastPort_;
    listOtherAtAddressOf(1, "sheets");
    // New flows go elsewhere at once; open ones until the server is found silent.
    CHECK(sendFirst(600).number == number(2));
    CHECK(sendData(caller, token(1), 1001, 501).kind == VerdictKind::Forward);
    for (int round = 0; round < 9; ++round)
        advance(milliseconds(100));
    // The server may be slow, and the entry wrong.
    CHECK(resets_.empty());
    advance(milliseconds(200));
    CHECK(probes_.empty());
    REQUIRE(resets_.size() == 1);
    CHECK(resets_[0].flow == flow(caller));
    // From then on at once, also for flows of other nodes.
    CHECK(sendData(500, token(1), 2001, 701).kind == VerdictKind::Reset);
    // A new process under the old number ends the state.
    listServer(1, "brum", Steering::ServerState::Ready, milliseconds(0), milliseconds(7));
    CHECK(sendData(caller, token(1), 1001, 501).kind == VerdictKind::Forward);
}

TEST_CASE_METHOD(
    StalledFlowsFixture, "the first handshake of a later server at the address ends the earlier one's flows")
{
    configureServices({ "rota", "sheets" });
    openFlowAt(1);
    const auto caller = lastPort_;
    listOtherAtAddressOf(1, "rota");
    for (uint16_t port = 700; openFlow(port).number != number(9); ++port) { }
    CHECK(sendData(caller, token(1), 1001, 501).kind == VerdictKind::Reset);
}

// Guards against resets of a live server's open flows because of an entry of a service that does not exist.
TEST_CASE_METHOD(
    StalledFlowsFixture, "an entry of a service that no configuration names says nothing about other servers")
{
    openFlowAt(1);
    const auto caller = lastPort_;
    listOtherAtAddressOf(1, "rota-trial");
    CHECK(sendData(caller, token(1), 1001, 501).kind == VerdictKind::Forward);
    advance(milliseconds(2));
    send(caller, token(1), 701);
    CHECK(sendData(caller, token(1), 1101, 701).kind == VerdictKind::Forward);
    openFlowAt(1);
    // Once operators configure the service, the entry counts.
    configureServices({ "rota", "rota-trial" }, 11);
    CHECK(sendFirst(600).number == number(2));
}

// Guards against the same because of a wrong entry of a service that exists.
TEST_CASE_METHOD(StalledFlowsFixture, "a wrong entry of a configured service ends no flow of a live server")
{
    openFlowAt(1);
    const auto caller = lastPort_;
    listOtherAtAddressOf(1, "rota");
    for (uint32_t request = 0; request < 100; ++request) {
        REQUIRE(sendData(caller, token(1), 1001 + 100 * request, 501 + 200 * request).kind == VerdictKind::Forward);
        advance(milliseconds(20));
        send(caller, token(1), 701 + 200 * request);
    }
    CHECK(resets_.empty());
    // The server has responded for longer than responses are delayed, so that new flows may use it again.
    openFlowAt(1);
}

// Guards against a server that stays unused after the entry that spoke against it is gone.
TEST_CASE_METHOD(StalledFlowsFixture, "a server is used again once the later entry at its address is gone")
{
    listOtherAtAddressOf(1, "rota");
    CHECK(sendFirst(600).number != number(1));
    CHECK(sendFirst(601).number != number(1));
    CHECK(sendFirst(602).number != number(1));
    decider_.handle(now_, Steering::ServerUnlisted { .number = number(9) });
    openFlowAt(1);
}

TEST_CASE_METHOD(
    StalledFlowsFixture, "a server that was cut off is used again once the later entry at its address is gone")
{
    openFlowAt(1);
    const auto caller = lastPort_;
    listOtherAtAddressOf(1, "rota");
    REQUIRE(sendData(caller, token(1), 1001, 501).kind == VerdictKind::Forward);
    for (int round = 0; round < 12; ++round)
        advance(milliseconds(100));
    REQUIRE(resets_.size() == 1);
    SECTION("its own entry is still there")
    {
        decider_.handle(now_, Steering::ServerUnlisted { .number = number(9) });
        openFlowAt(1);
        CHECK(sendData(500, token(1), 2001, 701).kind == VerdictKind::Forward);
    }
    SECTION("its own entry went first")
    {
        decider_.handle(now_, Steering::ServerUnlisted { .number = number(1) });
        decider_.handle(now_, Steering::ServerUnlisted { .number = number(9) });
        CHECK(sendData(500, token(1), 2001, 701).kind == VerdictKind::Reset);
    }
    SECTION("the later server has completed a handshake")
    {
        for (uint16_t port = 700; openFlow(port).number != number(9); ++port)
            REQUIRE(port < 1700);
        decider_.handle(now_, Steering::ServerUnlisted { .number = number(9) });
        CHECK(sendData(500, token(1), 2001, 701).kind == VerdictKind::Reset);
    }
}

// Guards against a live server that each update of a wrong entry hides from new flows.
TEST_CASE_METHOD(StalledFlowsFixture, "an update of a wrong entry does not hide a live server again")
{
    openFlowAt(1);
    const auto caller = lastPort_;
    listOtherAtAddressOf(1, "rota");
    for (uint32_t request = 0; request < 100; ++request) {
        REQUIRE(sendData(caller, token(1), 1001 + 100 * request, 501 + 200 * request).kind == VerdictKind::Forward);
        advance(milliseconds(20));
        send(caller, token(1), 701 + 200 * request);
    }
    listOtherAtAddressOf(1, "rota");
    openFlowAt(1);
}

// Guards against resets for good after a cut, which looks like the end of a server that a wrong entry supersedes.
TEST_CASE_METHOD(StalledFlowsFixture, "silence beside a later entry at the address ends flows only while it lasts")
{
    openFlowAt(1);
    const auto caller = lastPort_;
    listOtherAtAddressOf(1, "rota");
    REQUIRE(sendData(caller, token(1), 1001, 501).kind == VerdictKind::Forward);
    for (int round = 0; round < 12; ++round)
        advance(milliseconds(100));
    REQUIRE(resets_.size() == 1);
    CHECK(sendData(500, token(1), 2001, 701).kind == VerdictKind::Reset);
    for (int round = 0; round < 13; ++round)
        advance(milliseconds(100));
    SECTION("the server responds again")
    {
        for (uint32_t request = 0; request < 100; ++request) {
            REQUIRE(sendData(501, token(1), 2001 + 100 * request, 701 + 200 * request).kind == VerdictKind::Forward);
            advance(milliseconds(20));
            send(501, token(1), 901 + 200 * request);
        }
        CHECK(resets_.size() == 1);
        openFlowAt(1);
    }
    SECTION("the server is still silent")
    {
        REQUIRE(sendData(501, token(1), 2001, 701).kind == VerdictKind::Forward);
        for (int round = 0; round < 12; ++round)
            advance(milliseconds(100));
        CHECK(resets_.size() == 2);
        CHECK(sendData(502, token(1), 2001, 701).kind == VerdictKind::Reset);
    }
}

// Guards against a live server that gets no flow for as long as a wrong entry stands at its address.
TEST_CASE_METHOD(StalledFlowsFixture, "a server that a wrong entry supersedes is tried again though no flow is open")
{
    listOtherAtAddressOf(1, "sheets");
    configureServices({ "rota", "sheets" });
    for (uint16_t port = 600; port < 610; ++port)
        CHECK(sendFirst(port).number == number(2));
    for (int round = 0; round < 12; ++round)
        advance(milliseconds(100));
    openFlowAt(1);
    for (uint16_t port = 620; port < 630; ++port)
        openFlow(port);
    openFlowAt(1);
}

// Guards against first packets that are lost, one after the other, at a server whose address has another user.
TEST_CASE_METHOD(StalledFlowsFixture, "one first packet at a time tries a superseded server")
{
    listOtherAtAddressOf(1, "sheets");
    configureServices({ "rota", "sheets" });
    int attempts = 0;
    for (uint16_t port = 600; port < 1100; ++port) {
        const auto first = sendFirst(port);
        attempts += first.number == number(1) ? 1 : 0;
        advance(milliseconds(8));
        if (first.number == number(2))
            send(port, first.token, 501, true);
    }
    // Four seconds: one attempt after the first, then after pauses that double.
    CHECK(attempts >= 1);
    CHECK(attempts <= 4);
}

// Guards against callers that are rejected though a server lives, only because a wrong entry supersedes it.
TEST_CASE_METHOD(StalledFlowsFixture, "a superseded server is used if there is no other")
{
    listOtherAtAddressOf(1, "sheets");
    configureServices({ "rota", "sheets" });
    decider_.handle(now_, Steering::ServerUnlisted { .number = number(2) });
    CHECK(sendFirst(600).number == number(1));
}
