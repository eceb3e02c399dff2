#pragma once

#include <LibBase/Identifiers.h>
#include <LibSteering/FlowToken.h>
#include <unordered_map>
#include <vector>

namespace Steering {

/// Divides the places of a service's servers among the entry VMs that use them. All entry VMs compute the same division
/// from the same reports. Each place belongs to exactly one of them, and each entry VM gets its share rounded up or
/// down. If two entry VMs' lists differ by one member or server, each interval shifts by at most about one share, so
/// that few places have two holders and none has more.
class RoomShares {
public:
    struct Member {
        Base::EntryVmId id;
        /// Hash of the name of its failure domain.
        uint64_t domain { 0 };
        /// Requests for which it reported to need room; zero if it reported none.
        uint32_t demand { 0 };
    };
    struct PlacesOfServer {
        BackendServerNumber number;
        uint64_t domain { 0 };
        uint32_t places { 0 };
    };
    using OwnPlaces = std::unordered_map<BackendServerNumber, uint32_t>;

    /// The places of one member by server; servers without any are left out. members: including `self`.
    static OwnPlaces divide(
        Base::EntryVmId self, std::vector<Member> members, const std::vector<PlacesOfServer>& servers);
};

}
