// The part of BalancerHost that writes arriving packets and the decider's actions to a trace.

#include <LibFlowBench/BalancerHost.h>

namespace FlowBench {

namespace {

    std::string describe(const Packet::PacketSummary& packet)
    {
        std::string text = packet.direction == Packet::Direction::ToCaller ? "to-caller" : "to-server";
        if (packet.flags.syn)
            text += " syn";
        if (packet.flags.ack)
            text += " ack";
        if (packet.flags.fin)
            text += " fin";
        if (packet.flags.rst)
            text += " rst";
        if (packet.payloadLength > 0)
            text += " payload";
        return text;
    }

}

void BalancerHost::traceArrival(const WirePacket& packet, Flow::Arrival arrival, const Flow::HandOver& handOver)
{
    if (!outputs_.trace)
        return;
    std::string text = arrival == Flow::Arrival::Fabric ? "from fabric: " : "from peer: ";
    text += describe(packet.summary) + " request " + std::to_string(packet.request) + " server "
        + std::to_string(packet.backendServer.value);
    if (arrival == Flow::Arrival::Peer)
        text.append(" ").append(toString(handOver.reason)).append(" hops ").append(std::to_string(handOver.hops));
    outputs_.trace(text, packet);
}

void BalancerHost::traceAction(const Flow::Action& action)
{
    const auto traceLine = [&](Flow::PacketToken token, const std::string& text) {
        if (token < slots_.size())
            outputs_.trace("  -> " + text, slots_[token].packet);
    };
    if (const auto* forward = std::get_if<Flow::ForwardToBackendServer>(&action))
        traceLine(forward->packet, "server " + std::to_string(forward->backendServer.value));
    else if (const auto* response = std::get_if<Flow::ForwardToCaller>(&action))
        traceLine(response->packet, "caller");
    else if (const auto* transfer = std::get_if<Flow::HandOverToPeer>(&action))
        traceLine(transfer->packet,
            "peer " + std::to_string((transfer->peer.value >> 16) & 0xFF) + " "
                + std::string(toString(transfer->header.reason)));
    else if (const auto* hold = std::get_if<Flow::HoldPacket>(&action))
        traceLine(hold->packet, "hold");
    else if (const auto* refusal = std::get_if<Flow::RefuseToCaller>(&action))
        traceLine(refusal->packet,
            "refuse " + std::string(toString(refusal->reason)) + " " + std::string(toString(refusal->truth)));
    else if (const auto* drop = std::get_if<Flow::DropPacket>(&action))
        traceLine(drop->packet, "drop " + std::string(toString(drop->reason)));
}

}
