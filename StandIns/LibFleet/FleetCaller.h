#pragma once

#include <Common/EventLoop.h>
#include <LibBase/Random.h>
#include <LibFleet/EntryProcess.h>
#include <LibFleet/FlowPacket.h>
#include <LibFleet/Ledger.h>
#include <LibFleet/Network.h>
#include <memory>
#include <optional>

namespace StandIn {

/// A caller of one failure domain, with the fabric's choice of entry VM for its packets. Has several requests in
/// progress; some of its flows stay open for further requests.
class FleetCaller {
public:
    struct Options {
        Base::Ipv4Address address;
        std::string zone;
        uint64_t seed { 1 };
        /// Routes of idempotent and of other requests.
        std::vector<Base::Ipv4Endpoint> views;
        std::vector<Base::Ipv4Endpoint> claims;
        double requestsPerSecond { 20 };
        /// How many of the flows are kept for several requests.
        double keptFlows { 0.2 };
    };

    FleetCaller(EventLoop&, Ledger&, const Network&, const std::vector<std::unique_ptr<EntryProcess>>&, Options);
    ~FleetCaller();
    FleetCaller(const FleetCaller&) = delete;
    FleetCaller& operator=(const FleetCaller&) = delete;

    /// Starts no further requests.
    void finish() { finishing_ = true; }
    bool isIdle() const { return requests_.empty(); }

private:
    struct Request {
        std::string id;
        bool isIdempotent { true };
        Base::Ipv4Endpoint route;
        int tries { 0 };
        Base::TimePoint begun;
        Base::TimePoint deadline;
        /// Further requests on the same flow.
        int following { 0 };
    };

    struct Flow {
        uint64_t request { 0 };
        FlowPacket first;
        int copies { 0 };
        bool isOpen { false };
        /// A request was sent and not answered.
        bool isWaiting { false };
        uint32_t nextSequence { 0 };
        uint32_t serverNext { 0 };
        uint32_t echo { 0 };
        std::string sent;
        Base::milliseconds resendAfter { 200 };
        Base::TimePoint resendAt;
    };

    void scheduleNext();
    void beginRequest();
    void beginTry(uint64_t request);
    void receive();
    void take(const FlowPacket&, Flow&);
    void sendRequest(Flow&);
    void tick();
    void answered(uint16_t port, Flow&, bool isRefused);
    /// The try has ended without an answer; mayRetry: nothing ran.
    void tryFailed(uint16_t port, bool nothingRan);
    void endFlow(uint16_t port, Flow&);
    void send(const FlowPacket&);
    const EntryProcess* chooseEntryVm(const FlowPacket&) const;

    EventLoop& loop_;
    Ledger& ledger_;
    const Network& network_;
    const std::vector<std::unique_ptr<EntryProcess>>& entryVms_;
    Options options_;
    int socket_;
    Base::Random random_;
    std::map<uint64_t, Request> requests_;
    std::map<uint16_t, Flow> flows_;
    uint64_t nextRequest_ { 1 };
    uint16_t nextPort_ { 1024 };
    bool finishing_ { false };
};

}
