#include <LibFlow/Version/AddressIndex.h>

namespace Flow {

namespace {

    Packet::IpProtocol toIpProtocol(Configuration::Protocol protocol)
    {
        return protocol == Configuration::Protocol::Tcp ? Packet::IpProtocol::Tcp : Packet::IpProtocol::Udp;
    }

}

uint64_t AddressIndex::pack(const Base::Ipv4Endpoint& endpoint, Packet::IpProtocol protocol)
{
    return (endpoint.packed() << 8) | static_cast<uint8_t>(protocol);
}

AddressIndex::AddressIndex(const Configuration::Snapshot& snapshot)
{
    for (const auto& [name, service] : snapshot.services) {
        for (const auto& address : service.addresses) {
            for (const auto& portClass : service.portClasses) {
                auto key = pack({ .address = address, .port = portClass.port }, toIpProtocol(portClass.protocol));
                entries_.try_emplace(key, Entry { .service = &service, .portClass = &portClass });
            }
        }
    }
}

const AddressIndex::Entry* AddressIndex::find(const Base::Ipv4Endpoint& endpoint, Packet::IpProtocol protocol) const
{
    auto found = entries_.find(pack(endpoint, protocol));
    return found == entries_.end() ? nullptr : &found->second;
}

}
