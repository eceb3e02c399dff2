#include <LibFlow/Process/LimitExchange.h>
#include <algorithm>
#include <map>

namespace Flow {

namespace {

    constexpr Base::milliseconds claimInterval { 250 };
    constexpr Base::milliseconds holdingReportInterval { 500 };
    /// Claims and grants start with the time at which the claim was sent.
    constexpr std::size_t headerFields = 1;
    constexpr std::size_t entryFields = 4;
    constexpr double warmthScale = 100;

    uint64_t toMilliseconds(TimePoint time)
    {
        return static_cast<uint64_t>(std::chrono::floor<Base::milliseconds>(time.time_since_epoch()).count());
    }

    TimePoint fromMilliseconds(uint64_t time)
    {
        return TimePoint { Base::milliseconds { static_cast<int64_t>(time) } };
    }

    LimitShare::Bounds boundsOf(const ServerEntry& entry)
    {
        LimitShare::Bounds bounds { .limits
            = { .connections = entry.server->connections, .slots = entry.server->slots } };
        for (const auto& portClass : entry.service->portClasses) {
            bounds.deadline = std::max(bounds.deadline, portClass.deadline);
            bounds.idleTimeout = std::max(bounds.idleTimeout, portClass.idleTimeout);
            bool lastsWithFlow = portClass.slotUse == Configuration::SlotUse::PerFlow
                && portClass.protocol == Configuration::Protocol::Tcp;
            bounds.slotTimeout = std::max(bounds.slotTimeout, portClass.deadline * (lastsWithFlow ? 2 : 1));
        }
        return bounds;
    }

    bool contains(const std::vector<EntryVmId>& peers, EntryVmId peer)
    {
        return std::find(peers.begin(), peers.end(), peer) != peers.end();
    }

}

void LimitExchange::updateRoles(TimePoint now, const std::vector<EntryVmId>& lost)
{
    if (!state_.isReady())
        return;
    for (const auto& [id, entry] : state_.routing.servers())
        updateRole(now, id, entry, lost);
    nextClaimAt_ = TimePoint::min();
    nextHoldingReportAt_ = TimePoint::min();
    isFirstUpdate_ = false;
}

void LimitExchange::updateRole(
    TimePoint now, BackendServerId id, const ServerEntry& entry, const std::vector<EntryVmId>& lost)
{
    auto ranks = placement_.ranks(id);
    auto [ranksEntry, isNew] = lastRanks_.try_emplace(id, Ranks {});
    auto previousRanks = ranksEntry->second;
    ranksEntry->second = ranks;
    auto self = state_.options.self;
    auto role = ranks.owner == self ? LimitShare::Role::Owner
        : ranks.backup == self      ? LimitShare::Role::Backup
                                    : LimitShare::Role::None;
    if (role == LimitShare::Role::None && !state_.runtimes.contains(id))
        return;
    auto& runtime = state_.runtimes[id];
    auto previousRole = runtime.share.role();
    runtime.share.setRole(now, role, ranks.backup.isValid(), boundsOf(entry));
    for (auto peer : lost)
        runtime.share.recordLostPeer(peer, now, previousRanks.owner == peer);
    // A backend server that the configuration has just added has no flows yet.
    bool isNewlyConfigured = isNew && !isFirstUpdate_;
    bool becameOwner = role == LimitShare::Role::Owner && previousRole != role && !isNewlyConfigured;
    bool isOwnerLost = contains(lost, previousRanks.owner);
    if (becameOwner && previousRole == LimitShare::Role::None && ranks.backup.isValid())
        runtime.ownedWithoutHistorySince = now;
    bool isFormerOwnerPresent = !isOwnerLost && state_.ranking.findPeer(previousRanks.owner) != nullptr;
    if (becameOwner && isFormerOwnerPresent) {
        runtime.formerOwner = previousRanks.owner;
        runtime.ownedWithoutHistorySince = now;
        runtime.share.awaitUsageReport(previousRanks.owner, now);
    } else if (becameOwner && previousRanks.acting != self
        && (previousRole == LimitShare::Role::Backup || isOwnerLost)) {
        runtime.tookOverAt = now;
    }
    bool startedActing = ranks.acting == self && previousRanks.acting != self && role == LimitShare::Role::Backup;
    if (startedActing)
        runtime.tookOverAt = now;
}

void LimitExchange::handleTick(TimePoint now, ActionWriter& writer)
{
    if (now >= nextClaimAt_) {
        nextClaimAt_ = now + claimInterval;
        sendClaims(now, writer);
    }
    if (now >= nextHoldingReportAt_) {
        nextHoldingReportAt_ = now + holdingReportInterval;
        sendHoldings(now, writer);
    }
}

void LimitExchange::sendClaims(TimePoint now, ActionWriter& writer)
{
    std::map<EntryVmId, std::vector<uint64_t>> messages;
    for (const auto& [id, runtime] : state_.runtimes) {
        if (runtime.share.role() != LimitShare::Role::Owner)
            continue;
        auto backup = placement_.ranks(id).backup;
        if (!backup.isValid())
            continue;
        auto& values = messages[backup];
        if (values.empty())
            values.push_back(toMilliseconds(now));
        append(values, makeEntry(now, id, runtime.localUsage));
    }
    for (auto& [peer, values] : messages)
        link_.send(peer, ControlKind::LimitClaim, std::move(values), writer);
}

void LimitExchange::sendHoldings(TimePoint now, ActionWriter& writer)
{
    std::map<EntryVmId, std::vector<uint64_t>> messages;
    for (auto& [id, runtime] : state_.runtimes) {
        if (runtime.localUsage.connections > 0)
            runtime.lastHeldAt = now;
        bool isRecent = runtime.lastHeldAt != TimePoint::min()
            && now - runtime.lastHeldAt < BackendServerRuntime::holdingReportTimeout;
        bool mustReport = runtime.share.role() == LimitShare::Role::None && (isRecent || state_.isLeaving);
        auto owner = placement_.ranks(id).owner;
        if (!mustReport || !owner.isValid())
            continue;
        auto& values = messages[owner];
        if (values.empty())
            values.push_back(0);
        append(values, makeEntry(now, id, runtime.localUsage));
    }
    for (auto& [peer, values] : messages)
        link_.send(peer, ControlKind::Holding, std::move(values), writer);
}

Base::ErrorOr<void> LimitExchange::handleMessage(
    TimePoint now, EntryVmId sender, const PeerMessage& message, ActionWriter& writer)
{
    TRY_ASSIGN(entries, parse(message));
    uint64_t sentAt = message.values.front();
    if (message.kind == ControlKind::LimitClaim)
        handleClaim(now, sender, sentAt, entries, writer);
    else if (message.kind == ControlKind::LimitGrant)
        handleGrant(now, sender, sentAt, entries);
    else
        handleHolding(now, sender, entries);
    return {};
}

void LimitExchange::handleClaim(
    TimePoint now, EntryVmId sender, uint64_t sentAt, const std::vector<Entry>& entries, ActionWriter& writer)
{
    std::vector<uint64_t> values { sentAt };
    for (const auto& entry : entries) {
        const auto* server = state_.routing.findServer(entry.server);
        auto runtime = state_.runtimes.find(entry.server);
        bool isBackup = server && runtime != state_.runtimes.end()
            && runtime->second.share.role() == LimitShare::Role::Backup
            && placement_.ranks(entry.server).owner == sender;
        if (!isBackup)
            continue;
        auto& share = runtime->second.share;
        share.setPeerUsage(sender, now, entry.usage);
        if (share.isLeasedToOther(now, sender))
            continue;
        share.grantLease(now, sender);
        runtime->second.warmUp.applyPeerWarmth(now, entry.warmth, server->server->warmUp);
        append(values, makeEntry(now, entry.server, runtime->second.localUsage + share.usageExcluding(sender, now)));
    }
    if (values.size() > headerFields)
        link_.send(sender, ControlKind::LimitGrant, std::move(values), writer);
}

void LimitExchange::handleGrant(TimePoint now, EntryVmId sender, uint64_t sentAt, const std::vector<Entry>& entries)
{
    for (const auto& entry : entries) {
        const auto* server = state_.routing.findServer(entry.server);
        auto runtime = state_.runtimes.find(entry.server);
        bool isOwner = server && runtime != state_.runtimes.end()
            && runtime->second.share.role() == LimitShare::Role::Owner
            && placement_.ranks(entry.server).backup == sender && fromMilliseconds(sentAt) <= now;
        if (!isOwner)
            continue;
        runtime->second.share.setPeerUsage(sender, now, entry.usage);
        runtime->second.share.extendLease(fromMilliseconds(sentAt));
        runtime->second.warmUp.applyPeerWarmth(now, entry.warmth, server->server->warmUp);
    }
}

void LimitExchange::handleHolding(TimePoint now, EntryVmId sender, const std::vector<Entry>& entries)
{
    for (const auto& entry : entries) {
        if (state_.routing.findServer(entry.server))
            state_.runtimes[entry.server].share.setPeerUsage(sender, now, entry.usage);
    }
}

LimitExchange::Entry LimitExchange::makeEntry(TimePoint now, BackendServerId id, Usage usage) const
{
    const auto* server = state_.routing.findServer(id);
    auto runtime = state_.runtimes.find(id);
    double warmth
        = server && runtime != state_.runtimes.end() ? runtime->second.warmUp.warmth(now, server->server->warmUp) : 1;
    return { .server = id, .usage = usage, .warmth = warmth };
}

void LimitExchange::append(std::vector<uint64_t>& values, const Entry& entry)
{
    values.push_back(entry.server.value);
    values.push_back(entry.usage.connections);
    values.push_back(entry.usage.slots);
    values.push_back(static_cast<uint64_t>(entry.warmth * warmthScale));
}

Base::ErrorOr<std::vector<LimitExchange::Entry>> LimitExchange::parse(const PeerMessage& message)
{
    const auto& values = message.values;
    if (values.size() < headerFields || (values.size() - headerFields) % entryFields != 0)
        return Base::makeError(Base::ErrorCode::Malformed, "limit entries are truncated");
    std::vector<Entry> entries;
    for (std::size_t i = headerFields; i < values.size(); i += entryFields) {
        bool fits = values[i] <= UINT32_MAX && values[i + 1] <= UINT32_MAX / 4 && values[i + 2] <= UINT32_MAX / 4
            && values[i + 3] <= warmthScale;
        if (!fits)
            return Base::makeError(Base::ErrorCode::Malformed, "limit entry has a value out of range");
        entries.push_back({ .server = { static_cast<uint32_t>(values[i]) },
            .usage
            = { .connections = static_cast<uint32_t>(values[i + 1]), .slots = static_cast<uint32_t>(values[i + 2]) },
            .warmth = static_cast<double>(values[i + 3]) / warmthScale });
    }
    return entries;
}

}
