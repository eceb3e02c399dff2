#pragma once

#include <LibSteering/Connection/FlowTable.h>
#include <LibSteering/Events.h>
#include <LibSteering/Process/ResponseQuality.h>

namespace Steering {

/// Tracks the flows whose first packet this node saw and counts their requests in flight at each server: a request is
/// in flight from the first packet, or from a further request on the flow, until its response begins.
class FlowProgress {
public:
    FlowProgress(ServerTable& servers, ResponseQuality& quality)
        : servers_(servers)
        , responseQuality_(quality)
    {
    }

    /// Counts a connection attempt of the flow at a server.
    static void recordAttempt(FlowRecord&, Server&);
    /// The caller has completed the handshake with a server; its attempts at other servers no longer count.
    void recordOpened(FlowRecord&, Server&, const PacketView&);
    /// What a caller's packet of an open or ended flow shows.
    struct Progress {
        bool startsRequest { false };
        bool hasRequestData { false };
        /// The packet is the first that acknowledges a part of the response to the latest request.
        bool startsResponse { false };
        /// Set if the packet ends a response that starts a back-off period of the server.
        std::optional<ResponseQuality::ShortResponse> shortResponse;
    };

    /// Updates the record from a caller's packet of an open or ended flow.
    Progress processPacket(Base::TimePoint now, FlowRecord&, const PacketView&);
    /// Stops counting the flow as a request in flight.
    void stopCounting(FlowRecord&);

private:
    ServerTable& servers_;
    ResponseQuality& responseQuality_;
};

}
