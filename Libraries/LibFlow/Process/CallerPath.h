#pragma once

#include <LibFlow/Request/DelegatedFlows.h>
#include <LibFlow/Request/FirstPacketHandler.h>

namespace Flow {

/// Decides packets on their way from a caller to a backend server.
class CallerPath {
public:
    CallerPath(DeciderState& state, const Placement& placement, const Admission& admission,
        FirstPacketHandler& firstPacketHandler)
        : state_(state)
        , placement_(placement)
        , admission_(admission)
        , firstPacketHandler_(firstPacketHandler)
    {
    }

    void handle(TimePoint now, const PacketEvent&, ActionWriter&);

private:
    void handleRecorded(TimePoint now, const PacketContext&, FlowRecord&, ActionWriter&);
    void handleQueued(TimePoint now, const PacketContext&, FlowRecord&, ActionWriter&);
    void handleRedirect(TimePoint now, const PacketContext&, FlowRecord&, ActionWriter&);
    void handleLocal(TimePoint now, const PacketContext&, FlowRecord&, ActionWriter&);
    void handleServerOut(TimePoint now, const PacketContext&, FlowRecord&, const ServerEntry*, ActionWriter&);
    void forwardLocal(TimePoint now, const PacketContext&, FlowRecord&, ActionWriter&);
    static bool startsRequest(const PacketContext&, const FlowRecord&);
    bool acquireSlotIfNeeded(TimePoint now, const PacketContext&, FlowRecord&, ActionWriter&);

    void handleUnrecorded(TimePoint now, const PacketContext&, ActionWriter&);
    void handleForNamedServer(TimePoint now, const PacketContext&, ActionWriter&);
    void handleQuery(TimePoint now, const PacketContext&, ActionWriter&);
    void handleAsOwner(TimePoint now, const PacketContext&, const Placement::FlowOwner&, ActionWriter&);
    bool queryCandidateHolder(TimePoint now, const PacketContext&, const Placement::FlowOwner&, ActionWriter&);
    void decideAsNewFlow(TimePoint now, const PacketContext&, ActionWriter&);
    void adopt(TimePoint now, const PacketContext&, BackendServerId, bool isUnconfirmed, ActionWriter&);
    bool queryFormerOwner(TimePoint now, const PacketContext&, BackendServerId, ActionWriter&);
    void handOver(
        const PacketContext&, EntryVmId peer, HandOverReason, BackendServerId, ActionWriter&, EntryVmId flowOwner = {});

    DeciderState& state_;
    const Placement& placement_;
    const Admission& admission_;
    FirstPacketHandler& firstPacketHandler_;
    DelegatedFlows delegatedFlows_;
};

}
