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

std::vector<const RouteTable::Share*> RouteTable::CompiledRoute::otherSharesFor(
    const Packet::FlowKey& flow, const Share& own) const
{
    std::vector<const Share*> remaining;
    for (const auto& share : shares) {
        if (&share != &own && share.weight > 0)
            remaining.push_back(&share);
    }
    auto remainingWeight = totalWeight - own.weight;
    std::vector<const Share*> ordered;
    while (!remaining.empty()) {
        // Independent of the point that determines the own share.
        auto point = Base::mix(flow.hash(), remaining.size()) % remainingWeight;
        auto next = remaining.begin();
        while (point >= (*next)->weight) {
            point -= (*next)->weight;
            ++next;
        }
        remainingWeight -= (*next)->weight;
        ordered.push_back(*next);
        remaining.erase(next);
    }
    return ordered;
}

void RouteTable::replace(const Configuration& configuration, ServerTable& servers)
{
    routes_.clear();
    services_.clear();
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
        services_.insert(services_.end(), compiled.services.begin(), compiled.services.end());
        routes_[route.endpoint] = std::move(compiled);
    }
    std::ranges::sort(services_);
    services_.erase(std::unique(services_.begin(), services_.end()), services_.end());
}

const RouteTable::CompiledRoute* RouteTable::find(const Base::Ipv4Endpoint& endpoint) const
{
    const auto found = routes_.find(endpoint);
    return found != routes_.end() ? &found->second : nullptr;
}

}
