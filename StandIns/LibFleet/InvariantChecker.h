#pragma once

#include <LibBase/Ipv4Endpoint.h>
#include <LibBase/Time.h>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace StandIn {

/// Checks the required invariants against what callers, backend servers and the operator observe.
class InvariantChecker {
public:
    /// Required time limits.
    struct Bounds {
        Base::milliseconds drainTimeout { 3000 };
        Base::milliseconds configurationTimeout { 3000 };
        Base::milliseconds evacuationTimeout { 5000 };
        /// Invariants with a time limit apply to entry VMs that have been undisturbed for this long.
        Base::milliseconds settlingTime { 4000 };
    };

    /// State of a backend server as known to the operator and the store.
    struct Server {
        std::string id;
        std::string service;
        std::string zone;
        bool isAlive { true };
        /// When the store accepted its leaving state; max() while it stays.
        Base::TimePoint leavingSince { Base::TimePoint::max() };
        Base::TimePoint disturbedAt {};
    };

    explicit InvariantChecker(Bounds bounds)
        : bounds_(bounds)
    {
    }

    /// Record that an entry VM (by its data address) or the whole deployment is disturbed now; call repeatedly for the
    /// duration of a disturbance.
    void markEntryVmDisturbed(Base::TimePoint now, Base::Ipv4Address);
    void markAllDisturbed(Base::TimePoint now);
    bool isSettled(Base::TimePoint now, Base::Ipv4Address entryVm) const;
    bool areAllSettled(Base::TimePoint now) const;

    void recordRouteAdded(const Base::Ipv4Endpoint& endpoint, const std::string& service);
    void recordRouteRemoved(Base::TimePoint now, const Base::Ipv4Endpoint& endpoint);
    void recordEvacuation(Base::TimePoint now, const std::string& zone);
    void recordEvacuationEnd(const std::string& zone);

    /// A backend server accepted the first packet of a flow.
    void recordFirstPacket(Base::TimePoint now, const Base::Ipv4Endpoint& caller, const Base::Ipv4Endpoint& route,
        const Server&, Base::Ipv4Address entryVm);
    /// The server completed the handshake.
    void recordFlowOpened(const Base::Ipv4Endpoint& caller, const Server&);
    void recordFlowClosed(const Base::Ipv4Endpoint& caller);
    /// A later packet of a flow reached a server. isOpenHere: the flow is open at that server.
    void recordLaterPacket(Base::TimePoint now, const Base::Ipv4Endpoint& caller, const Server&, bool isOpenHere);
    /// A caller received a reset that a balancer generated.
    void recordReset(Base::TimePoint now, const Base::Ipv4Endpoint& caller);
    /// A packet with an invalid checksum arrived.
    void recordCorruptPacket(Base::TimePoint now, const std::string& where);

    /// A server accepted a request for execution.
    void recordExecution(Base::TimePoint now, const std::string& request, bool isIdempotent, const Server&);
    void recordServed(Base::TimePoint now) { ++servedInSecond_[secondOf(now)]; }
    /// A request failed and is not attempted again. age: time since its first attempt.
    void recordFailure(Base::TimePoint now, const std::string& request, Base::milliseconds age);

    /// The first 20 violations, oldest first.
    const std::vector<std::string>& violations() const { return violations_; }
    uint64_t servedCount() const;
    uint64_t failedCount() const { return failures_.size(); }
    /// IDs of the requests that failed.
    const std::vector<std::string>& failures() const { return failures_; }
    /// The caller that received the latest balancer-generated reset; port 0 if none.
    const Base::Ipv4Endpoint& lastReset() const { return lastReset_; }

private:
    struct Flow {
        const Server* server { nullptr };
        int misroutedPackets { 0 };
    };

    void recordViolation(Base::TimePoint now, const std::string& what);
    static int64_t secondOf(Base::TimePoint);

    Bounds bounds_;
    std::map<Base::Ipv4Address, Base::TimePoint> disturbedAt_;
    Base::TimePoint allDisturbedAt_ {};
    Base::TimePoint lastDisturbanceAt_ {};
    std::map<Base::Ipv4Endpoint, std::set<std::string>> allowedServices_;
    std::map<Base::Ipv4Endpoint, Base::TimePoint> routeRemovedAt_;
    std::map<std::string, Base::TimePoint> evacuatedAt_;
    std::unordered_map<Base::Ipv4Endpoint, Flow> flows_;
    std::unordered_map<std::string, int> executions_;
    std::map<int64_t, uint64_t> servedInSecond_;
    std::vector<std::string> failures_;
    Base::Ipv4Endpoint lastReset_;
    std::vector<std::string> violations_;
};

}
