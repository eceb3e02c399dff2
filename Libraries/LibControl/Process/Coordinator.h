#pragma once

#include <LibControl/ControlNode.h>
#include <LibControl/Process/Acknowledgements.h>
#include <LibControl/Process/ControlStatistics.h>
#include <LibControl/Process/Membership.h>
#include <LibControl/Process/Outbox.h>
#include <LibControl/Process/Watcher.h>
#include <LibControl/Version/Propagation.h>
#include <optional>

namespace Control {

/// The implementation of ControlNode: passes each event to this library's components and collects their actions.
class Coordinator final : public ControlNode {
public:
    explicit Coordinator(const Options&);

    void handleTick(TimePoint now, ControlActions&) override;
    Base::ErrorOr<void> handleMessage(
        TimePoint now, EntryVmId sender, std::span<const std::byte>, ControlActions&) override;
    Base::ErrorOr<void> handleStoreResponse(
        TimePoint now, Store::RequestId, const Store::Answer&, ControlActions&) override;
    void handleVmList(TimePoint now, std::vector<ListedVm>, ControlActions&) override;
    void beginLeaving(TimePoint now, ControlActions&) override;
    Configuration::SnapshotPointer configuration() const override { return propagation_.log().snapshot(); }
    Evidence evidence() const override { return propagation_.evidence(now_); }
    Base::nanoseconds evidenceAge(TimePoint now) const override { return propagation_.evidenceAge(now); }
    std::vector<Member> members() const override { return membership_.table().members(); }
    InForceSummary inForce() const override;
    const ControlStatistics& statistics() const override { return statistics_; }

private:
    Base::ErrorOr<void> dispatch(EntryVmId sender, Message);
    MessageHeader makeHeader(EntryVmId to, const MessageBody&);
    void advanceTime(TimePoint now);
    void collectActions(ControlActions&);
    void reportMembers();
    void logEvidenceChange();
    void reportEnforced();
    bool shouldReadStore() const;
    ChangePusher::Hooks pushingHooks();
    Propagation::Hooks propagationHooks();
    Watcher::Hooks watcherHooks();
    Acknowledgements::Hooks acknowledgementHooks();

    Options options_;
    ControlStatistics statistics_;
    TimePoint now_ {};
    std::optional<TimePoint> startedAt_;
    Outbox outbox_;
    Membership membership_;
    Propagation propagation_;
    Watcher watcher_;
    Acknowledgements acknowledgements_;
    uint64_t reportedMembersVersion_ { 0 };
    TimePoint nextMemberReportAt_ {};
    Evidence reportedEvidence_ { Evidence::None };
    uint32_t probeHeaderCount_ { 0 };
};

}
