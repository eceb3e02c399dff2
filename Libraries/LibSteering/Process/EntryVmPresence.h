#pragma once

#include <LibBase/Time.h>
#include <LibSteering/Process/PeerLoads.h>
#include <string>

namespace Steering {

/// Which entry VMs are running, as told by their load reports.
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

    /// Whether fewer than half of the own failure domain's entry VMs are heard of, this one included, while at least
    /// half of those in each other domain are. The fabric then sends callers to all entry VMs of the domain, dead ones
    /// included, until none of them is ready.
    bool isOutnumbered(Base::TimePoint now, const std::unordered_map<Base::EntryVmId, PeerLoads::Peer>&) const;

private:
    Options options_;
};

}
