#pragma once

#include <LibConfiguration/Snapshot.h>
#include <LibFlow/Version/AddressIndex.h>
#include <LibFlow/Version/BucketHistory.h>
#include <boost/unordered/unordered_flat_map.hpp>
#include <boost/unordered/unordered_flat_set.hpp>
#include <string>

namespace Flow {

/// A backend server of the current configuration.
struct ServerEntry {
    const Configuration::Service* service { nullptr };
    const Configuration::BackendServer* server { nullptr };
    /// The state of the server itself is Out.
    bool serverOut { false };
    /// The failure domain of the server is out.
    bool domainOut { false };

    bool isOut() const { return serverOut || domainOut; }
    /// Whether the configuration allows new flows to it.
    bool acceptsNewFlows() const
    {
        return !isOut() && server->state == Configuration::BackendServerState::Active && server->weight > 0;
    }
};

/// Lookup tables derived from the current configuration: addresses, backend servers and bucket tables.
class Routing {
public:
    /// Applies a configuration. Bucket tables of unchanged services are reused.
    void setSnapshot(TimePoint now, Configuration::SnapshotPointer);

    bool isReady() const { return snapshot_ != nullptr; }
    Base::Revision revision() const { return isReady() ? snapshot_->revision : Base::Revision {}; }
    const Configuration::SnapshotPointer& snapshot() const { return snapshot_; }

    /// Returns the service and port class of an address, or nullptr.
    const AddressIndex::Entry* classify(const Packet::FlowKey& key) const
    {
        return addresses_.find(key.service, key.protocol);
    }
    /// Returns a configured backend server, or nullptr.
    const ServerEntry* findServer(BackendServerId) const;
    /// Whether a service is configured.
    bool hasService(ServiceId id) const { return buckets_.contains(id); }
    /// Returns the bucket tables of a configured service.
    const BucketHistory& buckets(ServiceId) const;
    /// All configured backend servers by id.
    const boost::unordered_flat_map<BackendServerId, ServerEntry, std::hash<BackendServerId>>& servers() const
    {
        return servers_;
    }
    /// Returns the backend servers that may get new flows.
    boost::unordered_flat_set<BackendServerId, std::hash<BackendServerId>> serversAcceptingNewFlows() const;
    /// Memory used by bucket tables, in bytes.
    std::size_t memoryBytes() const;

private:
    void rebuildServers();
    void rebuildTables(TimePoint now, const Configuration::Snapshot* previous);
    BucketTable buildTable(const Configuration::Service&, bool includeDraining) const;

    Configuration::SnapshotPointer snapshot_;
    AddressIndex addresses_;
    boost::unordered_flat_map<BackendServerId, ServerEntry, std::hash<BackendServerId>> servers_;
    boost::unordered_flat_map<ServiceId, BucketHistory, std::hash<ServiceId>> buckets_;
};

}
