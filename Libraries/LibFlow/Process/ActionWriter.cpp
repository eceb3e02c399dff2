#include <LibFlow/Process/ActionWriter.h>

namespace Flow {

void ActionWriter::forward(PacketToken token, BackendServerId server)
{
    actions_.emplace_back(ForwardToBackendServer { .packet = token, .backendServer = server });
}

void ActionWriter::forwardToCaller(PacketToken token) { actions_.emplace_back(ForwardToCaller { .packet = token }); }

void ActionWriter::drop(PacketToken token, DropReason reason)
{
    ++statistics_.drops.at(static_cast<std::size_t>(reason));
    actions_.emplace_back(DropPacket { .packet = token, .reason = reason });
}

void ActionWriter::refuse(PacketToken token, RefusalReason reason, ExecutionStatus truth)
{
    ++statistics_.refusals.at(static_cast<std::size_t>(reason));
    actions_.emplace_back(RefuseToCaller { .packet = token, .reason = reason, .truth = truth });
}

void ActionWriter::hold(PacketToken token) { actions_.emplace_back(HoldPacket { .packet = token }); }

void ActionWriter::keepCopy(PacketToken token) { actions_.emplace_back(KeepCopy { .packet = token }); }

void ActionWriter::release(PacketToken token) { actions_.emplace_back(ReleasePacket { .packet = token }); }

void ActionWriter::retried(BackendServerId from, BackendServerId to, RetryReason reason)
{
    ++statistics_.retries.at(static_cast<std::size_t>(reason));
    actions_.emplace_back(Retried { .from = from, .to = to, .reason = reason });
}

void ActionWriter::handOver(const PacketEvent& event, EntryVmId self, EntryVmId peer, HandOver header)
{
    bool travelled = event.arrival == Arrival::Peer;
    uint8_t hops = travelled ? event.handOver.hops : 0;
    if (hops >= maximumHandOvers) {
        drop(event.token, DropReason::HandOverLimit);
        return;
    }
    if (!peer.isValid()) {
        drop(event.token, DropReason::NoOwner);
        return;
    }
    header.hops = static_cast<uint8_t>(hops + 1);
    header.origin = travelled ? event.handOver.origin : self;
    ++statistics_.handOvers.at(static_cast<std::size_t>(header.reason));
    actions_.emplace_back(HandOverToPeer { .packet = event.token, .peer = peer, .header = header });
}

void ActionWriter::send(EntryVmId peer, ControlKind kind, std::vector<std::byte> message)
{
    statistics_.controlBytesSent.at(static_cast<std::size_t>(kind)) += message.size();
    actions_.emplace_back(SendToPeer { .peer = peer, .message = std::move(message) });
}

}
