#pragma once

#include <LibBase/Ipv4Endpoint.h>
#include <LibBase/Time.h>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace StandIn {

/// The promises of the users' pages, checked by what callers, backend servers and the operator see.
class Ledger {
public:
    /// Bounds of the users' pages.
    struct Bounds {
        Base::milliseconds drain { 3000 };
        Base::milliseconds configuration { 3000 };
        Base::milliseconds evacuation { 5000 };
        /// Promises with a time bound hold for entry VMs that have been undisturbed for this long.
        Base::milliseconds contact { 4000 };
    };

    /// What one backend server is, as the operator and the store know it.
    struct Server {
        std::string id;
        std::string service;
        std::string zone;
        bool isAlive { true };
        /// When the store accepted that it is leaving.
        Base::TimePoint leavingSince { Base::TimePoint::max() };
        Base::TimePoint disturbedAt {};
    };

    explicit Ledger(Bounds bounds)
        : bounds_(bounds)
    {
    }

    /// An entry VM (by its data address) or the store was disturbed just now, or still is.
    void disturbEntryVm(Base::TimePoint now, Base::Ipv4Address);
    void disturbEverything(Base::TimePoint now);
    bool isCalm(Base::TimePoint now, Base::Ipv4Address entryVm) const;
    bool isAllCalm(Base::TimePoint now) const;

    void routeAdded(const Base::Ipv4Endpoint& endpoint, const std::string& service);
    void routeRemoved(Base::TimePoint now, const Base::Ipv4Endpoint& endpoint);
    void evacuated(Base::TimePoint now, const std::string& zone);
    void takenBack(const std::string& zone);

    /// A backend server took the first packet of a flow.
    void openingTaken(Base::TimePoint now, const Base::Ipv4Endpoint& caller, const Base::Ipv4Endpoint& route,
        const Server&, Base::Ipv4Address entryVm);
    /// The handshake ended at the server.
    void opened(const Base::Ipv4Endpoint& caller, const Server&);
    void closed(const Base::Ipv4Endpoint& caller);
    /// A later packet of a flow reached a server; isOwn: the flow is open there.
    void packetTaken(Base::TimePoint now, const Base::Ipv4Endpoint& caller, const Server&, bool isOwn);
    /// A caller got a reset that no server wrote.
    void resetSeen(Base::TimePoint now, const Base::Ipv4Endpoint& caller);
    /// A packet arrived that its sender did not write so.
    void forgedPacket(Base::TimePoint now, const std::string& where);

    /// A server began to work on a request.
    void ran(Base::TimePoint now, const std::string& request, bool isIdempotent, const Server&);
    void served(Base::TimePoint now) { ++servedInSecond_[secondOf(now)]; }
    /// No try of a request was answered. age: since its first try.
    void failed(Base::TimePoint now, const std::string& request, Base::milliseconds age);

    /// What was broken, first things first.
    const std::vector<std::string>& violations() const { return violations_; }
    uint64_t servedCount() const;
    uint64_t failedCount() const { return failures_.size(); }
    /// Ids of the requests that failed.
    const std::vector<std::string>& failures() const { return failures_; }
    /// The caller that got the latest reset; port 0: none did.
    const Base::Ipv4Endpoint& lastReset() const { return lastReset_; }

private:
    struct Flow {
        const Server* server { nullptr };
        int packetsElsewhere { 0 };
    };

    void violate(Base::TimePoint now, const std::string& what);
    static int64_t secondOf(Base::TimePoint);

    Bounds bounds_;
    std::map<Base::Ipv4Address, Base::TimePoint> disturbed_;
    Base::TimePoint allDisturbed_ {};
    Base::TimePoint lastDisturbance_ {};
    std::map<Base::Ipv4Endpoint, std::set<std::string>> allowed_;
    std::map<Base::Ipv4Endpoint, Base::TimePoint> removedRoutes_;
    std::map<std::string, Base::TimePoint> evacuations_;
    std::unordered_map<Base::Ipv4Endpoint, Flow> flows_;
    std::unordered_map<std::string, int> runs_;
    std::map<int64_t, uint64_t> servedInSecond_;
    std::vector<std::string> failures_;
    Base::Ipv4Endpoint lastReset_;
    std::vector<std::string> violations_;
};

}
