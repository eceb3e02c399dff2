#pragma once

#include <LibBase/Time.h>
#include <LibSteering/Process/PeerLoads.h>
#include <string>

namespace Steering {

/// Determines from load reports which entry VMs are running.
class EntryVmPresence {
public:
    struct Options {
        Base::EntryVmId self;
        std::string failureDomain;
    };

    explicit EntryVmPresence(Options options)
        : options_(std::move(options))
    {
    }

    /// Whether fewer than half of the own failure domain's entry VMs report, this one included, while at least half of
    /// those in each other domain do. The fabric then sends callers to all entry VMs of the domain, failed ones
    /// included, until none of them is ready.
    bool isOutnumbered(Base::TimePoint now, const std::unordered_map<Base::EntryVmId, PeerLoads::Peer>&) const;

private:
    Options options_;
};

}
