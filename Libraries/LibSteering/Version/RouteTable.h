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
        /// The route's other shares of a weight above 0, in the order in which the flow is diverted to them; the same
        /// for all copies of a first packet. Over many flows, the shares' weights divide the first places.
        std::vector<const Share*> otherSharesFor(const Packet::FlowKey&, const Share& own) const;
    };

    /// Replaces all routes by those of another configuration.
    void replace(const Configuration&, ServerTable&);
    /// The route of a service address and port, or nullptr.
    const CompiledRoute* find(const Base::Ipv4Endpoint&) const;
    /// The services of all routes, sorted.
    const std::vector<ServiceIndex>& services() const { return services_; }

private:
    std::vector<ServiceIndex> services_;
    boost::unordered_flat_map<Base::Ipv4Endpoint, CompiledRoute, std::hash<Base::Ipv4Endpoint>> routes_;
};

}
