#include <LibFlow/Process/LimitShare.h>
#include <algorithm>

namespace Flow {

namespace {

    /// How long a new owner waits for the usage report of the former owner.
    constexpr Base::milliseconds formerOwnerReportTimeout { 1000 };
    /// How long a new owner without a backup waits to discover other balancers.
    constexpr Base::milliseconds peerDiscoveryTimeout { 1000 };
    /// Bound on the connections that a lost owner may have admitted since its last claim.
    constexpr uint32_t unreportedConnectionsLimit = 64;

    /// A backup includes the usage of a third balancer in its grants until this long after its last report.
    constexpr Base::seconds holderReportTimeout { 3 };

    uint32_t subtract(uint32_t value, uint32_t amount) { return value > amount ? value - amount : 0; }

}

void LimitShare::setRole(TimePoint now, Role role, bool hasBackup, const Bounds& bounds)
{
    bounds_ = bounds;
    bool changed = role != role_;
    if (role == Role::Owner && changed) {
        // The backup knows the current usage; a balancer without a previous role waits for the backup's first grant.
        hasUsageReport_ = role_ == Role::Backup;
        usageReportDeadline_ = hasBackup ? TimePoint::max() : now + peerDiscoveryTimeout;
        leaseHeldUntil_ = TimePoint::min();
    }
    if (role == Role::Backup && changed)
        leaseGrantedUntil_ = now + leaseDuration + leaseSafetyMargin;
    if (role == Role::Owner && !hasBackup && hasBackup_)
        usageReportDeadline_ = now;
    role_ = role;
    hasBackup_ = hasBackup;
}

void LimitShare::extendLease(TimePoint sentAt)
{
    hasUsageReport_ = true;
    leaseHeldUntil_ = std::max(leaseHeldUntil_, sentAt + leaseDuration);
}

void LimitShare::grantLease(TimePoint now, EntryVmId owner)
{
    leaseHolder_ = owner;
    leaseGrantedUntil_ = std::max(leaseGrantedUntil_, now + leaseDuration + leaseSafetyMargin);
}

std::vector<EntryVmId> LimitShare::holders() const
{
    std::vector<EntryVmId> peers;
    for (const auto& holder : holders_) {
        if (holder.usage.connections > 0)
            peers.push_back(holder.peer);
    }
    return peers;
}

void LimitShare::awaitUsageReport(EntryVmId formerOwner, TimePoint now)
{
    awaitedFormerOwner_ = formerOwner;
    formerOwnerReportDeadline_ = now + formerOwnerReportTimeout;
}

void LimitShare::setPeerUsage(EntryVmId peer, TimePoint now, Usage usage)
{
    if (peer == awaitedFormerOwner_)
        formerOwnerReportDeadline_ = TimePoint::min();
    auto holder = std::find_if(
        holders_.begin(), holders_.end(), [peer](const Holder& candidate) { return candidate.peer == peer; });
    if (holder == holders_.end())
        holder = holders_.insert(holders_.end(), Holder { .peer = peer, .usage = {}, .reportedAt = now });
    holder->usage = usage;
    holder->reportedAt = now;
}

void LimitShare::recordLostPeer(EntryVmId peer, TimePoint now, bool wasOwner)
{
    auto holder = std::find_if(
        holders_.begin(), holders_.end(), [peer](const Holder& candidate) { return candidate.peer == peer; });
    auto usage = holder == holders_.end() ? Usage {} : holder->usage;
    if (holder != holders_.end())
        holders_.erase(holder);
    lostPeerUsage_ = lostPeerUsage(now) + usage;
    lostConnectionsUntil_ = std::max(lostConnectionsUntil_, now + bounds_.idleTimeout);
    lostSlotsUntil_ = std::max(lostSlotsUntil_, now + bounds_.slotTimeout);
    peerLostAt_ = now;
    bool isServerReportKnown = leaseGrantedUntil_ != TimePoint::min() && hasServerReportSince(leaseGrantedUntil_);
    if (!wasOwner || isServerReportKnown)
        return;
    unreportedUsage_ = { .connections
        = std::min(unreportedConnectionsLimit, subtract(bounds_.limits.connections, usage.connections)),
        .slots = subtract(bounds_.limits.slots, usage.slots) };
    unreportedUsageUntil_ = now + bounds_.deadline;
}

void LimitShare::applyReportedSlots(TimePoint observedAt, uint32_t slotsInUse, uint32_t localSlots)
{
    latestServerReportAt_ = std::max(latestServerReportAt_, observedAt);
    uint32_t elsewhere = subtract(slotsInUse, localSlots);
    // The owner is unreachable and its lease has expired: what it still uses shows in the report of the backend server.
    if (role_ == Role::Backup && observedAt > leaseGrantedUntil_) {
        for (auto& holder : holders_)
            holder.usage.slots = std::min(holder.usage.slots, elsewhere);
    }
    if (peerLostAt_ == TimePoint::max() || observedAt <= peerLostAt_)
        return;
    lostPeerUsage_.slots = std::min(lostPeerUsage_.slots, elsewhere);
    unreportedUsage_.slots = std::min(unreportedUsage_.slots, elsewhere - lostPeerUsage_.slots);
}

void LimitShare::recordAdoption(bool withSlot)
{
    lostPeerUsage_.connections = subtract(lostPeerUsage_.connections, 1);
    if (!withSlot)
        return;
    if (unreportedUsage_.slots > 0)
        --unreportedUsage_.slots;
    else
        lostPeerUsage_.slots = subtract(lostPeerUsage_.slots, 1);
}

Usage LimitShare::lostPeerUsage(TimePoint now) const
{
    return { .connections = now < lostConnectionsUntil_ ? lostPeerUsage_.connections : 0,
        .slots = now < lostSlotsUntil_ ? lostPeerUsage_.slots : 0 };
}

Usage LimitShare::usageElsewhere(TimePoint now) const
{
    auto usage = lostPeerUsage(now);
    for (const auto& holder : holders_)
        usage = usage + holder.usage;
    return now < unreportedUsageUntil_ ? usage + unreportedUsage_ : usage;
}

Usage LimitShare::usageExcluding(EntryVmId peer, TimePoint now) const
{
    auto usage = lostPeerUsage(now);
    for (const auto& holder : holders_) {
        if (holder.peer != peer && now - holder.reportedAt < holderReportTimeout)
            usage = usage + holder.usage;
    }
    return now < unreportedUsageUntil_ ? usage + unreportedUsage_ : usage;
}

Usage LimitShare::allowed(TimePoint now) const
{
    const auto& limits = bounds_.limits;
    if (role_ == Role::None || (role_ == Role::Owner && !hasUsageReport_ && now < usageReportDeadline_))
        return {};
    if (role_ == Role::Owner && now < formerOwnerReportDeadline_)
        return {};
    // The owner may have used the full lease until its end; the last requests it admitted end within the deadline.
    bool isUsageUncertain = now < leaseGrantedUntil_ + bounds_.deadline && !hasServerReportSince(leaseGrantedUntil_);
    if (role_ == Role::Backup && (now < leaseGrantedUntil_ || isUsageUncertain))
        return {};
    auto usage = usageElsewhere(now);
    Usage rest { .connections = subtract(limits.connections, usage.connections),
        .slots = subtract(limits.slots, usage.slots) };
    if (role_ == Role::Owner && (!hasBackup_ || now < leaseHeldUntil_))
        return rest;
    Usage lower { .connections = limits.connections / 2, .slots = limits.slots / 2 };
    Usage part = role_ == Role::Backup
        ? lower
        : Usage { .connections = limits.connections - lower.connections, .slots = limits.slots - lower.slots };
    return { .connections = std::min(rest.connections, part.connections), .slots = std::min(rest.slots, part.slots) };
}

}
