#pragma once

#include <LibBase/Random.h>
#include <LibBase/Time.h>
#include <LibControl/ControlNode.h>
#include <LibControl/Message.h>
#include <LibControl/Process/DomainContacts.h>
#include <LibControl/Process/FailureDetector.h>
#include <LibControl/Process/MemberTable.h>
#include <LibControl/Process/Outbox.h>
#include <LibControl/Process/UpdateQueue.h>
#include <map>
#include <optional>
#include <vector>

namespace Control {

/// The membership protocol of one node: failure detection within its failure domain, dissemination of member updates in
/// message headers, a few probes to other domains, and comparison of digests, so that all nodes converge on the same
/// members. Members of other domains are removed only if their own domain reports it, or if they do not respond and the
/// platform no longer lists them. Not thread-safe.
class Membership {
public:
    Membership(const ControlNode::Options&, Outbox&, ControlStatistics&);

    /// Must be called at least every 50 ms. isWatcher: whether this node connects its failure domain to the others and
    /// therefore probes them more often.
    void tick(Base::TimePoint now, bool isWatcher);
    /// Handles the membership parts of a header. Returns Stale if the header is of an earlier incarnation of the
    /// sender.
    Base::ErrorOr<void> handleHeader(Base::TimePoint now, EntryVmId sender, const MessageHeader&);
    void handlePing(EntryVmId sender, const MessageHeader&, const Ping&);
    void handleAcknowledge(Base::TimePoint now, EntryVmId sender, const Acknowledge&);
    void handlePingRequest(Base::TimePoint now, EntryVmId sender, const PingRequest&);
    void handleMembersRequest(EntryVmId sender, const MembersRequest&);
    void handleMemberList(Base::TimePoint now, const MemberList&);
    void handleVmList(Base::TimePoint now, const std::vector<ListedVm>&);
    void beginLeaving(Base::TimePoint now);
    /// Fills in the membership parts of a header.
    void fillHeader(Base::TimePoint now, EntryVmId to, const MessageBody&, MessageHeader&);

    const MemberTable& table() const { return table_; }
    /// The live members of this node's failure domain, including this node.
    const std::vector<EntryVmId>& ownDomainMembers() const;
    /// The members of this node's failure domain in the platform's VM list, sorted by id; empty until the list has been
    /// read.
    const std::vector<EntryVmId>& listedInDomain() const { return listedInDomain_; }
    bool isInOwnDomain(EntryVmId) const;
    /// Whether a member is known to respond.
    bool isReachable(EntryVmId) const;
    DomainTag ownDomain() const { return domain_; }
    uint64_t incarnation() const { return self_.incarnation; }

private:
    /// Whether this node probes the members of a failure domain: its own, and those too small to detect failures
    /// themselves.
    bool isProbedHere(const KnownDomain&) const;
    /// A failure domain for which another member reported a different digest.
    struct DigestMismatch {
        EntryVmId member;
        uint64_t hash { 0 };
        Base::TimePoint since;
    };

    void runDetector(Base::TimePoint now);
    void performProbeActions(Base::TimePoint now, const std::vector<ProbeAction>&);
    void suspect(Base::TimePoint now, EntryVmId);
    void removeFailed(Base::TimePoint now, EntryVmId);
    void applyUpdate(Base::TimePoint now, const MemberUpdate&, bool disseminate);
    void refute(Base::TimePoint now, const MemberUpdate&);
    void announceSelf(Base::TimePoint now);
    void reportEffect(MemberTable::Effect, const MemberUpdate&, Base::TimePoint now);
    void probeOtherDomain(Base::TimePoint now, bool isWatcher);
    void probeCandidate(Base::TimePoint now);
    void probeDeadMember(Base::TimePoint now);
    void gossip(Base::TimePoint now);
    void updateDomainReachability(Base::TimePoint now);
    void removeUnlisted(Base::TimePoint now);
    void compareDigests(Base::TimePoint now, EntryVmId sender, const std::vector<MemberDigest>&);
    void requestDifferingMembers(Base::TimePoint now);
    /// The members in the buckets that differ from the requester's, ordered by bucket.
    std::vector<EntryVmId> differingMembers(const KnownDomain&, const MembersRequest&) const;
    bool digestMatches(DomainTag, uint64_t hash) const;
    void sendJoinPing(EntryVmId candidate);
    std::vector<MemberDigest> digestsFor(const MessageBody&);
    const std::vector<EntryVmId>& relays();

    ControlNode::Options options_;
    Outbox& outbox_;
    ControlStatistics& statistics_;
    Base::Random random_;
    DomainTag domain_;
    MemberUpdate self_;
    MemberTable table_;
    UpdateQueue updateQueue_;
    FailureDetector detector_;
    DomainContacts contacts_;
    std::vector<EntryVmId> probedMembers_;
    std::vector<EntryVmId> relays_;
    uint64_t probedMembersVersion_ { 0 };
    std::vector<EntryVmId> joinCandidates_;
    std::optional<std::vector<EntryVmId>> listed_;
    std::vector<EntryVmId> listedInDomain_;
    std::map<uint64_t, DomainTag> pendingRemoteProbes_;
    std::map<DomainTag, DigestMismatch> mismatches_;
    std::size_t nextDomain_ { 0 };
    std::size_t nextDigest_ { 0 };
    Base::TimePoint nextRemoteProbeAt_ {};
    Base::TimePoint nextCandidateProbeAt_ {};
    Base::TimePoint nextDeadProbeAt_ {};
    Base::TimePoint nextGossipAt_ {};
    Base::TimePoint nextDomainCheckAt_ {};
    Base::TimePoint nextReconciliationAt_ {};
    std::optional<Base::TimePoint> lastTickAt_;
    /// Set while writing a message to a join candidate or a response to a joining member, which includes this node's
    /// own state.
    bool isIntroducing_ { false };
    /// Whether the last member list changed the table; the next mismatch is then resolved without the grace period.
    bool isReceivingNewMembers_ { false };
};

}
