#include <ControlFakes/FakeFleet.h>

#include <LibBase/Verify.h>
#include <LibControl/Events.h>
#include <numeric>

namespace ControlFakes {

using Base::EntryVmId;
using Base::milliseconds;
using Base::Revision;
using Base::TimePoint;
using Configuration::SnapshotPointer;

namespace {

    constexpr uint32_t firstAddress = 0x0A000001;
    constexpr uint16_t controlPort = 7000;
    constexpr uint16_t dataPort = 7001;
    constexpr milliseconds leaveDuration { 1000 };
    constexpr std::size_t seedCount = 5;

}

uint64_t NodeTraffic::total() const
{
    return std::accumulate(sent.begin(), sent.end(), uint64_t { 0 })
        + std::accumulate(received.begin(), received.end(), uint64_t { 0 });
}

FakeFleet::FakeFleet(const Options& options)
    : store(Base::mix(options.seed, 1))
    , network(Base::mix(options.seed, 2))
    , options_(options)
    , nodes_(options.nodes)
    , accepted_(std::make_shared<const Configuration::Snapshot>())
{
    for (std::size_t node = 0; node < nodes_.size(); ++node)
        indexes_[id(node)] = node;
    network.delay = [this](std::size_t from, std::size_t to) {
        if (regionOf(from) != regionOf(to))
            return options_.delayBetweenRegions;
        return domainOf(from) == domainOf(to) ? options_.delayInDomain : options_.delayBetweenDomains;
    };
    trafficSince_ = now();
    tickStore();
}

EntryVmId FakeFleet::id(std::size_t node) const
{
    return EntryVmId::fromEndpoint({ .address = { firstAddress + static_cast<uint32_t>(node) }, .port = controlPort });
}

Control::ControlNode::Options FakeFleet::nodeOptions(std::size_t node)
{
    Control::ControlNode::Options options { .self = id(node),
        .incarnation = nodes_[node].incarnation,
        .failureDomain = domainName(domainOf(node)),
        .region = "region-" + std::to_string(regionOf(node)),
        .dataEndpoint = { .address = { firstAddress + static_cast<uint32_t>(node) }, .port = dataPort },
        .seeds = {},
        .seed = Base::mix(options_.seed, 1000 + node + (nodes_[node].incarnation << 32)),
        .controlBytesPerSecond = options_.controlBytesPerSecond,
        .watchersPerDomain = options_.watchersPerDomain,
        .members = {},
        .applyChange = [this](const SnapshotPointer& base,
                           const Configuration::Change& change) { return applyShared(base, change); },
        .reportMembers = false };
    Base::Random random(options.seed);
    for (std::size_t count = 0; count < seedCount; ++count)
        options.seeds.push_back(id(random.below(nodes_.size())));
    return options;
}

void FakeFleet::startAll()
{
    std::vector<Control::Member> members;
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
        members.push_back({ .id = id(node),
            .incarnation = 1,
            .failureDomain = domainName(domainOf(node)),
            .region = "region-" + std::to_string(regionOf(node)),
            .dataEndpoint = { .address = { firstAddress + static_cast<uint32_t>(node) }, .port = dataPort } });
    }
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
        nodes_[node].incarnation = 1;
        auto options = nodeOptions(node);
        if (options_.startsJoined)
            options.members = members;
        auto created = Base::capture([&] { return Control::ControlNode::create(options); });
        VERIFY(created.isOk());
        nodes_[node].process = std::move(*created.value);
        const auto offset = options_.tickInterval * static_cast<int64_t>(node) / static_cast<int64_t>(nodes_.size());
        events_.at(now() + offset, [this, node] { tick(node, 1); });
    }
}

void FakeFleet::start(std::size_t index)
{
    auto& node = nodes_[index];
    ++node.incarnation;
    auto created = Base::capture([&] { return Control::ControlNode::create(nodeOptions(index)); });
    VERIFY(created.isOk());
    node.process = std::move(*created.value);
    node.inForce = {};
    node.pausedUntil = {};
    node.deferredActions.clear();
    readVmList(index);
    events_.at(now(), [this, index, incarnation = node.incarnation] { tick(index, incarnation); });
}

void FakeFleet::kill(std::size_t node) { nodes_[node].process.reset(); }

void FakeFleet::pause(std::size_t node, milliseconds duration)
{
    nodes_[node].pausedUntil = now() + duration;
    events_.at(nodes_[node].pausedUntil, [this, node] { runDeferredActions(node); });
}

void FakeFleet::runDeferredActions(std::size_t index)
{
    auto& node = nodes_[index];
    if (node.pausedUntil > now())
        return;
    auto deferredActions = std::exchange(node.deferredActions, {});
    for (auto& action : deferredActions)
        events_.at(now(), std::move(action));
}

void FakeFleet::resume(std::size_t index)
{
    nodes_[index].pausedUntil = std::min(nodes_[index].pausedUntil, now());
    runDeferredActions(index);
}

void FakeFleet::leave(std::size_t index)
{
    Control::ControlActions actions;
    nodes_[index].process->beginLeaving(now(), actions);
    perform(index, actions);
    events_.at(now() + leaveDuration, [this, index, incarnation = nodes_[index].incarnation] {
        if (nodes_[index].incarnation == incarnation)
            kill(index);
    });
}

void FakeFleet::announceVmList(const std::vector<std::size_t>& listed)
{
    vmList_.clear();
    for (const auto node : listed) {
        vmList_.push_back({ .id = id(node),
            .failureDomain = domainName(domainOf(node)),
            .region = "region-" + std::to_string(regionOf(node)) });
    }
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
        if (isRunning(node))
            readVmList(node);
    }
}

void FakeFleet::readVmList(std::size_t node)
{
    if (vmList_.empty())
        return;
    Control::ControlActions actions;
    nodes_[node].process->handleVmList(now(), vmList_, actions);
    perform(node, actions);
}

void FakeFleet::runOrDefer(std::size_t index, uint64_t incarnation, EventQueue::Action action)
{
    const auto& node = nodes_[index];
    if (!node.process || node.incarnation != incarnation)
        return;
    if (node.pausedUntil > now()) {
        nodes_[index].deferredActions.push_back([this, index, incarnation, action = std::move(action)]() mutable {
            runOrDefer(index, incarnation, std::move(action));
        });
        return;
    }
    action();
}

void FakeFleet::tick(std::size_t index, uint64_t incarnation)
{
    runOrDefer(index, incarnation, [this, index, incarnation] {
        Control::ControlActions actions;
        nodes_[index].process->handleTick(now(), actions);
        perform(index, actions);
        events_.at(now() + options_.tickInterval, [this, index, incarnation] { tick(index, incarnation); });
    });
}

void FakeFleet::tickStore()
{
    store.tick(now());
    events_.at(now() + options_.tickInterval, [this] { tickStore(); });
}

void FakeFleet::perform(std::size_t node, Control::ControlActions& actions)
{
    for (auto& action : actions) {
        if (auto* message = std::get_if<Control::SendMessage>(&action))
            send(node, *message);
        else if (const auto* call = std::get_if<Control::CallStore>(&action))
            callStore(node, *call);
        else if (const auto* enforced = std::get_if<Control::EnforceConfiguration>(&action))
            enforce(node, *enforced);
        else if (const auto* event = std::get_if<Control::LogEvent>(&action))
            log(node, *event);
    }
}

void FakeFleet::send(std::size_t from, Control::SendMessage& message)
{
    constexpr std::size_t overhead = 48;
    const auto bytes = message.bytes.size() + overhead;
    advanceTrafficSecond(nodes_[from]);
    nodes_[from].traffic.sent[static_cast<std::size_t>(message.kind)] += bytes;
    const auto found = indexes_.find(message.to);
    if (found == indexes_.end() || !isRunning(found->second))
        return;
    const auto to = found->second;
    const auto time = network.deliveryDelay(from, to);
    if (!time)
        return;
    events_.at(now() + *time,
        [this, from, to, incarnation = nodes_[to].incarnation, kind = message.kind, bytes,
            content = std::move(message.bytes)] {
            if (!isRunning(to))
                return;
            advanceTrafficSecond(nodes_[to]);
            nodes_[to].traffic.received[static_cast<std::size_t>(kind)] += bytes;
            deliver(from, to, incarnation, content);
        });
}

void FakeFleet::deliver(std::size_t from, std::size_t to, uint64_t incarnation, const std::vector<std::byte>& bytes)
{
    runOrDefer(to, incarnation, [this, from, to, bytes] {
        Control::ControlActions actions;
        static_cast<void>(
            Base::captureError([&] { return nodes_[to].process->handleMessage(now(), id(from), bytes, actions); }));
        perform(to, actions);
    });
}

void FakeFleet::callStore(std::size_t node, const Control::CallStore& call)
{
    if (isCutFromStore && isCutFromStore(node))
        return;
    const auto incarnation = nodes_[node].incarnation;
    store.handle(
        now(), call.request, [this, node, incarnation, requestId = call.id](TimePoint at, Store::Answer answer) {
            if (isCutFromStore && isCutFromStore(node))
                return;
            events_.at(at, [this, node, incarnation, requestId, answer = std::move(answer)] {
                runOrDefer(node, incarnation, [this, node, requestId, answer] {
                    Control::ControlActions actions;
                    static_cast<void>(Base::captureError(
                        [&] { return nodes_[node].process->handleStoreResponse(now(), requestId, answer, actions); }));
                    perform(node, actions);
                });
            });
        });
}

void FakeFleet::enforce(std::size_t index, const Control::EnforceConfiguration& enforced)
{
    auto& node = nodes_[index];
    const auto revision = enforced.snapshot->revision;
    const auto expected = acceptedHistory_.find(revision);
    const bool isAccepted = expected != acceptedHistory_.end() && *expected->second == *enforced.snapshot;
    if (revision <= node.inForce || !isAccepted)
        ++reverts_;
    node.inForce = revision;
    node.enforcedAt = now();
    if (onEnforced)
        onEnforced(index, revision);
}

void FakeFleet::log(std::size_t node, const Control::LogEvent& event)
{
    ++eventCounts_[event.number];
    if (onEvent)
        onEvent(node, event);
    if (event.number != static_cast<uint32_t>(Control::Event::LeaseAcquired))
        return;
    const auto key = domainName(domainOf(node)) + " " + event.fields;
    const auto [holder, isNew] = epochHolders_.try_emplace(key, node);
    if (!isNew && holder->second != node)
        ++epochConflicts_;
}

uint64_t FakeFleet::eventCount(uint32_t number) const
{
    const auto found = eventCounts_.find(number);
    return found == eventCounts_.end() ? 0 : found->second;
}

void FakeFleet::run(Base::nanoseconds duration) { events_.runUntil(now() + duration); }

bool FakeFleet::runUntil(const std::function<bool()>& condition, Base::nanoseconds limit)
{
    constexpr milliseconds step { 50 };
    const auto end = now() + limit;
    while (!condition()) {
        if (now() >= end)
            return false;
        run(step);
    }
    return true;
}

Base::ErrorOr<SnapshotPointer> FakeFleet::applyShared(const SnapshotPointer& base, const Configuration::Change& change)
{
    const auto known = acceptedHistory_.find(change.revision);
    const auto before = acceptedHistory_.find({ change.revision.value - 1 });
    const bool isShared = known != acceptedHistory_.end()
        && (change.revision.value == 1 || (before != acceptedHistory_.end() && before->second == base));
    if (isShared)
        return known->second;
    TRY_ASSIGN(next, Configuration::apply(base ? *base : Configuration::Snapshot {}, change));
    return std::make_shared<const Configuration::Snapshot>(std::move(next));
}

bool FakeFleet::isInForceEverywhere() const { return laggingCount() == 0; }

std::size_t FakeFleet::laggingCount() const
{
    std::size_t lagging = 0;
    for (const auto& node : nodes_)
        lagging += node.process && node.inForce != accepted() ? 1 : 0;
    return lagging;
}

bool FakeFleet::hasMember(std::size_t observer, std::size_t target)
{
    const auto members = node(observer).members();
    return std::any_of(
        members.begin(), members.end(), [&](const Control::Member& member) { return member.id == id(target); });
}

bool FakeFleet::hasReachableMember(std::size_t observer, std::size_t target)
{
    const auto members = node(observer).members();
    return std::any_of(members.begin(), members.end(),
        [&](const Control::Member& member) { return member.id == id(target) && member.reachable; });
}

void FakeFleet::advanceTrafficSecond(Node& node)
{
    const auto second = std::chrono::duration_cast<Base::seconds>(now().time_since_epoch()).count();
    if (node.trafficSecond == second)
        return;
    node.trafficSecond = second;
    if (node.traffic.total() > peakTraffic_.total())
        peakTraffic_ = node.traffic;
    for (std::size_t kind = 0; kind < Control::messageKindCount; ++kind) {
        totalTraffic_.sent[kind] += node.traffic.sent[kind];
        totalTraffic_.received[kind] += node.traffic.received[kind];
    }
    node.traffic = {};
}

void FakeFleet::resetTraffic()
{
    for (auto& node : nodes_)
        node.traffic = {};
    peakTraffic_ = {};
    totalTraffic_ = {};
    trafficSince_ = now();
}

NodeTraffic FakeFleet::peakTraffic()
{
    for (auto& node : nodes_) {
        if (node.traffic.total() > peakTraffic_.total())
            peakTraffic_ = node.traffic;
    }
    return peakTraffic_;
}

std::array<double, Control::messageKindCount> FakeFleet::meanTraffic()
{
    std::array<double, Control::messageKindCount> means {};
    const auto nodeSeconds = static_cast<double>(nodes_.size()) * Base::toSeconds(now() - trafficSince_);
    for (std::size_t kind = 0; kind < means.size(); ++kind)
        means[kind] = static_cast<double>(totalTraffic_.sent[kind] + totalTraffic_.received[kind]) / nodeSeconds;
    return means;
}

}
