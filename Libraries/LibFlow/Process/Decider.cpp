#include <LibFlow/Process/Decider.h>
#include <algorithm>

namespace Flow {

namespace {

    /// Time after which a balancer has left even if the control budget did not suffice to copy every exception.
    constexpr Base::seconds leaveTimeout { 10 };
    /// Time for which a leaving balancer still acts as owner, because peers may not have received its announcement.
    constexpr Base::milliseconds ownershipReleaseDelay { 100 };
    constexpr Base::milliseconds leavingAnnouncementInterval { 250 };

}

Decider::Decider(const Options& options)
    : state_(options)
    , placement_(state_)
    , link_(options.incarnation, options.controlBytesPerSecond)
    , admission_(state_, placement_, loadView_)
    , firstPacketHandler_(state_, placement_, loadView_, admission_)
    , callerPath_(state_, placement_, admission_, firstPacketHandler_)
    , returnPath_(state_, placement_, firstPacketHandler_)
    , limitExchange_(state_, placement_, link_)
    , loadExchange_(state_, placement_, admission_, loadView_, link_)
    , maintenance_(state_, placement_, link_)
{
    state_.statistics.backendServer = [this](BackendServerId id) { return gauges(id); };
}

Base::ErrorOr<void> Decider::setConfiguration(TimePoint now, Configuration::SnapshotPointer snapshot)
{
    if (!snapshot)
        return Base::makeError(Base::ErrorCode::InvalidArgument, "configuration is null");
    if (snapshot->revision < state_.routing.revision())
        return Base::makeError(Base::ErrorCode::Stale, "configuration is older than the current one");
    auto before = state_.routing.serversAcceptingNewFlows();
    bool isFirst = !state_.routing.isReady();
    state_.routing.setSnapshot(now, std::move(snapshot));
    limitExchange_.updateRoles(now, {});
    for (const auto& [id, entry] : state_.routing.servers()) {
        if (!isFirst && entry.acceptsNewFlows() && !before.contains(id))
            state_.runtimes[id].warmUp.restart(now);
    }
    return {};
}

Base::ErrorOr<void> Decider::setPeers(TimePoint now, const PeerView& view)
{
    if (view.version < viewVersion_)
        return Base::makeError(Base::ErrorCode::Stale, "view of peers is older than the current one");
    viewVersion_ = view.version;
    std::vector<EntryVmId> lost;
    for (const auto& peer : state_.ranking.peers()) {
        auto current = std::find_if(
            view.peers.begin(), view.peers.end(), [&](const Peer& other) { return other.id == peer.id; });
        if (current == view.peers.end() || current->incarnation != peer.incarnation)
            lost.push_back(peer.id);
    }
    state_.ranking.setPeers(view);
    if (state_.hasPeerView)
        state_.peersChangedAt = now;
    state_.hasPeerView = true;
    if (!lost.empty())
        maintenance_.expediteSweep();
    limitExchange_.updateRoles(now, lost);
    for (auto peer : lost)
        loadView_.removePeer(peer);
    return {};
}

void Decider::prefetch(std::span<const PacketEvent> events) const
{
    for (const auto& event : events)
        state_.flows.prefetchIndex(event.packet.key);
    for (const auto& event : events)
        state_.flows.prefetchRecord(event.packet.key);
}

void Decider::handlePacket(TimePoint now, const PacketEvent& event, Actions& actions)
{
    ActionWriter writer(state_.statistics, actions);
    if (!state_.isReady()) {
        handOverWhileNotReady(event, writer);
        return;
    }
    if (event.arrival == Arrival::Peer && event.handOver.hops > maximumHandOvers) {
        writer.drop(event.token, DropReason::HandOverLimit);
        return;
    }
    if (event.packet.direction == Packet::Direction::ToBackendServer)
        callerPath_.handle(now, event, writer);
    else
        returnPath_.handle(now, event, writer);
    if (state_.statistics.queueLength > 0)
        firstPacketHandler_.dispatchQueued(now, writer);
}

void Decider::handOverWhileNotReady(const PacketEvent& event, ActionWriter& writer)
{
    std::vector<EntryVmId> ready;
    for (const auto& peer : state_.ranking.peers()) {
        if (peer.reachable && peer.id != event.sender)
            ready.push_back(peer.id);
    }
    if (ready.empty() || event.arrival == Arrival::Peer) {
        writer.drop(event.token, DropReason::NotReady);
        return;
    }
    std::sort(ready.begin(), ready.end());
    auto peer = ready[event.packet.key.hash() % ready.size()];
    writer.handOver(event, state_.options.self, peer,
        { .reason = HandOverReason::ToOwner,
            .backendServer
            = event.packet.direction == Packet::Direction::ToCaller ? event.backendServer : BackendServerId {} });
}

Base::ErrorOr<void> Decider::handlePeerMessage(
    TimePoint now, EntryVmId sender, std::span<const std::byte> bytes, Actions& actions)
{
    ActionWriter writer(state_.statistics, actions);
    auto result = dispatch(now, sender, bytes, writer);
    if (!result)
        ++state_.statistics.peerMessagesRefused;
    return result;
}

Base::ErrorOr<void> Decider::dispatch(
    TimePoint now, EntryVmId sender, std::span<const std::byte> bytes, ActionWriter& writer)
{
    const auto* peer = state_.ranking.findPeer(sender);
    if (!peer)
        return Base::makeError(
            Base::ErrorCode::Unauthenticated, "message from a balancer that is not in the peer view");
    TRY_ASSIGN(message, PeerMessage::decode(bytes));
    if (message.incarnation != peer->incarnation)
        return Base::makeError(Base::ErrorCode::Stale, "message of another incarnation of the sender");
    if (!state_.isReady())
        return {};
    switch (message.kind) {
    case ControlKind::LimitClaim:
    case ControlKind::LimitGrant:
    case ControlKind::Holding:
        return limitExchange_.handleMessage(now, sender, message, writer);
    case ControlKind::LoadDigest:
        return loadExchange_.handleMessage(now, sender, message);
    case ControlKind::Exceptions:
        return maintenance_.handleMessage(now, message);
    case ControlKind::Leaving:
        if (state_.ranking.setLeaving(*peer))
            limitExchange_.updateRoles(now, {});
        return {};
    }
    return Base::makeError(Base::ErrorCode::Malformed, "unknown peer message kind");
}

Base::ErrorOr<void> Decider::handleReport(TimePoint now, const BackendServerReport& report)
{
    const auto* entry = state_.routing.findServer(report.backendServer);
    if (!entry) {
        ++state_.statistics.reportsRefused;
        return Base::makeError(Base::ErrorCode::NotFound, "report for an unknown backend server");
    }
    auto& runtime = state_.runtimes[report.backendServer];
    if (!runtime.health.isEjected(now) && report.observedAt >= runtime.health.observedAt())
        runtime.share.applyReportedSlots(report.observedAt, report.slotsInUse, runtime.localUsage.slots);
    switch (runtime.health.applyReport(report)) {
    case ServerHealth::Change::Stale:
        ++state_.statistics.reportsRefused;
        return Base::makeError(Base::ErrorCode::Stale, "report is older than the latest one");
    case ServerHealth::Change::Restarted:
        runtime.warmUp.restart(now);
        break;
    case ServerHealth::Change::None:
        break;
    }
    return {};
}

void Decider::handleTick(TimePoint now, Actions& actions)
{
    lastTick_ = now;
    // Peers may not have received the announcement yet: until the delay is over, flows with a local record are still
    // served here.
    if (state_.isLeaving && !state_.ranking.isLeaving() && now - leavingSince_ >= ownershipReleaseDelay) {
        state_.ranking.beginLeaving();
        limitExchange_.updateRoles(now, {});
        mustHandOverQueue_ = true;
    }
    if (!state_.isReady())
        return;
    ActionWriter writer(state_.statistics, actions);
    announceLeaving(now, writer);
    if (mustHandOverQueue_)
        firstPacketHandler_.handOverQueue(now, writer);
    mustHandOverQueue_ = false;
    link_.refillBudget(now);
    limitExchange_.handleTick(now, writer);
    loadExchange_.handleTick(now, writer);
    firstPacketHandler_.handleTick(now, writer);
    maintenance_.handleTick(now, writer);
}

void Decider::announceLeaving(TimePoint now, ActionWriter& writer)
{
    if (!state_.isLeaving || now < nextLeavingAnnouncementAt_)
        return;
    nextLeavingAnnouncementAt_ = now + leavingAnnouncementInterval;
    for (const auto& peer : state_.ranking.peers())
        link_.send(peer.id, ControlKind::Leaving, {}, writer);
}

void Decider::beginLeaving(TimePoint now, Actions& actions)
{
    if (state_.isLeaving)
        return;
    state_.isLeaving = true;
    leavingSince_ = now;
    ActionWriter writer(state_.statistics, actions);
    if (state_.isReady()) {
        announceLeaving(now, writer);
        firstPacketHandler_.handOverQueue(now, writer);
    }
    maintenance_.beginLeaving(now);
}

bool Decider::hasLeft() const
{
    if (!state_.isLeaving)
        return false;
    if (!state_.ranking.isLeaving())
        return false;
    bool isDone = !state_.isReady() || state_.statistics.flowsHeld == 0
        || (maintenance_.hasCopiedAllExceptions() && state_.statistics.queueLength == 0
            && state_.statistics.keptCopies == 0);
    return isDone || lastTick_ - leavingSince_ >= leaveTimeout;
}

std::vector<BackendServerId> Decider::backendServersToProbe() const
{
    std::vector<BackendServerId> servers;
    for (const auto& [id, entry] : state_.routing.servers()) {
        auto ranks = placement_.ranks(id);
        if (ranks.owner == state_.options.self || ranks.backup == state_.options.self)
            servers.push_back(id);
    }
    std::sort(servers.begin(), servers.end());
    return servers;
}

BackendServerGauges Decider::gauges(BackendServerId id) const
{
    auto runtime = state_.runtimes.find(id);
    const auto* entry = state_.routing.findServer(id);
    if (runtime == state_.runtimes.end() || !entry)
        return {};
    return { .connections = runtime->second.localUsage.connections,
        .slots = runtime->second.localUsage.slots,
        .isOwner = placement_.isOwnedHere(id),
        .healthy = runtime->second.health.isReportedHealthy(),
        .warmth = runtime->second.warmUp.warmth(std::max(lastTick_, TimePoint {}), entry->server->warmUp) };
}

}
