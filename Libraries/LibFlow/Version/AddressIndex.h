#pragma once

#include <LibConfiguration/Snapshot.h>
#include <LibPacket/FlowKey.h>
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>

namespace Flow {

/// Looks up the service and port class of an address, port and protocol. Rebuilt for each revision; refers to the
/// snapshot, which must outlive it.
class AddressIndex {
public:
    /// Service and port class of an address.
    struct Entry {
        const Configuration::Service* service { nullptr };
        const Configuration::PortClass* portClass { nullptr };
    };

    AddressIndex() = default;
    explicit AddressIndex(const Configuration::Snapshot&);

    /// Returns the entry of an address, or nullptr.
    const Entry* find(const Base::Ipv4Endpoint&, Packet::IpProtocol) const;
    /// Number of (address, port, protocol) entries.
    std::size_t size() const { return entries_.size(); }

private:
    static uint64_t pack(const Base::Ipv4Endpoint&, Packet::IpProtocol);

    boost::unordered_flat_map<uint64_t, Entry> entries_;
};

}
