#include "OverloadCluster.h"

#include <algorithm>
#include <cstring>

namespace {

using Base::milliseconds;

/// One way between caller and entry VM, and between entry VM and server.
constexpr milliseconds callerDelay { 3 };
constexpr milliseconds serverDelay { 1 };
constexpr milliseconds reportInterval { 100 };
constexpr milliseconds reportDelay { 100 };
constexpr milliseconds attemptTimeout { 1400 };
constexpr milliseconds requestTimeout { 1500 };
constexpr int maximumAttempts = 3;
constexpr std::size_t serverQueueLimit = 8;
/// A slot that was free for longer than this was known to be free.
constexpr milliseconds oldestReport { 250 };
constexpr uint16_t firstServicePort = 443;
constexpr uint32_t firstSequence = 1000;

}

OverloadCluster::OverloadCluster(const Options& options)
    : classes_(options.classes)
    , random_(options.seed)
    , servers_(options.servers)
    , workingServers_(options.servers)
{
    auto configuration = std::make_shared<Steering::Configuration>();
    configuration->version = 1;
    configuration->position.revision = 1;
    for (std::size_t index = 0; index < classes_.size(); ++index) {
        const auto port = static_cast<uint16_t>(firstServicePort + index);
        configuration->routes.push_back({ .name = "route",
            .endpoint = { .address = { 0xC6120001 }, .port = port },
            .traffic = { .priority = classes_[index].priority,
                .latencyObjective = options.hasObjectives ? classes_[index].objective : milliseconds(0) },
            .shares = { { .service = "counter", .weight = 1 } } });
    }
    configuration->services.push_back({ .name = "counter" });
    configuration->idleTimeout = milliseconds(15'000);
    entryVms_.resize(options.entryVms);
    for (std::size_t index = 0; index < entryVms_.size(); ++index) {
        auto& decider = entryVms_[index].decider;
        decider = std::make_unique<Steering::SteeringDecider>(Steering::SteeringDecider::Options {
            .self = idOf(index), .failureDomain = "a", .seed = options.seed + index });
        decider->handle(now_, Steering::ConfigurationChanged { .configuration = configuration });
        for (std::size_t server = 0; server < servers_.size(); ++server) {
            decider->handle(now_,
                Steering::ServerListed {
                    .entry = { .number = { server + 1 },
                        .service = "counter",
                        .address = { .address = { static_cast<uint32_t>(server + 1) }, .port = 80 },
                        .failureDomain = "a",
                        .slots = slots,
                        .startedAt = milliseconds(5) } });
        }
        for (std::size_t peer = 0; peer < entryVms_.size(); ++peer)
            decider->handle(now_, Steering::PeerListed { .peer = idOf(peer), .failureDomain = "a", .reports = {} });
        decider->handle(now_, Steering::StateSynchronized {});
    }
    exchangeReports();
}

Base::EntryVmId OverloadCluster::idOf(std::size_t index)
{
    return Base::EntryVmId::fromEndpoint({ .address = { static_cast<uint32_t>(index + 1) }, .port = 100 });
}

Packet::FlowKey OverloadCluster::flowOf(uint32_t attempt) const
{
    const auto port = static_cast<uint16_t>(firstServicePort + requests_[attempts_[attempt].request].trafficClass);
    return { .caller = { .address = { 0x64400000 + attempt }, .port = 1000 },
        .service = { .address = { 0xC6120001 }, .port = port } };
}

OverloadCluster::EntryVm& OverloadCluster::entryVmOf(uint32_t attempt)
{
    auto index = flowOf(attempt).hash() % entryVms_.size();
    while (!entryVms_[index].isRunning)
        index = (index + 1) % entryVms_.size();
    return entryVms_[index];
}

void OverloadCluster::unlistPeer(std::size_t at, std::size_t peer)
{
    decider(at).handle(now_, Steering::PeerUnlisted { .peer = idOf(peer) });
}

void OverloadCluster::run(milliseconds time)
{
    const auto end = now_ + time;
    while (now_ < end)
        step();
}

void OverloadCluster::step()
{
    now_ += milliseconds(1);
    arrive();
    while (!events_.empty() && events_.begin()->first <= now_) {
        const auto action = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        action();
    }
    for (auto& entryVm : entryVms_) {
        if (entryVm.isRunning)
            runTimers(entryVm);
    }
}

void OverloadCluster::arrive()
{
    for (std::size_t index = 0; index < classes_.size(); ++index) {
        if (!random_.chance(classes_[index].requestsPerSecond * rateFactor_ / 1000))
            continue;
        ++classes_[index].offered;
        requests_.push_back({ .trafficClass = index, .arrivedAt = now_ });
        startAttempt(requests_.size() - 1);
    }
}

void OverloadCluster::startAttempt(std::size_t request)
{
    ++requests_[request].attempts;
    classes_[requests_[request].trafficClass].tries += requests_[request].isCounted ? 1 : 0;
    const auto attempt = static_cast<uint32_t>(attempts_.size());
    attempts_.push_back({ .request = request });
    for (const auto copyDelay : { milliseconds(0), milliseconds(200), milliseconds(600) })
        at(copyDelay + callerDelay, [this, attempt] { sendFirst(attempt); });
    at(attemptTimeout, [this, attempt] { endAttempt(attempt, false); });
}

void OverloadCluster::sendFirst(uint32_t attempt)
{
    if (attempts_[attempt].hasOpened || attempts_[attempt].isOver)
        return;
    Steering::FirstPacketBytes bytes {};
    std::memcpy(bytes.data(), &attempt, sizeof(attempt));
    const Steering::PacketView view { .flow = flowOf(attempt), .opensFlow = true, .sequence = firstSequence };
    const auto verdict = entryVmOf(attempt).decider->decide(now_, view, bytes);
    if (verdict.kind == Steering::VerdictKind::Forward)
        offer(attempt, verdict.number);
    else if (verdict.kind == Steering::VerdictKind::Reset)
        handleReset(attempt);
}

void OverloadCluster::offer(uint32_t attempt, Steering::BackendServerNumber server)
{
    trace_ = Base::mix(trace_, Base::mix(attempt, server.value));
    if (server.value > workingServers_)
        return;
    at(serverDelay + callerDelay, [this, attempt, server] {
        if (attempts_[attempt].hasOpened || attempts_[attempt].isOver)
            return;
        attempts_[attempt].hasOpened = true;
        attempts_[attempt].server = server;
        attempts_[attempt].token = Steering::FlowToken::tentative(server, flowOf(attempt), firstSequence);
        at(callerDelay, [this, attempt] { sendLater(attempt, 501, 100, false); });
    });
}

void OverloadCluster::sendLater(uint32_t attempt, uint32_t acknowledged, uint32_t dataBytes, bool ends)
{
    const Steering::PacketView view { .flow = flowOf(attempt),
        .token = attempts_[attempt].token,
        .acknowledges = true,
        .ends = ends,
        .sequence = firstSequence + (ends ? 101 : 1),
        .acknowledged = acknowledged,
        .dataBytes = dataBytes };
    const auto verdict = entryVmOf(attempt).decider->decide(now_, view, Steering::FirstPacketBytes {});
    if (verdict.kind == Steering::VerdictKind::Forward && dataBytes > 0)
        at(serverDelay, [this, attempt] { arriveAtServer(attempt); });
}

void OverloadCluster::arriveAtServer(uint32_t attempt)
{
    const auto number = attempts_[attempt].server.value;
    attempts_[attempt].token = Steering::FlowToken::confirmed(attempts_[attempt].server);
    if (number > workingServers_)
        return;
    auto& server = servers_[number - 1];
    if (server.busy < slots) {
        beginHandling(attempt, server);
    } else if (server.waiting.size() < serverQueueLimit) {
        server.waiting.push_back(attempt);
    } else {
        ++rejectedByServers_;
        at(serverDelay + callerDelay, [this, attempt] {
            at(callerDelay, [this, attempt] { sendLater(attempt, 551, 0, true); });
            endAttempt(attempt, false);
        });
    }
}

void OverloadCluster::beginHandling(uint32_t attempt, Server& server)
{
    ++server.busy;
    at(milliseconds(10 + static_cast<int64_t>(random_.below(21))), [this, attempt] { finishHandling(attempt); });
}

void OverloadCluster::finishHandling(uint32_t attempt)
{
    auto& server = servers_[attempts_[attempt].server.value - 1];
    --server.busy;
    if (!server.waiting.empty()) {
        const auto next = server.waiting.front();
        server.waiting.pop_front();
        beginHandling(next, server);
    } else {
        server.freeSince = now_;
    }
    at(serverDelay + callerDelay, [this, attempt] {
        at(callerDelay, [this, attempt] { sendLater(attempt, 2501, 0, true); });
        endAttempt(attempt, true);
    });
}

void OverloadCluster::endAttempt(uint32_t attempt, bool isAnswered)
{
    if (attempts_[attempt].isOver)
        return;
    attempts_[attempt].isOver = true;
    auto& request = requests_[attempts_[attempt].request];
    auto& trafficClass = classes_[request.trafficClass];
    if (isAnswered) {
        const bool isInTime = now_ - request.arrivedAt <= trafficClass.objective;
        trafficClass.inTime += request.isCounted && isInTime ? 1 : 0;
    } else if (request.attempts < maximumAttempts && now_ - request.arrivedAt < requestTimeout) {
        startAttempt(attempts_[attempt].request);
    }
}

void OverloadCluster::handleReset(uint32_t attempt)
{
    trace_ = Base::mix(trace_, attempt);
    ++rejections_;
    ++classes_[requests_[attempts_[attempt].request].trafficClass].rejected;
    const auto end = servers_.begin() + static_cast<std::ptrdiff_t>(workingServers_);
    rejectionsBesideFreeSlot_
        += std::any_of(servers_.begin(), end,
               [&](const Server& server) { return server.busy < slots && now_ - server.freeSince > oldestReport; })
        ? 1
        : 0;
    at(callerDelay, [this, attempt] { endAttempt(attempt, false); });
}

void OverloadCluster::runTimers(EntryVm& entryVm)
{
    for (const auto& hedge : entryVm.decider->handleTimers(now_)) {
        uint32_t attempt = 0;
        std::memcpy(&attempt, hedge.bytes.data(), sizeof(attempt));
        offer(attempt, hedge.verdict.number);
    }
    for (const auto& probe : entryVm.decider->takeProbes()) {
        const bool isReachable = probe.server.value <= workingServers_;
        entryVm.decider->handleProbe(now_, { .server = probe.server, .isReachable = isReachable });
    }
    for (const auto& reset : entryVm.decider->takeResets())
        handleReset(reset.flow.caller.address.value - 0x64400000);
}

void OverloadCluster::exchangeReports()
{
    for (std::size_t index = 0; index < entryVms_.size(); ++index) {
        auto& sender = entryVms_[index];
        if (!sender.isRunning || areReportsLost_)
            continue;
        const Steering::LoadReport report { .sender = idOf(index),
            .sequence = ++sender.sequence,
            .loads = sender.decider->ownLoads(),
            .demands = sender.decider->ownDemands() };
        at(reportDelay, [this, report] {
            for (auto& receiver : entryVms_)
                receiver.decider->acceptReport(now_, report);
        });
    }
    at(reportInterval, [this] { exchangeReports(); });
}

void OverloadCluster::resetCounts()
{
    for (auto& trafficClass : classes_) {
        trafficClass.offered = 0;
        trafficClass.inTime = 0;
        trafficClass.tries = 0;
        trafficClass.rejected = 0;
    }
    for (auto& request : requests_)
        request.isCounted = false;
    rejections_ = 0;
    rejectionsBesideFreeSlot_ = 0;
    rejectedByServers_ = 0;
}

uint64_t OverloadCluster::answeredInTime() const
{
    uint64_t sum = 0;
    for (const auto& trafficClass : classes_)
        sum += trafficClass.inTime;
    return sum;
}

uint64_t OverloadCluster::offered() const
{
    uint64_t sum = 0;
    for (const auto& trafficClass : classes_)
        sum += trafficClass.offered;
    return sum;
}

uint64_t OverloadCluster::tries() const
{
    uint64_t sum = 0;
    for (const auto& trafficClass : classes_)
        sum += trafficClass.tries;
    return sum;
}

std::size_t OverloadCluster::shortEntryVms() const
{
    return static_cast<std::size_t>(std::ranges::count_if(entryVms_, [](const EntryVm& entryVm) {
        return entryVm.isRunning && entryVm.decider->admission().shortServiceCount() > 0;
    }));
}
