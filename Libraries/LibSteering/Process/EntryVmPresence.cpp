#include <LibSteering/Process/EntryVmPresence.h>

#include <algorithm>
#include <map>

namespace Steering {

namespace {

    /// Reports are sent every 100 to 200 ms. Slow entry VMs skip a few, and the fabric itself needs a second to react.
    constexpr Base::milliseconds peerReportTimeout { 800 };

    /// An entry VM reports once it has received this one's record, which its peers may relay.
    constexpr Base::milliseconds firstReportTimeout { 2500 };

    struct Count {
        std::size_t listed { 0 };
        std::size_t reporting { 0 };

        bool isMinority() const { return reporting * 2 < listed; }
    };

}

bool EntryVmPresence::isOutnumbered(
    Base::TimePoint now, const std::unordered_map<Base::EntryVmId, PeerLoads::Peer>& peers) const
{
    std::map<std::string_view, Count> domains;
    domains[options_.failureDomain] = { .listed = 1, .reporting = 1 };
    for (const auto& [id, peer] : peers) {
        const bool hasReported = peer.lastReportAt != Base::TimePoint {};
        if (!hasReported && now - peer.listedAt < firstReportTimeout)
            continue;
        auto& count = domains[peer.failureDomain];
        ++count.listed;
        count.reporting += hasReported && now - peer.lastReportAt <= peerReportTimeout ? 1 : 0;
    }
    const auto minorities = std::ranges::count_if(domains, [](const auto& entry) { return entry.second.isMinority(); });
    return domains.size() > 1 && minorities == 1 && domains[options_.failureDomain].isMinority();
}

}
