// Backend servers that start again while the store is unreachable, so that no entry tells that they are cold. The load
// is that of a service with several requests per second at each server, from several entry VMs.

#include "Fixture.h"

#include <catch2/catch.hpp>
#include <map>
#include <utility>

using Steering::ProbeAnswer;
using Steering::VerdictKind;

namespace {

constexpr Base::milliseconds warmUp { 2000 };

class RestartSuspicionFixture : public SteeringFixture {
public:
    RestartSuspicionFixture()
    {
        configure();
        for (uint64_t server = 1; server <= serverCount; ++server)
            listServer(server);
        for (const uint32_t host : { 2, 3, 4 }) {
            decider_.handle(now_, Steering::PeerListed { .peer = peer(host), .failureDomain = "notts", .reports = {} });
        }
        synchronize();
        runTraffic(milliseconds(200));
    }

    void setStoreReachable(bool isReachable)
    {
        decider_.handle(now_, Steering::StoreReachable { .isReachable = isReachable });
    }

    /// Answers the probes that are due. Servers without an answer listed are reachable and accept.
    void answerProbes()
    {
        for (const auto& probe : std::exchange(probes_, {})) {
            const auto found = answers_.find(probe.server.value);
            const auto answer = found != answers_.end() ? found->second : ProbeAnswer::Accepted;
            decider_.handleProbe(
                now_, { .server = probe.server, .isReachable = answer != ProbeAnswer::None, .answer = answer });
            ++probeCount_;
        }
    }

    /// Opens a flow every 10 ms. Servers whose probes are not accepted respond to none. Returns the number of first
    /// packets to each server.
    std::map<uint64_t, int> runTraffic(milliseconds time)
    {
        std::map<uint64_t, int> counts;
        for (auto elapsed = milliseconds(0); elapsed < time; elapsed += milliseconds(10)) {
            const auto first = sendFirst(++lastPort_);
            advance(milliseconds(8));
            answerProbes();
            if (first.kind == VerdictKind::Forward) {
                ++counts[first.number.value];
                if (!isSilent(first.number.value))
                    send(lastPort_, first.token, 501, true);
            }
            advance(milliseconds(2));
            answerProbes();
        }
        return counts;
    }

    /// The server's process is absent for a while, under traffic.
    void restart(uint64_t server, milliseconds time)
    {
        answers_[server] = ProbeAnswer::Refused;
        runTraffic(time);
        answers_.erase(server);
    }

    /// Lists the server again, with a new revision.
    void registerAgain(uint64_t server, milliseconds startedAt, milliseconds warmUpLeft = milliseconds(0))
    {
        listServer(server, "brum", Steering::ServerState::Ready, warmUpLeft, startedAt);
    }

    bool report(const std::vector<Steering::BackendServerNumber>& suspects, uint32_t host = 2)
    {
        return decider_.acceptReport(
            now_, { .sender = peer(host), .sequence = ++sequence_, .possiblyRestarted = suspects });
    }

protected:
    static constexpr uint64_t serverCount = 16;

    bool isSilent(uint64_t server) const
    {
        return answers_.contains(server) && answers_.at(server) != ProbeAnswer::Accepted;
    }

    std::map<uint64_t, ProbeAnswer> answers_;
    int probeCount_ { 0 };
    uint16_t lastPort_ { 0 };
    uint64_t sequence_ { 0 };
    static constexpr milliseconds sameStart { 5 };
    static constexpr milliseconds laterStart { 60'000 };
};

}

TEST_CASE_METHOD(RestartSuspicionFixture, "a server that starts again during an outage of the store counts as cold")
{
    setStoreReachable(false);
    restart(3, milliseconds(400));
    CHECK(decider_.possiblyRestarted(now_) == std::vector { number(3) });
    CHECK(decider_.restartSuspicionCount() == 1);
    CHECK(runTraffic(warmUp)[3] == 0);
    // Its warm-up may have begun with the first probe that was accepted, up to 300 ms after the start.
    runTraffic(milliseconds(400));
    CHECK(decider_.possiblyRestarted(now_).empty());
    CHECK(runTraffic(milliseconds(1000))[3] > 0);
}

TEST_CASE_METHOD(RestartSuspicionFixture, "a server that is absent for long is cold from its return on")
{
    setStoreReachable(false);
    restart(3, 2 * warmUp);
    runTraffic(milliseconds(300));
    CHECK(runTraffic(warmUp - milliseconds(300))[3] == 0);
    runTraffic(milliseconds(400));
    CHECK(runTraffic(milliseconds(1000))[3] > 0);
}

TEST_CASE_METHOD(RestartSuspicionFixture, "lost packets of servers that accept probes are no sign of a restart")
{
    setStoreReachable(false);
    for (int round = 0; round < 20; ++round) {
        const auto lost = sendFirst(++lastPort_);
        REQUIRE(lost.kind == VerdictKind::Forward);
        runTraffic(milliseconds(100));
    }
    CHECK(probeCount_ > 0);
    CHECK(decider_.possiblyRestarted(now_).empty());
    // The lost first packets count as requests in flight for two seconds.
    runTraffic(milliseconds(2500));
    CHECK(runTraffic(milliseconds(1000)).size() == serverCount);
}

TEST_CASE_METHOD(RestartSuspicionFixture, "while the store is reachable, its entries alone tell of restarts")
{
    restart(3, milliseconds(400));
    CHECK(decider_.possiblyRestarted(now_).empty());
    REQUIRE(report({ number(4) }));
    runTraffic(milliseconds(4000));
    const auto counts = runTraffic(milliseconds(1000));
    CHECK(counts.at(3) > 0);
    CHECK(counts.at(4) > 0);
}

TEST_CASE_METHOD(RestartSuspicionFixture, "a server that was absent shortly before the store was lost counts as cold")
{
    answers_[3] = ProbeAnswer::Refused;
    // Two flows without a response cause a probe.
    for (int round = 0; round < 100 && probeCount_ == 0; ++round)
        runTraffic(milliseconds(100));
    REQUIRE(probeCount_ > 0);
    answers_.erase(3);
    SECTION("its new entry was not seen")
    {
        setStoreReachable(false);
        CHECK(runTraffic(warmUp)[3] == 0);
    }
    SECTION("its entry told so")
    {
        registerAgain(3, laterStart, milliseconds(100));
        setStoreReachable(false);
        CHECK(decider_.possiblyRestarted(now_).empty());
    }
}

TEST_CASE_METHOD(RestartSuspicionFixture, "a quarter of the servers may start again at once")
{
    setStoreReachable(false);
    for (uint64_t server = 1; server <= serverCount / 4; ++server)
        answers_[server] = ProbeAnswer::Refused;
    // Hedged attempts, which are not answered here, keep flows from servers for two seconds.
    runTraffic(milliseconds(2500));
    answers_.clear();
    CHECK(decider_.possiblyRestarted(now_).size() == serverCount / 4);
    const auto counts = runTraffic(warmUp);
    CHECK(counts.size() == serverCount - serverCount / 4);
    for (const auto& [server, count] : counts)
        CHECK(server > serverCount / 4);
}

TEST_CASE_METHOD(RestartSuspicionFixture, "servers that were all silent for a second keep their share")
{
    setStoreReachable(false);
    for (uint64_t server = 1; server <= serverCount; ++server)
        answers_[server] = ProbeAnswer::None;
    runTraffic(milliseconds(1000));
    REQUIRE(probeCount_ > 0);
    SECTION("all respond again at once") { answers_.clear(); }
    SECTION("one responds before the others")
    {
        answers_.erase(1);
        const auto first = sendFirst(++lastPort_);
        advance(milliseconds(8));
        send(lastPort_, first.token, 501, true);
        advance(milliseconds(8));
        answers_.clear();
    }
    runTraffic(milliseconds(1500));
    CHECK(decider_.possiblyRestarted(now_).empty());
    // First packets without a response keep new flows from a server for up to four seconds.
    runTraffic(milliseconds(3000));
    CHECK(runTraffic(milliseconds(1000)).size() == serverCount);
}

TEST_CASE_METHOD(RestartSuspicionFixture, "a silent host in a failure domain that responds is absent")
{
    setStoreReachable(false);
    answers_[3] = ProbeAnswer::None;
    runTraffic(milliseconds(2000));
    CHECK(decider_.possiblyRestarted(now_) == std::vector { number(3) });
}

TEST_CASE_METHOD(
    RestartSuspicionFixture, "an entry VM that sent a server nothing in its absence learns of it from a peer")
{
    setStoreReachable(false);
    REQUIRE(report({ number(3) }));
    CHECK(runTraffic(warmUp)[3] == 0);
    // Only the entry VM that probed the server reports it.
    CHECK(decider_.possiblyRestarted(now_).empty());
    CHECK(runTraffic(milliseconds(1000))[3] > 0);
}

TEST_CASE_METHOD(RestartSuspicionFixture, "a server stays cold for as long as a peer reports it, and a second longer")
{
    setStoreReachable(false);
    for (int round = 0; round < 30; ++round) {
        REQUIRE(report({ number(3) }));
        CHECK(runTraffic(milliseconds(200))[3] == 0);
    }
    runTraffic(milliseconds(1000));
    CHECK(runTraffic(milliseconds(1000))[3] > 0);
}

TEST_CASE_METHOD(RestartSuspicionFixture, "after the store's return an entry shows whether a server started again")
{
    setStoreReachable(false);
    restart(3, milliseconds(400));
    REQUIRE(report({ number(4) }));
    setStoreReachable(true);
    SECTION("the same process")
    {
        registerAgain(3, sameStart);
        registerAgain(4, sameStart);
        // The peer has not heard of the store's return yet.
        REQUIRE(report({ number(3), number(4) }));
        const auto counts = runTraffic(milliseconds(1500));
        CHECK(counts.contains(3));
        CHECK(counts.contains(4));
    }
    SECTION("a new process")
    {
        runTraffic(milliseconds(1000));
        registerAgain(3, laterStart, milliseconds(1500));
        CHECK(runTraffic(milliseconds(1500))[3] == 0);
    }
    SECTION("an unchanged entry, once every new process has registered")
    {
        auto counts = runTraffic(milliseconds(1500));
        CHECK(counts[3] == 0);
        CHECK(counts[4] == 0);
        runTraffic(milliseconds(1000));
        counts = runTraffic(milliseconds(1000));
        CHECK(counts[3] > 0);
        CHECK(counts[4] > 0);
    }
}

TEST_CASE_METHOD(RestartSuspicionFixture, "an entry that arrives during the outage tells only of a new process")
{
    setStoreReachable(false);
    restart(3, milliseconds(400));
    registerAgain(3, sameStart);
    CHECK(runTraffic(milliseconds(1000))[3] == 0);
}

TEST_CASE_METHOD(RestartSuspicionFixture, "a server that completes handshakes but refuses probes is not held back")
{
    for (uint64_t server = 2; server <= serverCount; ++server)
        decider_.handle(now_, Steering::ServerUnlisted { .number = number(server) });
    setStoreReachable(false);
    sendFirst(++lastPort_);
    const auto run = [&](int flows) {
        int forwarded = 0;
        for (int index = 0; index < flows; ++index) {
            advance(milliseconds(8));
            for (const auto& probe : std::exchange(probes_, {}))
                decider_.handleProbe(
                    now_, { .server = probe.server, .isReachable = true, .answer = ProbeAnswer::Refused });
            const auto first = sendFirst(++lastPort_);
            advance(milliseconds(8));
            if (first.kind != VerdictKind::Forward)
                continue;
            ++forwarded;
            send(lastPort_, first.token, 501, true);
        }
        return forwarded;
    };
    run(200);
    CHECK(run(50) == 50);
    CHECK(decider_.possiblyRestarted(now_).empty());
}

TEST_CASE_METHOD(RestartSuspicionFixture, "servers of a service without a warm-up time are never cold")
{
    Steering::Configuration configuration { .version = 11, .position = { .revision = 11 } };
    configuration.routes.push_back(
        { .name = "route", .endpoint = service(443), .shares = { { .service = "rota", .weight = 1 } } });
    configuration.services.push_back({ .name = "rota" });
    decider_.handle(
        now_, Steering::ConfigurationChanged { std::make_shared<const Steering::Configuration>(configuration) });
    setStoreReachable(false);
    restart(3, milliseconds(400));
    REQUIRE(report({ number(4) }));
    CHECK(decider_.possiblyRestarted(now_).empty());
    runTraffic(milliseconds(1000));
    const auto counts = runTraffic(milliseconds(1000));
    CHECK(counts.contains(3));
    CHECK(counts.contains(4));
}
