#pragma once

#include <LibSteering/Connection/FlowTable.h>
#include <LibSteering/Events.h>
#include <LibSteering/Process/ServerTable.h>
#include <queue>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Steering {

/// Finds open flows whose backend server can no longer be reached, so that their callers are reset and may try again
/// before their deadline.
///
/// Silence alone does not show that a server is gone: it may be slow, or busy with requests that other nodes sent. A
/// request without a response for several usual response times, at a server that responded to no other flow either,
/// only causes a probe. If the server's host does not answer the probe, the flow is reset, and so are further requests
/// to the server until it responds or the result is too old. One probe of a server at a time is made.
class StalledFlows {
public:
    StalledFlows(FlowTable& flows, ServerTable& servers)
        : flows_(flows)
        , servers_(servers)
    {
    }

    /// The caller has sent a request on an open flow. stallTime: the node's total stall time.
    void recordRequest(Base::TimePoint now, Base::nanoseconds stallTime, const Packet::FlowKey&, FlowRecord&);
    /// The caller has acknowledged the first part of the response to the flow's latest request.
    void recordResponse(Base::TimePoint now, Base::nanoseconds stallTime, const FlowRecord&);
    /// While the store cannot tell that a server has started again, a single first packet without a response causes a
    /// probe, and probes are made more often.
    void setStoreReachable(bool isReachable) { isStoreReachable_ = isReachable; }
    /// A first packet got no response from the server.
    void recordAttemptTimeout(Base::TimePoint now, Server&);
    /// Requests probes of the servers of flows that have waited too long.
    void runDueChecks(Base::TimePoint now, Base::nanoseconds stallTime);
    Base::TimePoint nextCheck() const;
    void handleProbe(Base::TimePoint now, const ServerProbed&);
    /// Whether a request of an open flow to the server must be answered with a reset.
    bool isGone(Base::TimePoint now, const Server&) const;
    /// A request to an unreachable server was answered with a reset: the server is probed again from time to time.
    void recordReset(Base::TimePoint now, ServerIndex);

    /// Requests a probe unless one is pending or was made recently.
    void probe(Base::TimePoint now, Server&);
    std::vector<ProbeRequest> takeProbes() { return std::exchange(probes_, {}); }
    std::vector<FlowReset> takeResets() { return std::exchange(resets_, {}); }

private:
    struct Check {
        Packet::FlowKey flow;
        Base::TimePoint requestSeenAt;
        Base::TimePoint dueAt;

        bool operator>(const Check& other) const { return dueAt > other.dueAt; }
    };

    Base::microseconds stallThreshold() const;
    Base::milliseconds probeInterval() const;

    FlowTable& flows_;
    ServerTable& servers_;
    std::priority_queue<Check, std::vector<Check>, std::greater<>> checks_;
    /// Flows that wait for the result of a probe of their server.
    std::unordered_map<BackendServerNumber, std::vector<Packet::FlowKey>> stalled_;
    /// Smoothed time from a request to the first acknowledgement of its response.
    Base::microseconds responseTime_ { 25'000 };
    bool isStoreReachable_ { true };
    std::vector<ProbeRequest> probes_;
    std::vector<FlowReset> resets_;
};

}
