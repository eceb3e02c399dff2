#pragma once

#include <LibFlow/Types.h>
#include <vector>

namespace Flow {

/// Part of a backend server's limits that is in use or may be used.
struct Usage {
    uint32_t connections { 0 };
    uint32_t slots { 0 };

    Usage operator+(const Usage& other) const
    {
        return { .connections = connections + other.connections, .slots = slots + other.slots };
    }
};

/// This balancer's share of the limits of one backend server. Owner and backup (first and second in rank) split the
/// limits; the backup leases its part to the owner for a limited time. Usage by other balancers, also by lost ones, is
/// subtracted.
class LimitShare {
public:
    static constexpr Base::milliseconds leaseDuration { 1000 };
    /// The backup honours a lease for this much longer than the owner relies on it.
    static constexpr Base::milliseconds leaseSafetyMargin { 250 };

    /// Role of this balancer for the backend server.
    enum class Role : uint8_t {
        None,
        Owner,
        Backup,
    };

    /// Limits of the backend server, and how long usage by a lost balancer may last.
    struct Bounds {
        Usage limits;
        /// Longest deadline of the port classes of the service.
        Base::milliseconds deadline {};
        /// Longest time for which a slot counts as occupied if no packet of its flow is seen.
        Base::milliseconds slotTimeout {};
        /// Longest idle timeout of the port classes of the service.
        Base::milliseconds idleTimeout {};
    };

    /// Applies a change of role or backup. hasBackup: another balancer is second in rank. A new owner that was not the
    /// backup before admits nothing until the backup's first grant reports the current usage; without a backup, until
    /// the peer discovery timeout has passed.
    void setRole(TimePoint now, Role, bool hasBackup, const Bounds&);
    Role role() const { return role_; }

    /// Owner: extends the lease after the backup granted a claim that was sent at sentAt.
    void extendLease(TimePoint sentAt);
    /// Backup: leases the limits to the owner; this balancer uses none until the lease ends.
    void grantLease(TimePoint now, EntryVmId owner);
    /// Backup: whether a lease to another balancer is still valid.
    bool isLeasedToOther(TimePoint now, EntryVmId owner) const
    {
        return leaseHolder_ != owner && now < leaseGrantedUntil_;
    }
    /// Returns the peers that last reported connections.
    std::vector<EntryVmId> holders() const;
    /// Sets the usage that a peer reported.
    void setPeerUsage(EntryVmId peer, TimePoint now, Usage);
    /// Owner: allows no usage until the former owner, which is still a member and goes on using its lease briefly,
    /// reports its usage or the timeout passes.
    void awaitUsageReport(EntryVmId formerOwner, TimePoint now);
    /// Accounts for a peer that has failed for certain. Its usage counts until it must have ended: connections for the
    /// idle timeout, slots until their deadline. If the peer owned the server, all that it may have admitted since its
    /// last claim counts as well.
    void recordLostPeer(EntryVmId peer, TimePoint now, bool wasOwner);
    /// Applies the number of slots in use that the backend server itself reports, of which `localSlots` belong to local
    /// records. Bounds the usage by a lost balancer if the report was made after the loss.
    void applyReportedSlots(TimePoint observedAt, uint32_t slotsInUse, uint32_t localSlots);
    /// A flow that may have belonged to a lost balancer now has a local record.
    void recordAdoption(bool withSlot);

    /// Usage by other balancers, including lost ones.
    Usage usageElsewhere(TimePoint now) const;
    /// The same without the usage of one peer, and without reports older than the holder report timeout.
    Usage usageExcluding(EntryVmId peer, TimePoint now) const;
    /// Total usage allowed to this balancer, including its current usage.
    Usage allowed(TimePoint now) const;

private:
    struct Holder {
        EntryVmId peer;
        Usage usage;
        TimePoint reportedAt {};
    };

    Usage lostPeerUsage(TimePoint now) const;

    Role role_ { Role::None };
    bool hasBackup_ { false };
    bool hasUsageReport_ { false };
    TimePoint usageReportDeadline_ { TimePoint::max() };
    Bounds bounds_;
    TimePoint leaseHeldUntil_ { TimePoint::min() };
    EntryVmId awaitedFormerOwner_;
    TimePoint formerOwnerReportDeadline_ { TimePoint::min() };
    EntryVmId leaseHolder_;
    TimePoint leaseGrantedUntil_ { TimePoint::min() };
    std::vector<Holder> holders_;
    /// Usage by lost balancers according to their last reports.
    Usage lostPeerUsage_;
    TimePoint lostConnectionsUntil_ { TimePoint::min() };
    TimePoint lostSlotsUntil_ { TimePoint::min() };
    /// Usage that a lost owner may have added since its last report.
    Usage unreportedUsage_;
    TimePoint peerLostAt_ { TimePoint::max() };
    /// Time of the latest report in which the backend server itself states the slots in use.
    TimePoint latestServerReportAt_ { TimePoint::min() };

    bool hasServerReportSince(TimePoint time) const { return latestServerReportAt_ > time; }
    TimePoint unreportedUsageUntil_ { TimePoint::min() };
};

}
