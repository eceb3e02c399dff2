#pragma once

#include <LibBase/Time.h>
#include <LibControl/ControlNode.h>
#include <LibControl/Message.h>
#include <array>
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace Control {

/// The known state of a member. Compact, since there is one record for each entry VM of the fleet.
struct MemberRecord {
    EntryVmId id;
    uint64_t incarnation { 0 };
    Base::Ipv4Endpoint dataEndpoint;
    Base::TimePoint changedAt {};
    uint32_t refutation { 0 };
    MemberState state { MemberState::Alive };
    bool leaving { false };
    /// Index into the table's failure domains.
    uint16_t domain { 0 };
};

/// A failure domain of at least one member.
struct KnownDomain {
    DomainTag tag { 0 };
    std::string name;
    std::string region;
    /// Ids of the members that are not dead, sorted.
    std::vector<EntryVmId> live;
    /// Changes whenever a live member's incarnation or leaving flag changes; equal sets have equal digests.
    uint64_t digest { 0 };
    /// Whether any member of the domain responds.
    bool reachable { true };
};

/// The known members of the fleet: a join semilattice over MemberUpdate, so that the order of updates does not matter.
class MemberTable {
public:
    /// Number of buckets of a failure domain's digest.
    static constexpr std::size_t bucketCount = 16;

    /// The effect of an update.
    enum class Effect : uint8_t {
        /// The update is already known or outdated.
        None,
        Joined,
        Refreshed,
        Suspected,
        StartedLeaving,
        Removed,
    };

    /// Applies an update if it is newer than the known state.
    Effect apply(const MemberUpdate&, Base::TimePoint now);
    /// The record of a member, including dead ones; nullptr if unknown.
    const MemberRecord* find(EntryVmId) const;
    bool isLive(EntryVmId) const;
    /// The update that describes a member's known state.
    MemberUpdate toUpdate(const MemberRecord&) const;
    /// The failure domain; nullptr if unknown.
    const KnownDomain* findDomain(DomainTag) const;
    const std::vector<KnownDomain>& domains() const { return domains_; }
    /// Sets whether a failure domain is reachable. Returns whether that is a change.
    bool setDomainReachable(DomainTag, bool reachable);
    /// Removes the records of members that died before the given time.
    void evictDead(Base::TimePoint diedBefore);
    /// All members that are not dead, sorted by id.
    std::vector<Member> members() const;
    std::size_t liveCount() const { return liveCount_; }
    /// Dead members that still have a record.
    const std::vector<EntryVmId>& dead() const { return dead_; }
    /// The digest of each bucket of a failure domain.
    std::array<uint64_t, bucketCount> bucketHashes(DomainTag) const;
    /// The bucket of a member.
    static std::size_t bucketOf(EntryVmId);
    /// Increases with every visible change.
    uint64_t version() const { return version_; }

private:
    MemberRecord* findMutable(EntryVmId);
    uint16_t findOrAddDomain(const MemberUpdate&);
    void addLive(const MemberRecord&);
    void removeLive(const MemberRecord&);

    std::vector<MemberRecord> records_;
    boost::unordered_flat_map<EntryVmId, uint32_t, std::hash<EntryVmId>> indexes_;
    std::vector<KnownDomain> domains_;
    std::vector<EntryVmId> dead_;
    std::size_t liveCount_ { 0 };
    uint64_t version_ { 0 };
};

}
