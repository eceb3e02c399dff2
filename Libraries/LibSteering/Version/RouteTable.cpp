#include <LibSteering/Version/RouteTable.h>

#include <algorithm>

namespace Steering {

const RouteTable::Share* RouteTable::CompiledRoute::shareFor(const Packet::FlowKey& flow) const
{
    if (totalWeight == 0)
        return nullptr;
    auto point = flow.hash() % totalWeight;
    const auto* share = shares.data();
    while (point >= share->weight) {
        point -= share->weight;
        ++share;
    }
    return share;
}

void RouteTable::replace(const Configuration& configuration, ServerTable& servers)
{
    routes_.clear();
    for (const auto& route : configuration.routes) {
        CompiledRoute compiled { .traffic = route.traffic, .regions = route.regions };
        for (const auto& share : route.shares) {
            const auto profile = std::ranges::find(configuration.services, share.service, &ServiceProfile::name);
            const double rate = profile != configuration.services.end() ? profile->warmUpRequestsPerSecond : 0;
            const auto service = servers.serviceIndex(share.service);
            compiled.shares.push_back({ .service = service, .weight = share.weight, .warmUpRequestsPerSecond = rate });
            compiled.services.push_back(service);
            compiled.totalWeight += share.weight;
        }
        routes_[route.endpoint] = std::move(compiled);
    }
}

const RouteTable::CompiledRoute* RouteTable::find(const Base::Ipv4Endpoint& endpoint) const
{
    const auto found = routes_.find(endpoint);
    return found != routes_.end() ? &found->second : nullptr;
}

}
