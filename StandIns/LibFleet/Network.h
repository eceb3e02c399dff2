#pragma once

#include <LibBase/Ipv4Endpoint.h>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace StandIn {

/// Who can reach whom in the played network.
struct Network {
    /// Failure domain of each entry VM, by its data address.
    std::map<Base::Ipv4Address, std::string> zones;
    /// Directions that are cut: from an entry VM's failure domain to a backend server's.
    std::set<std::pair<std::string, std::string>> cuts;
    /// The port of all data addresses and callers.
    uint16_t dataPort { 0 };

    bool allows(Base::Ipv4Address entryVm, const std::string& zone) const
    {
        const auto found = zones.find(entryVm);
        return found != zones.end() && !cuts.contains({ found->second, zone });
    }
};

}
