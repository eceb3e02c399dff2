#pragma once

#include <LibBase/Random.h>
#include <LibBase/Time.h>
#include <LibControl/ControlNode.h>
#include <LibControl/Message.h>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Control {

/// Counts the members that have a revision in force. A failure domain of n members has about sqrt(n) groups, each with
/// an aggregator. Members report to their aggregator; aggregators send sums to the domain's collector (a watcher),
/// whose sum is distributed to all members in message headers. No node receives reports from more than about sqrt(n)
/// others.
class Acknowledgements {
public:
    struct Hooks {
        /// The live members of this node's failure domain, including this node.
        std::function<const std::vector<EntryVmId>&()> members;
        /// The member that adds up the groups' sums, if there is one.
        std::function<std::optional<EntryVmId>()> collector;
        std::function<bool(EntryVmId to, MessageBody)> send;
    };

    Acknowledgements(EntryVmId self, DomainTag domain, uint64_t seed, Hooks);

    /// Records that a revision is in force on this node and schedules its report.
    void setOwnRevision(Base::TimePoint now, Revision);
    /// Sends the reports that are due.
    void tick(Base::TimePoint now);
    /// Handles a report from a member or an aggregator.
    void handleReport(Base::TimePoint now, EntryVmId sender, const AcknowledgementReport&);
    /// Merges another node's known progress of all failure domains.
    void merge(const std::vector<DomainProgress>&);
    /// The known progress of all failure domains, for message headers.
    std::vector<DomainProgress> knownProgress() const;
    /// The progress of a failure domain; nullptr if unknown.
    const DomainProgress* find(DomainTag) const;

private:
    /// The sum last sent for a group that this node aggregates.
    struct SentSum {
        Revision revision;
        uint32_t inForce { 0 };
        uint32_t total { 0 };
        Base::TimePoint sentAt;
    };

    struct GroupReport {
        AcknowledgementReport report;
        Base::TimePoint receivedAt;
    };

    uint32_t groupCount() const;
    uint32_t groupOf(EntryVmId) const;
    EntryVmId aggregatorOf(uint32_t group) const;
    void sendOwnReport();
    void sendGroupReports(Base::TimePoint now);
    void sendGroupReport(Base::TimePoint now, uint32_t group, EntryVmId collector);
    void updateDomainSum(Base::TimePoint now);
    std::optional<AcknowledgementReport> sumGroup(uint32_t group) const;

    EntryVmId self_;
    DomainTag domain_;
    Base::Random random_;
    Hooks hooks_;
    Revision ownRevision_;
    Base::TimePoint nextReportAt_ {};
    bool isReportScheduled_ { false };
    Base::TimePoint nextSumAt_ {};
    std::map<EntryVmId, Revision> memberReports_;
    std::map<uint32_t, SentSum> sentSums_;
    std::map<uint32_t, GroupReport> groupReports_;
    std::map<DomainTag, DomainProgress> progress_;
};

}
