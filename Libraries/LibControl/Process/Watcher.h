#pragma once

#include <LibBase/Random.h>
#include <LibBase/Time.h>
#include <LibControl/ControlNode.h>
#include <LibControl/Process/Lease.h>
#include <LibControl/Process/Outbox.h>
#include <LibControl/Process/StoreGateway.h>
#include <LibControl/Process/WatcherElection.h>
#include <LibControl/Version/StoreReader.h>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace Control {

/// This node's role as a watcher of the store: contends for a free watcher slot of its failure domain, holds it by a
/// lease, and reads the store while holding it. Not thread-safe.
class Watcher {
public:
    struct Hooks {
        /// The failure domain's live members, including this node.
        std::function<const std::vector<EntryVmId>&()> members;
        /// The failure domain's members in the platform's VM list, sorted by id.
        std::function<const std::vector<EntryVmId>&()> listed;
        StoreReader::Hooks storeReader;
    };

    Watcher(const ControlNode::Options&, const ChangeLog&, Hooks, Outbox&, ControlStatistics&);

    /// shouldRead: false while peers may still provide the configuration that the store holds.
    void tick(Base::TimePoint now, bool shouldRead);
    Base::ErrorOr<void> handleStoreResponse(Base::TimePoint now, Store::RequestId, const Store::Answer&);
    /// Handles the announcements in a header; ignores those of an older epoch.
    void handleHeader(Base::TimePoint now, const MessageHeader&);
    /// Whether a push has the newest known epoch of its watcher slot.
    bool isCurrent(const ChangePush& push) const
    {
        return push.watcherEpoch == 0 || election_.isCurrent(push.watcherDomain, push.watcherSlot, push.watcherEpoch);
    }
    /// Releases the held slots; called before this node leaves.
    void release(Base::TimePoint now);
    /// The slot held now; epoch zero if none.
    WatcherAnnouncement heldSlot(Base::TimePoint now) const;
    /// The member that collects the failure domain's acknowledgements: the holder of the last slot, since the holder of
    /// the first one pushes changes.
    std::optional<EntryVmId> collector(Base::TimePoint now) const;
    /// The announcements to include in headers.
    std::vector<WatcherAnnouncement> currentAnnouncements(Base::TimePoint now) const
    {
        return election_.currentAnnouncements(now);
    }
    StoreHealth storeHealth() const { return store_.health(); }

private:
    void addLease(uint32_t slot);
    void logHealthChange(StoreHealth);
    void recordOwnSlots(Base::TimePoint now);

    ControlNode::Options options_;
    Hooks hooks_;
    Outbox& outbox_;
    ControlStatistics& statistics_;
    DomainTag domain_;
    Base::Random random_;
    StoreGateway store_;
    WatcherElection election_;
    std::vector<std::unique_ptr<Lease>> leases_;
    std::vector<Base::TimePoint> nextContentionAt_;
    StoreReader reader_;
    bool isLeaving_ { false };
};

}
