#pragma once

#include <LibConfiguration/Snapshot.h>
#include <LibPacket/PacketSummary.h>
#include <atomic>
#include <boost/unordered/unordered_flat_map.hpp>
#include <boost/unordered/unordered_flat_set.hpp>
#include <memory>
#include <mutex>
#include <vector>

namespace DataPath {

/// The part of a configuration that packet workers need: the service addresses and the backend servers' tunnel
/// endpoints. Immutable; rebuilt for each configuration.
class AddressTable {
public:
    explicit AddressTable(const Configuration::Snapshot&);

    /// Returns the backend server of a tunnel endpoint, or an invalid id if there is none.
    Base::BackendServerId findBackendServer(const Base::Ipv4Endpoint& tunnel) const;
    bool isServiceAddress(Base::Ipv4Address address) const { return serviceAddresses_.contains(address); }
    /// Returns the tunnel endpoint of a backend server, or nothing if the server is unknown.
    std::optional<Base::Ipv4Endpoint> findTunnel(Base::BackendServerId) const;

private:
    boost::unordered_flat_map<uint64_t, Base::BackendServerId> serversByTunnel_;
    boost::unordered_flat_map<uint32_t, Base::Ipv4Endpoint> tunnelsByServer_;
    boost::unordered_flat_set<Base::Ipv4Address, std::hash<Base::Ipv4Address>> serviceAddresses_;
};

using AddressTablePointer = std::shared_ptr<const AddressTable>;

/// Publishes the newest table to many reader threads. Readers check only an atomic version number until it changes.
class AddressTablePublisher {
public:
    /// Thread-safe.
    void publish(AddressTablePointer);
    /// Replaces a reader's table if a newer one has been published.
    void refresh(AddressTablePointer& table, uint64_t& version) const;

private:
    mutable std::mutex mutex_;
    AddressTablePointer table_;
    std::atomic<uint64_t> version_ { 0 };
};

}
