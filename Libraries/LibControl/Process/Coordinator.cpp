#include <LibControl/Process/Coordinator.h>

#include <LibBase/Hash.h>

namespace Control {

using Base::ErrorCode;
using Base::ErrorOr;
using Base::milliseconds;

namespace {

    /// Minimum time between two MembersChanged actions.
    constexpr milliseconds memberReportInterval { 100 };
    /// Time for which a watcher without a configuration waits for its peers before it reads the store.
    constexpr milliseconds peerCatchUpTimeout { 1500 };
    /// Probes within the failure domain carry the progress in every n-th header.
    constexpr uint32_t progressHeaderInterval = 2;

    const char* evidenceName(Evidence evidence)
    {
        switch (evidence) {
        case Evidence::None:
            return "none";
        case Evidence::Store:
            return "store";
        case Evidence::Peers:
            return "peers";
        case Evidence::Unconfirmed:
            return "held";
        }
        return "none";
    }

}

ErrorOr<std::unique_ptr<ControlNode>> ControlNode::create(const Options& options)
{
    if (!options.self.isValid() || options.incarnation == 0 || options.failureDomain.empty())
        return Base::makeError(
            ErrorCode::InvalidArgument, "a control node requires an id, an incarnation and a failure domain");
    return std::unique_ptr<ControlNode>(std::make_unique<Coordinator>(options));
}

Coordinator::Coordinator(const Options& options)
    : options_(options)
    , outbox_(options.controlBytesPerSecond, statistics_)
    , membership_(options, outbox_, statistics_)
    , propagation_(options, propagationHooks(), outbox_, statistics_)
    , watcher_(options, propagation_.log(), watcherHooks(), outbox_, statistics_)
    , acknowledgements_(options.self, domainTag(options.failureDomain), Base::mix(options.seed, options.self.value + 4),
          acknowledgementHooks())
{
    options_.members.clear();
    outbox_.setHeaderSource([this](EntryVmId to, const MessageBody& body) { return makeHeader(to, body); });
}

ChangePusher::Hooks Coordinator::pushingHooks()
{
    return { .members = [this]() -> const std::vector<EntryVmId>& { return membership_.ownDomainMembers(); },
        .isUsable = [this](EntryVmId id) { return membership_.isReachable(id); },
        .send = [this](EntryVmId to, MessageBody body) { return outbox_.send(to, std::move(body)); } };
}

Propagation::Hooks Coordinator::propagationHooks()
{
    return { .pushing = pushingHooks(),
        .isInOwnDomain = [this](EntryVmId id) { return membership_.isInOwnDomain(id); },
        .onEnforced = [this](TimePoint) { reportEnforced(); } };
}

Watcher::Hooks Coordinator::watcherHooks()
{
    const auto heldRevision = [this] { return "held=" + std::to_string(propagation_.log().newest().value); };
    return { .members = [this]() -> const std::vector<EntryVmId>& { return membership_.ownDomainMembers(); },
        .listed = [this]() -> const std::vector<EntryVmId>& { return membership_.listedInDomain(); },
        .storeReader = { .onChange =
                             [this](TimePoint now, const std::string& encoded) {
                                 return propagation_.handleStoreChange(now, encoded, watcher_.heldSlot(now).slot);
                             },
            .onSnapshot =
                [this](TimePoint now, Configuration::SnapshotPointer snapshot) {
                    propagation_.handleStoreSnapshot(now, std::move(snapshot));
                },
            .onConfirmed = [this](TimePoint now) { propagation_.handleStoreConfirmation(now); },
            .onStoreBehind = [this, heldRevision] { outbox_.log(Event::StoreBehind, heldRevision()); },
            .onHistoryDiffers = [this, heldRevision] { outbox_.log(Event::StoreHistoryDiffers, heldRevision()); } } };
}

Acknowledgements::Hooks Coordinator::acknowledgementHooks()
{
    return { .members = [this]() -> const std::vector<EntryVmId>& { return membership_.ownDomainMembers(); },
        .collector = [this] { return watcher_.collector(now_); },
        .send = [this](EntryVmId to, MessageBody body) { return outbox_.send(to, std::move(body)); } };
}

void Coordinator::advanceTime(TimePoint now)
{
    now_ = std::max(now_, now);
    outbox_.advanceTime(now_);
}

void Coordinator::collectActions(ControlActions& actions) { outbox_.moveActionsTo(actions); }

bool Coordinator::shouldReadStore() const
{
    const bool isEmpty = !propagation_.log().newest().isValid();
    return !isEmpty || (now_ - *startedAt_ >= peerCatchUpTimeout && !propagation_.hasNewerPeers());
}

void Coordinator::handleTick(TimePoint now, ControlActions& actions)
{
    advanceTime(now);
    if (!startedAt_)
        startedAt_ = now_;
    membership_.tick(now_, watcher_.heldSlot(now_).epoch != 0);
    watcher_.tick(now_, shouldReadStore());
    propagation_.tick(now_, watcher_.heldSlot(now_));
    acknowledgements_.tick(now_);
    logEvidenceChange();
    reportMembers();
    collectActions(actions);
}

void Coordinator::reportMembers()
{
    const auto version = membership_.table().version();
    if (!options_.reportMembers || version == reportedMembersVersion_ || now_ < nextMemberReportAt_)
        return;
    reportedMembersVersion_ = version;
    nextMemberReportAt_ = now_ + memberReportInterval;
    outbox_.addAction(MembersChanged { .version = version, .members = members() });
}

void Coordinator::logEvidenceChange()
{
    const auto now = evidence();
    if (std::exchange(reportedEvidence_, now) != now)
        outbox_.log(Event::EvidenceChanged, std::string("evidence=") + evidenceName(now));
}

void Coordinator::reportEnforced()
{
    const auto& snapshot = propagation_.log().snapshot();
    outbox_.log(Event::ConfigurationEnforced,
        "revision=" + std::to_string(snapshot->revision.value) + " evidence=" + evidenceName(evidence()));
    outbox_.addAction(EnforceConfiguration { .snapshot = snapshot, .evidence = evidence() });
    acknowledgements_.setOwnRevision(now_, snapshot->revision);
}

MessageHeader Coordinator::makeHeader(EntryVmId to, const MessageBody& body)
{
    MessageHeader header;
    membership_.fillHeader(now_, to, body, header);
    propagation_.fillHeader(now_, header);
    const bool isProbe = std::holds_alternative<Ping>(body) || std::holds_alternative<Acknowledge>(body);
    const bool isPush = std::holds_alternative<ChangePush>(body);
    const bool isRemote = !membership_.isInOwnDomain(to);
    if ((isProbe || isPush) && !isRemote)
        header.watchers = watcher_.currentAnnouncements(now_);
    if (isPush || (isProbe && (isRemote || ++probeHeaderCount_ % progressHeaderInterval == 0)))
        header.progress = acknowledgements_.knownProgress();
    return header;
}

ErrorOr<void> Coordinator::handleMessage(
    TimePoint now, EntryVmId sender, std::span<const std::byte> bytes, ControlActions& actions)
{
    advanceTime(now);
    auto message = Base::capture([&] { return decodeMessage(bytes); });
    if (!message.isOk()) {
        ++statistics_.malformedMessages;
        return Base::makeError(message.error.code, message.error.detail);
    }
    const auto kind = static_cast<std::size_t>(messageKind(message.value->body));
    statistics_.receivedBytes[kind] += bytes.size() + transportOverheadBytes;
    ++statistics_.receivedMessages[kind];
    const auto error = Base::captureError([&] { return dispatch(sender, std::move(*message.value)); });
    collectActions(actions);
    if (error)
        return Base::makeError(error->code, error->detail);
    return {};
}

ErrorOr<void> Coordinator::dispatch(EntryVmId sender, Message message)
{
    if (!sender.isValid() || sender == options_.self)
        return Base::makeError(
            ErrorCode::InvalidArgument, "message has no valid sender or names the receiver as its sender");
    if (const auto* push = std::get_if<ChangePush>(&message.body); push && !watcher_.isCurrent(*push)) {
        ++statistics_.fencedMessages;
        outbox_.log(Event::MessageFenced, "epoch=" + std::to_string(push->watcherEpoch));
        return Base::makeError(ErrorCode::Stale, "push has an older lease epoch");
    }
    TRY(membership_.handleHeader(now_, sender, message.header));
    watcher_.handleHeader(now_, message.header);
    propagation_.handleHeader(now_, sender, message.header);
    acknowledgements_.merge(message.header.progress);
    auto& body = message.body;
    if (auto* ping = std::get_if<Ping>(&body))
        membership_.handlePing(sender, message.header, *ping);
    else if (auto* acknowledge = std::get_if<Acknowledge>(&body))
        membership_.handleAcknowledge(now_, sender, *acknowledge);
    else if (auto* pingRequest = std::get_if<PingRequest>(&body))
        membership_.handlePingRequest(now_, sender, *pingRequest);
    else if (auto* membersRequest = std::get_if<MembersRequest>(&body))
        membership_.handleMembersRequest(sender, *membersRequest);
    else if (auto* memberList = std::get_if<MemberList>(&body))
        membership_.handleMemberList(now_, *memberList);
    else if (auto* changesRequest = std::get_if<ChangesRequest>(&body))
        propagation_.handleChangesRequest(sender, *changesRequest);
    else if (auto* snapshotRequest = std::get_if<SnapshotRequest>(&body))
        propagation_.handleSnapshotRequest(sender, *snapshotRequest);
    else if (auto* part = std::get_if<SnapshotPart>(&body))
        propagation_.handleSnapshotPart(now_, sender, std::move(*part));
    else if (auto* report = std::get_if<AcknowledgementReport>(&body))
        acknowledgements_.handleReport(now_, sender, *report);
    else if (auto* push = std::get_if<ChangePush>(&body))
        return propagation_.handleChangePush(now_, sender, *push);
    else if (auto* changes = std::get_if<Changes>(&body))
        return propagation_.handleChanges(now_, sender, *changes);
    return {};
}

ErrorOr<void> Coordinator::handleStoreResponse(
    TimePoint now, Store::RequestId id, const Store::Answer& answer, ControlActions& actions)
{
    advanceTime(now);
    const auto error = Base::captureError([&] { return watcher_.handleStoreResponse(now_, id, answer); });
    collectActions(actions);
    if (error)
        return Base::makeError(error->code, error->detail);
    return {};
}

void Coordinator::handleVmList(TimePoint now, std::vector<ListedVm> list, ControlActions& actions)
{
    advanceTime(now);
    membership_.handleVmList(now_, list);
    collectActions(actions);
}

void Coordinator::beginLeaving(TimePoint now, ControlActions& actions)
{
    advanceTime(now);
    watcher_.release(now_);
    membership_.beginLeaving(now_);
    collectActions(actions);
}

InForceSummary Coordinator::inForce() const
{
    const auto newest = propagation_.log().newestKnown();
    InForceSummary summary { .revision = newest, .missing = {} };
    constexpr std::size_t maximumMissing = 32;
    for (const auto& domain : membership_.table().domains()) {
        summary.total += static_cast<uint32_t>(domain.live.size());
        const auto* progress = acknowledgements_.find(domain.tag);
        const bool isCurrent = progress && progress->revision == newest;
        if (isCurrent)
            summary.inForce += std::min<uint32_t>(progress->inForce, static_cast<uint32_t>(domain.live.size()));
        const auto& missing = isCurrent ? progress->missing : domain.live;
        for (const auto id : missing) {
            if (summary.missing.size() < maximumMissing)
                summary.missing.push_back(id);
        }
    }
    return summary;
}

}
