#include <LibDataPath/AddressTable.h>

namespace DataPath {

AddressTable::AddressTable(const Configuration::Snapshot& snapshot)
{
    for (const auto& [name, service] : snapshot.services) {
        serviceAddresses_.insert(service.addresses.begin(), service.addresses.end());
        for (const auto& server : service.backendServers) {
            serversByTunnel_[server.tunnel.packed()] = server.id;
            tunnelsByServer_[server.id.value] = server.tunnel;
        }
    }
}

Base::BackendServerId AddressTable::findBackendServer(const Base::Ipv4Endpoint& tunnel) const
{
    const auto found = serversByTunnel_.find(tunnel.packed());
    return found == serversByTunnel_.end() ? Base::BackendServerId {} : found->second;
}

std::optional<Base::Ipv4Endpoint> AddressTable::findTunnel(Base::BackendServerId server) const
{
    const auto found = tunnelsByServer_.find(server.value);
    if (found == tunnelsByServer_.end())
        return std::nullopt;
    return found->second;
}

void AddressTablePublisher::publish(AddressTablePointer table)
{
    const std::lock_guard lock(mutex_);
    table_ = std::move(table);
    version_.fetch_add(1, std::memory_order_release);
}

void AddressTablePublisher::refresh(AddressTablePointer& table, uint64_t& version) const
{
    if (version_.load(std::memory_order_acquire) == version)
        return;
    const std::lock_guard lock(mutex_);
    table = table_;
    version = version_.load(std::memory_order_relaxed);
}

}
