#pragma once

#include <LibSteering/Process/PeerLoads.h>
#include <string>

namespace Steering {

/// Which entry VMs follow the store themselves. Calls are priced and limited, so that a few in each failure domain do;
/// the others hear from them. Every entry VM decides for itself, by the peers of its domain that it has heard of: when
/// a watcher falls silent, or the store does not answer it, the next in rank takes over. Wide links rank first, since
/// the others fetch everything from here. Views that differ for a moment cost some calls and nothing else, so that no
/// lease is needed.
class WatcherChoice {
public:
    struct Options {
        Base::EntryVmId self;
        std::string failureDomain;
        /// Capacity of this entry VM's link, in Mbit/s.
        uint64_t linkMegabits { 0 };
        /// Entry VMs of each failure domain that follow the store.
        std::size_t watchersPerDomain { 1 };
    };

    explicit WatcherChoice(Options options)
        : options_(std::move(options))
    {
    }

    /// Whether this entry VM should follow the store now.
    bool isWatcher(Base::TimePoint now, const std::unordered_map<Base::EntryVmId, PeerLoads::Peer>&) const;

    /// Whether the store answers some watcher, as far as this entry VM can know. ownView: how it answers itself.
    static bool isStoreAnswering(
        Base::TimePoint now, StoreView ownView, const std::unordered_map<Base::EntryVmId, PeerLoads::Peer>&);

private:
    Options options_;
};

}
