#pragma once

#include <LibPacket/FlowKey.h>
#include <LibSteering/Process/ServerTable.h>
#include <boost/unordered/unordered_flat_map.hpp>

namespace Steering {

/// A configuration's routes, ready for packets: services by their place in the server table.
class RouteTable {
public:
    struct Share {
        ServiceIndex service { 0 };
        uint32_t weight { 1 };
        double warmUpRequestsPerSecond { 0 };
    };

    struct CompiledRoute {
        std::vector<Share> shares;
        std::vector<ServiceIndex> services;
        uint64_t totalWeight { 0 };
        std::vector<std::string> regions;

        /// Where a flow's first packets go; all copies of one go to the same service. nullptr: nowhere.
        const Share* shareFor(const Packet::FlowKey&) const;
    };

    /// Takes over another configuration's routes.
    void replace(const Configuration&, ServerTable&);
    /// The route of a service address and port, or nullptr.
    const CompiledRoute* find(const Base::Ipv4Endpoint&) const;

private:
    boost::unordered_flat_map<Base::Ipv4Endpoint, CompiledRoute, std::hash<Base::Ipv4Endpoint>> routes_;
};

}
