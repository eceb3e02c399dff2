#pragma once

#include <LibFlow/Request/FirstPacketHandler.h>

namespace Flow {

/// Decides packets on their way from a backend server to a caller.
class ReturnPath {
public:
    ReturnPath(DeciderState& state, const Placement& placement, FirstPacketHandler& firstPacketHandler)
        : state_(state)
        , placement_(placement)
        , firstPacketHandler_(firstPacketHandler)
    {
    }

    void handle(TimePoint now, const PacketEvent&, ActionWriter&);

private:
    void handleLocal(TimePoint now, const PacketContext&, FlowRecord&, ActionWriter&);
    void handleUnrecorded(TimePoint now, const PacketContext&, ActionWriter&);
    void handleGuessRejected(TimePoint now, const PacketContext&, FlowRecord&, ActionWriter&);
    void handleGuessRejectedAtOwner(TimePoint now, const PacketContext&, FlowRecord*, ActionWriter&);
    void tryNextCandidate(TimePoint now, const PacketContext&, FlowRecord&, ActionWriter&);
    bool handleFirstPacketRefusal(TimePoint now, const PacketContext&, FlowRecord&, ActionWriter&);
    void updateRecord(TimePoint now, const PacketContext&, FlowRecord&);
    void closeIfFinished(TimePoint now, const PacketContext&, FlowRecord&);
    void adopt(TimePoint now, const PacketContext&, ActionWriter&);

    DeciderState& state_;
    const Placement& placement_;
    FirstPacketHandler& firstPacketHandler_;
};

}
