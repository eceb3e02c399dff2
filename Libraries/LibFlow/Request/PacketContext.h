#pragma once

#include <LibFlow/Types.h>
#include <LibFlow/Version/AddressIndex.h>

namespace Flow {

/// A packet together with the configuration of its address.
struct PacketContext {
    const PacketEvent& event;
    const Configuration::Service& service;
    const Configuration::PortClass& portClass;
    uint64_t flowHash { 0 };

    const Packet::FlowKey& key() const { return event.packet.key; }
    bool isUdp() const { return key().protocol == Packet::IpProtocol::Udp; }
    /// Whether the packet may open a flow: a TCP SYN or any datagram.
    bool isFirst() const { return isUdp() || (event.packet.flags.syn && !event.packet.flags.ack); }
    /// Whether another balancer forwarded the packet for this reason.
    bool wasForwardedFor(HandOverReason reason) const
    {
        return event.arrival == Arrival::Peer && event.handOver.reason == reason;
    }
    uint8_t hops() const { return event.arrival == Arrival::Peer ? event.handOver.hops : uint8_t { 0 }; }
};

}
