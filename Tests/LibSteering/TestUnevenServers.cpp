// Load: backend servers of three speeds behind the same number of slots, 3% of the requests seven times as long, demand
// at 70% of the room, entry VMs that learn of each other's requests 150 ms late.

#include <LibSteering/Process/ServiceTimes.h>
#include <LibSteering/Request/ServerChoice.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <memory>
#include <numeric>
#include <queue>

namespace {

using namespace Steering;
using Base::microseconds;
using Base::milliseconds;
using Base::TimePoint;

constexpr std::array<double, 3> speeds { 0.6, 1.0, 1.6 };
constexpr std::size_t serverCount = 30;
constexpr std::size_t entryVmCount = 4;
constexpr uint32_t slots = 2;
constexpr double demand = 0.7;
constexpr microseconds meanWork { 50'000 };
constexpr milliseconds reportInterval { 50 };
/// Reports are this many intervals old when they are received.
constexpr std::size_t reportAge = 3;
constexpr milliseconds warmUpTime { 40'000 };
constexpr milliseconds duration { 80'000 };
const Base::Ipv4Endpoint endpoint { .address = { 0xC6120001 }, .port = 443 };

BackendServerNumber numberOf(std::size_t server) { return { 100 + server }; }

/// The decisions of one entry VM.
struct EntryVm {
    ServerTable servers { {} };
    DomainReachability reachability;
    WarmUpAllowance allowance { {} };
    ServerChoice choice;
    ServiceTimes times { {}, servers };
    ServiceIndex service { servers.serviceIndex("rota") };

    explicit EntryVm(uint64_t seed)
        : choice({ .failureDomain = "brum", .seed = seed }, servers, reachability, allowance)
    {
        for (std::size_t server = 0; server < serverCount; ++server) {
            servers.addOrUpdate({},
                { .number = numberOf(server),
                    .service = "rota",
                    .address = { .address = { static_cast<uint32_t>(server + 1) }, .port = 80 },
                    .failureDomain = "brum",
                    .slots = slots,
                    .startedAt = milliseconds(5) },
                {});
        }
    }

    Server& at(std::size_t server) { return servers.at(*servers.find(numberOf(server))); }
};

/// Servers with slots and a queue; a request ends, and counts no longer, when its work is done.
class UnevenServers {
public:
    struct Result {
        double busiestOverMean { 0 };
        milliseconds p99 { 0 };
    };

    /// usesTimes: the entry VMs learn service times; if not, the cost is requests in flight per slot.
    UnevenServers(uint64_t seed, bool usesTimes)
        : random_(seed)
        , usesTimes_(usesTimes)
    {
        for (std::size_t index = 0; index < entryVmCount; ++index)
            entryVms_.push_back(std::make_unique<EntryVm>(seed + index));
    }

    Result run()
    {
        const double totalSpeed = std::accumulate(speeds.begin(), speeds.end(), 0.0) * serverCount / speeds.size();
        const auto meanInterval = static_cast<double>(meanWork.count()) * longFactor / (totalSpeed * slots * demand);
        TimePoint nextReport {};
        while (now_ < TimePoint(duration)) {
            now_ += microseconds(static_cast<int64_t>(-std::log(1 - random_.unit()) * meanInterval));
            endRequests();
            for (; nextReport <= now_; nextReport += reportInterval)
                report(nextReport);
            startRequest();
        }
        return result();
    }

private:
    /// Mean work of all requests, relative to that of usual ones.
    static constexpr double longFactor = 1 + 0.03 * 6;

    struct Request {
        TimePoint endsAt;
        TimePoint startedAt;
        std::size_t server { 0 };
        std::size_t entryVm { 0 };
        bool isSample { false };

        bool operator>(const Request& other) const { return endsAt > other.endsAt; }
    };

    void startRequest()
    {
        const auto entryVm = static_cast<std::size_t>(random_.below(entryVmCount));
        auto& vm = *entryVms_[entryVm];
        const auto choice = vm.choice.choose(now_, { .service = vm.service });
        REQUIRE(choice);
        auto& chosen = vm.servers.at(choice->server);
        const auto server = static_cast<std::size_t>(chosen.entry.number.value - 100);
        ++chosen.ownInFlight;
        const double work = static_cast<double>(meanWork.count()) * (0.8 + 0.4 * random_.unit())
            * (random_.chance(0.03) ? 7 : 1) / speeds[server % speeds.size()];
        const microseconds workTime(static_cast<int64_t>(work));
        auto& slot = *std::ranges::min_element(busyUntil_[server]);
        slot = std::max(slot, now_) + workTime;
        if (now_ >= TimePoint(warmUpTime))
            work_[server] += work;
        running_.push({ .endsAt = slot,
            .startedAt = now_,
            .server = server,
            .entryVm = entryVm,
            .isSample = ServiceTimes::isSample(chosen) });
    }

    void endRequests()
    {
        while (!running_.empty() && running_.top().endsAt <= now_) {
            const auto request = running_.top();
            running_.pop();
            auto& vm = *entryVms_[request.entryVm];
            vm.servers.decrementOwnInFlight(numberOf(request.server));
            const auto time = std::chrono::duration_cast<microseconds>(request.endsAt - request.startedAt);
            if (usesTimes_ && request.isSample)
                vm.times.recordResponse(request.endsAt, endpoint, numberOf(request.server), time);
            if (request.startedAt >= TimePoint(warmUpTime))
                times_.push_back(time);
        }
    }

    void report(TimePoint now)
    {
        for (auto& vm : entryVms_)
            vm->times.update(now);
        auto& sent = reports_.emplace_back();
        for (std::size_t server = 0; server < serverCount; ++server) {
            for (std::size_t vm = 0; vm < entryVmCount; ++vm)
                sent[server][vm] = entryVms_[vm]->at(server).ownInFlight;
        }
        if (reports_.size() <= reportAge)
            return;
        const auto received = reports_.front();
        reports_.pop_front();
        for (std::size_t server = 0; server < serverCount; ++server) {
            const auto total = std::accumulate(received[server].begin(), received[server].end(), 0U);
            for (std::size_t vm = 0; vm < entryVmCount; ++vm)
                entryVms_[vm]->at(server).peersInFlight = total - received[server][vm];
        }
        for (std::size_t receiver = 0; usesTimes_ && receiver < entryVmCount; ++receiver) {
            for (std::size_t sender = 0; sender < entryVmCount; ++sender) {
                if (sender != receiver)
                    entryVms_[receiver]->times.acceptReport(now, { sender + 1 }, entryVms_[sender]->times.ownSpeeds());
            }
        }
    }

    Result result()
    {
        const auto busiest = std::ranges::max(work_);
        const auto mean = std::accumulate(work_.begin(), work_.end(), 0.0) / serverCount;
        const auto p99 = times_.begin() + static_cast<std::ptrdiff_t>(times_.size() * 99 / 100);
        std::ranges::nth_element(times_, p99);
        return { .busiestOverMean = busiest / mean, .p99 = std::chrono::duration_cast<milliseconds>(*p99) };
    }

    Base::Random random_;
    bool usesTimes_;
    TimePoint now_ {};
    std::vector<std::unique_ptr<EntryVm>> entryVms_;
    std::deque<std::array<std::array<uint32_t, entryVmCount>, serverCount>> reports_;
    std::array<std::array<TimePoint, slots>, serverCount> busyUntil_ {};
    std::array<double, serverCount> work_ {};
    std::priority_queue<Request, std::vector<Request>, std::greater<>> running_;
    std::vector<microseconds> times_;
};

}

TEST_CASE("servers of three speeds are used alike, and slow ones hold up fewer requests")
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        INFO("seed " << seed);
        const auto baseline = UnevenServers(seed, false).run();
        const auto result = UnevenServers(seed, true).run();
        INFO("busiest over mean " << result.busiestOverMean << ", p99 " << result.p99.count() << " ms");
        INFO("by requests in flight alone " << baseline.busiestOverMean << ", " << baseline.p99.count() << " ms");
        CHECK(result.busiestOverMean <= 1.15);
        CHECK(result.p99 < baseline.p99);
    }
}

TEST_CASE("equal servers are chosen as by requests in flight per slot")
{
    // The cost before service times were known.
    const auto costByInFlight = [](const Server& server, bool isOwnDomain, bool isKnown) {
        return static_cast<double>(server.inFlight()) / std::max<uint32_t>(1, server.entry.slots)
            + (isOwnDomain ? 0 : 0.45) + (isKnown ? 0 : 1.0);
    };
    Base::Random random(11);
    for (int table = 0; table < 300; ++table) {
        ServerTable servers { {} };
        DomainReachability reachability;
        WarmUpAllowance allowance { {} };
        const auto seed = random.next();
        const auto isLoadKnown = [](BackendServerNumber number, bool) { return number.value % 5 != 0; };
        ServerChoice choice(
            { .failureDomain = "brum", .seed = seed, .isLoadKnown = isLoadKnown }, servers, reachability, allowance);
        const auto service = servers.serviceIndex("rota");
        const auto count = 1 + random.below(40);
        for (uint64_t server = 0; server < count; ++server) {
            servers.addOrUpdate({},
                { .number = { 100 + server },
                    .service = "rota",
                    .address = { .address = { static_cast<uint32_t>(server + 1) }, .port = 80 },
                    .failureDomain = random.chance(0.5) ? "brum" : "notts",
                    .slots = static_cast<uint32_t>(1 + random.below(20)),
                    .startedAt = milliseconds(5) },
                {});
            servers.at(*servers.find({ 100 + server })).ownInFlight = static_cast<uint32_t>(random.below(8));
        }
        Base::Random ties(seed);
        for (int flow = 0; flow < 40; ++flow) {
            std::optional<ServerIndex> expected;
            double lowest = std::numeric_limits<double>::infinity();
            uint64_t equalCount = 0;
            for (const auto index : servers.serversOf(service)) {
                const auto& server = servers.at(index);
                const auto cost = costByInFlight(
                    server, server.entry.failureDomain == "brum", isLoadKnown(server.entry.number, true));
                if (cost > lowest)
                    continue;
                equalCount = cost < lowest ? 1 : equalCount + 1;
                lowest = cost;
                if (ties.below(equalCount) == 0)
                    expected = index;
            }
            const auto chosen = choice.choose({}, { .service = service });
            REQUIRE(chosen);
            REQUIRE(chosen->server == expected);
            ++servers.at(chosen->server).ownInFlight;
        }
    }
}

TEST_CASE("a server that turned slow gets new requests only until it is level")
{
    EntryVm vm(5);
    for (std::size_t server = 0; server < serverCount; ++server)
        vm.at(server).ownInFlight = slots;
    vm.at(0).relativeServiceTime = 2;
    vm.at(0).ownInFlight = 0;
    // An idle server that takes twice as long costs as much as a median one with a request in each slot.
    std::array<uint32_t, serverCount> chosen {};
    for (int request = 0; request < 60; ++request) {
        const auto choice = vm.choice.choose({}, { .service = vm.service });
        REQUIRE(choice);
        ++vm.servers.at(choice->server).ownInFlight;
        ++chosen[static_cast<std::size_t>(vm.servers.at(choice->server).entry.number.value - 100)];
    }
    CHECK(chosen[0] <= 2);
}
