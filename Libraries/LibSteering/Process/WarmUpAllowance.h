#pragma once

#include <LibBase/Identifiers.h>
#include <LibBase/Time.h>
#include <LibSteering/FlowToken.h>
#include <deque>
#include <unordered_map>
#include <vector>

namespace Steering {

/// This node's part of the first packets that a cold backend server may get from all entry VMs together. The parts are
/// fixed by the list of entry VMs, so that they hold while entry VMs cannot hear each other.
class WarmUpAllowance {
public:
    struct Options {
        Base::EntryVmId self;
        /// The limit is rate * overshoot + slack in any second.
        double overshoot { 1.0 };
        double slack { 0 };
    };

    explicit WarmUpAllowance(Options options)
        : options_(options)
    {
    }

    /// Takes one first packet's place if the server may get one now. peers: the other entry VMs.
    bool tryTake(
        Base::TimePoint now, BackendServerNumber, double requestsPerSecond, const std::vector<Base::EntryVmId>& peers);
    /// Forgets servers that got nothing for a while.
    void expire(Base::TimePoint now);

private:
    std::size_t ownPart(BackendServerNumber, double requestsPerSecond, const std::vector<Base::EntryVmId>& peers) const;

    Options options_;
    std::unordered_map<BackendServerNumber, std::deque<Base::TimePoint>> taken_;
};

}
