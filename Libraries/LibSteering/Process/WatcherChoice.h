#pragma once

#include <LibSteering/Process/PeerLoads.h>
#include <string>

namespace Steering {

/// Selects the entry VMs that watch the store. Calls to it are charged and limited, so that only a few in each failure
/// domain watch it and the others receive updates from them. Every entry VM decides for itself, from the reports of the
/// peers of its domain: when a watcher stops reporting, or the store does not respond to it in time, the next in rank
/// takes over. Those with the widest link rank first, since the others fetch all records from them. Temporarily
/// different views cost additional calls and nothing else, so that no lease is needed.
class WatcherChoice {
public:
    struct Options {
        Base::EntryVmId self;
        std::string failureDomain;
        /// Capacity of this entry VM's link, in Mbit/s.
        uint64_t linkMegabits { 0 };
        /// Number of entry VMs of each failure domain that watch the store.
        std::size_t watchersPerDomain { 1 };
    };

    explicit WatcherChoice(Options options)
        : options_(std::move(options))
    {
    }

    /// Whether this entry VM should watch the store now. synchronizedAt: when it learned of its peers; those that may
    /// not have sent their first report yet count as running for some time after it.
    bool isWatcher(Base::TimePoint now, const std::unordered_map<Base::EntryVmId, PeerLoads::Peer>&,
        Base::TimePoint synchronizedAt) const;

    /// Whether the store responds to any watcher, as far as this entry VM knows; an overdue answer may still arrive, so
    /// that it does not mean that the store is away. ownView: whether it responds to this
    /// entry VM.
    static bool isStoreResponding(
        Base::TimePoint now, StoreView ownView, const std::unordered_map<Base::EntryVmId, PeerLoads::Peer>&);

private:
    Options options_;
};

}
