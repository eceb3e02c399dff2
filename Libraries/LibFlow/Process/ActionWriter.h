#pragma once

#include <LibFlow/Process/FlowStatistics.h>
#include <LibFlow/Types.h>

namespace Flow {

/// Appends actions to the output and counts them.
class ActionWriter {
public:
    ActionWriter(FlowStatistics& statistics, Actions& actions)
        : statistics_(statistics)
        , actions_(actions)
    {
    }

    void forward(PacketToken, BackendServerId);
    void forwardToCaller(PacketToken);
    void drop(PacketToken, DropReason);
    void refuse(PacketToken, RefusalReason, ExecutionStatus);
    void hold(PacketToken);
    void keepCopy(PacketToken);
    void release(PacketToken);
    void retried(BackendServerId from, BackendServerId to, RetryReason);
    /// Forwards a packet to a peer with an incremented hop count. Drops it if it has reached the transfer limit or the
    /// peer is invalid.
    void handOver(const PacketEvent&, EntryVmId self, EntryVmId peer, HandOver);
    void send(EntryVmId peer, ControlKind, std::vector<std::byte> message);

private:
    FlowStatistics& statistics_;
    Actions& actions_;
};

}
