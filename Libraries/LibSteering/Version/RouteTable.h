#pragma once

#include <LibPacket/FlowKey.h>
#include <LibSteering/Process/ServerTable.h>
#include <boost/unordered/unordered_flat_map.hpp>

namespace Steering {

/// A configuration's routes, compiled for packets: services are given by their index in the server table.
class RouteTable {
public:
    struct Share {
        ServiceIndex service { 0 };
        uint32_t weight { 1 };
        double warmUpRequestsPerSecond { 0 };
    };

    struct CompiledRoute {
        TrafficClass traffic;
        std::vector<Share> shares;
        std::vector<ServiceIndex> services;
        uint64_t totalWeight { 0 };
        std::vector<std::string> regions;

        /// The service of a flow's first packet, the same for all copies of it; nullptr if the total weight is zero.
        const Share* shareFor(const Packet::FlowKey&) const;
    };

    /// Replaces all routes by those of another configuration.
    void replace(const Configuration&, ServerTable&);
    /// The route of a service address and port, or nullptr.
    const CompiledRoute* find(const Base::Ipv4Endpoint&) const;

private:
    boost::unordered_flat_map<Base::Ipv4Endpoint, CompiledRoute, std::hash<Base::Ipv4Endpoint>> routes_;
};

}
