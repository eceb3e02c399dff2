#include <LibBase/Verify.h>
#include <LibFlow/Version/Routing.h>
#include <set>

namespace Flow {

namespace {

    bool isUnchanged(const Configuration::Snapshot& previous, const Configuration::Service& service)
    {
        auto before = previous.services.find(service.name);
        return before != previous.services.end() && before->second.changedAt == service.changedAt
            && before->second == service;
    }

}

void Routing::setSnapshot(TimePoint now, Configuration::SnapshotPointer snapshot)
{
    auto previous = std::move(snapshot_);
    snapshot_ = std::move(snapshot);
    addresses_ = AddressIndex(*snapshot_);
    rebuildServers();
    rebuildTables(now, previous.get());
}

const ServerEntry* Routing::findServer(BackendServerId id) const
{
    auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : &found->second;
}

const BucketHistory& Routing::buckets(ServiceId id) const
{
    auto found = buckets_.find(id);
    VERIFY(found != buckets_.end());
    return found->second;
}

boost::unordered_flat_set<BackendServerId, std::hash<BackendServerId>> Routing::serversAcceptingNewFlows() const
{
    boost::unordered_flat_set<BackendServerId, std::hash<BackendServerId>> ids;
    for (const auto& [id, entry] : servers_) {
        if (entry.acceptsNewFlows())
            ids.insert(id);
    }
    return ids;
}

std::size_t Routing::memoryBytes() const
{
    std::size_t bytes = 0;
    for (const auto& [id, history] : buckets_)
        bytes += history.memoryBytes();
    return bytes;
}

void Routing::rebuildServers()
{
    servers_.clear();
    for (const auto& [name, service] : snapshot_->services) {
        for (const auto& server : service.backendServers) {
            auto domain = snapshot_->failureDomains.find(server.failureDomain);
            bool domainOut = domain != snapshot_->failureDomains.end()
                && domain->second.state == Configuration::FailureDomainState::Out;
            servers_[server.id] = {
                .service = &service,
                .server = &server,
                .serverOut = server.state == Configuration::BackendServerState::Out,
                .domainOut = domainOut,
            };
        }
    }
}

void Routing::rebuildTables(TimePoint now, const Configuration::Snapshot* previous)
{
    bool sameDomains = previous && previous->failureDomains == snapshot_->failureDomains;
    std::set<ServiceId> present;
    for (const auto& [name, service] : snapshot_->services) {
        present.insert(service.id);
        auto [history, isNew] = buckets_.try_emplace(service.id);
        if (!isNew && sameDomains && isUnchanged(*previous, service))
            continue;
        // A balancer that starts while backend servers drain does not know the previous table: assume that they
        // accepted new flows until now.
        if (isNew)
            history->second.push(now, buildTable(service, true));
        history->second.push(now, buildTable(service, false));
    }
    boost::unordered::erase_if(buckets_, [&](const auto& entry) { return !present.contains(entry.first); });
}

BucketTable Routing::buildTable(const Configuration::Service& service, bool includeDraining) const
{
    std::vector<BucketTable::Share> shares;
    for (const auto& server : service.backendServers) {
        const auto& entry = *findServer(server.id);
        bool draining = !entry.isOut() && server.state == Configuration::BackendServerState::Draining;
        if (entry.acceptsNewFlows() || (includeDraining && draining))
            shares.push_back({ .backendServer = server.id, .weight = server.weight });
    }
    return { service.id, shares };
}

}
