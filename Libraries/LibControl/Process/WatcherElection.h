#pragma once

#include <LibBase/Time.h>
#include <LibControl/Message.h>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Control {

/// The store key of a watcher slot.
std::string watcherKey(std::string_view failureDomain, uint32_t slot);

/// Tracks the announced watchers of each failure domain and decides whether this node should try to become one. Holders
/// announce themselves in messages. When a slot has no current holder, the member ranked first for it tries to acquire
/// it, then the next ones, so that few nodes call the store at once.
class WatcherElection {
public:
    struct Options {
        EntryVmId self;
        std::string failureDomain;
        uint32_t slots { 2 };
        uint64_t seed { 1 };
        /// Time without an announcement after which a slot is vacant.
        Base::milliseconds holderTimeout { 6000 };
        /// Delay between the attempts of consecutive ranks.
        Base::milliseconds rankDelay { 1500 };
        /// Number of members that may contend for each slot.
        uint32_t candidatesPerSlot { 3 };
        /// Time after which the platform's VM list is no longer considered for a vacant slot.
        Base::milliseconds listedMembersTimeout { 8000 };
    };

    explicit WatcherElection(const Options&);

    /// Records an announcement. Returns false if its epoch is older than the newest known for the slot.
    bool recordAnnouncement(const WatcherAnnouncement&, Base::TimePoint now);
    /// Whether a message sent on behalf of a slot has the newest known epoch.
    bool isCurrent(DomainTag, uint32_t slot, uint64_t epoch) const;
    /// Whether this node should now try to acquire the slot. members: the failure domain's live members, including this
    /// node. listed: its members in the platform's VM list. The list is included in the ranking at first, since many
    /// nodes that have just started know hardly any members yet; it is ignored once none of the members ranked first
    /// has acquired the slot in time.
    bool shouldContend(uint32_t slot, const std::vector<EntryVmId>& members, const std::vector<EntryVmId>& listed,
        Base::TimePoint now);
    /// The announcements to include in headers: those of this node's failure domain that have not expired.
    std::vector<WatcherAnnouncement> currentAnnouncements(Base::TimePoint now) const;
    /// The current holder of a slot of this node's failure domain, if known.
    std::optional<EntryVmId> holder(uint32_t slot, Base::TimePoint now) const;

private:
    struct SlotState {
        EntryVmId holder;
        uint64_t epoch { 0 };
        Base::TimePoint confirmedAt;
    };

    std::size_t rankOf(
        uint32_t slot, const std::vector<EntryVmId>& members, const std::vector<EntryVmId>& listed) const;

    Options options_;
    DomainTag domain_;
    std::map<std::pair<DomainTag, uint32_t>, SlotState> slotStates_;
    /// For each slot: when this node first found it vacant.
    std::vector<std::optional<Base::TimePoint>> vacantSince_;
    /// For each slot: when this node's rank is next computed.
    std::vector<Base::TimePoint> nextRankingAt_;
};

}
