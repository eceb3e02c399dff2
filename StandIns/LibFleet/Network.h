#pragma once

#include <LibBase/Ipv4Endpoint.h>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace StandIn {

/// Reachability between entry VMs and backend servers in the simulated network.
struct Network {
    /// Failure domain of each entry VM, by its data address.
    std::map<Base::Ipv4Address, std::string> zones;
    /// Blocked directions: from an entry VM's failure domain to a backend server's.
    std::set<std::pair<std::string, std::string>> blockedDirections;
    /// Port of all data endpoints of entry VMs and callers.
    uint16_t dataPort { 0 };

    bool allows(Base::Ipv4Address entryVm, const std::string& zone) const
    {
        const auto found = zones.find(entryVm);
        return found != zones.end() && !blockedDirections.contains({ found->second, zone });
    }
};

}
