#pragma once

#include <LibBase/Identifiers.h>
#include <LibBase/Time.h>
#include <LibSteering/FlowToken.h>
#include <deque>
#include <unordered_map>
#include <vector>

namespace Steering {

/// This node's share of the first packets that a cold backend server may get from all entry VMs together. The shares
/// depend only on the list of entry VMs, so that they hold while entry VMs cannot reach each other.
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

    /// Returns whether the server may get a first packet now, and counts it if so. peers: the other entry VMs.
    bool tryConsume(
        Base::TimePoint now, BackendServerNumber, double requestsPerSecond, const std::vector<Base::EntryVmId>& peers);
    /// Removes servers without first packets in the last 1.1 s. Called every 250 ms.
    void expire(Base::TimePoint now);

private:
    std::size_t ownShare(
        BackendServerNumber, double requestsPerSecond, const std::vector<Base::EntryVmId>& peers) const;

    Options options_;
    std::unordered_map<BackendServerNumber, std::deque<Base::TimePoint>> recentFirstPackets_;
};

}
