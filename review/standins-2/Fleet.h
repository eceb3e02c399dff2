#pragma once

/// Stand-ins of the platform, callers and backend servers for the cases of this review, and entry VMs as processes. All
/// addresses are loopback addresses.

#include <Common/EventLoop.h>
#include <LibBase/Random.h>
#include <LibFleet/FlowPacket.h>
#include <LibFleet/StoreServer.h>
#include <atomic>
#include <deque>
#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace Review {

/// What was sent, answered and run, with the time since the start in milliseconds.
class Record {
public:
    explicit Record(const std::string& file);

    void write(const std::string& line);
    double milliseconds() const;

private:
    std::ofstream file_;
    Base::TimePoint startedAt_;
};

/// An entryd process with a settings file like that of the deploy file's template, and the router's readiness checks.
class EntryVm {
public:
    struct Options {
        std::string name;
        std::string zone;
        std::string program;
        std::string folder;
        std::vector<std::string> zones;
        Base::Ipv4Address address;
        uint16_t dataPort { 0 };
        uint16_t firstInternalPort { 0 };
        Base::Ipv4Endpoint store;
        int graceSeconds { 6 };
    };

    explicit EntryVm(Options);
    ~EntryVm();
    EntryVm(const EntryVm&) = delete;
    EntryVm& operator=(const EntryVm&) = delete;

    void start();
    void signal(int number) const;
    /// Returns true once after the process has ended.
    bool reapIfExited(int& code);
    bool isRunning() const { return process_ > 0; }
    /// Two consecutive missed readiness checks take it out of rotation, one answer of 200 brings it back.
    bool isInRotation() const { return inRotation_.load(); }
    const Options& options() const { return options_; }

private:
    void writeSettings() const;
    void checkReadiness();

    Options options_;
    pid_t process_ { -1 };
    std::atomic<bool> inRotation_ { false };
    std::atomic<bool> stopping_ { false };
    std::thread checker_;
};

/// A backend server that is sound: two slots, a short queue, 503 beyond it, and a TCP port that accepts connections.
class Server {
public:
    struct Options {
        uint64_t number { 0 };
        std::string service;
        std::string zone;
        Base::Ipv4Address address;
        uint16_t callerPort { 0 };
        Base::milliseconds workTime { 20 };
        Base::milliseconds warmUpLeft { 0 };
    };

    Server(StandIn::EventLoop&, StandIn::RecordStore&, Record&, Options);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    /// Writes the entry into the store, as a server does when it has started.
    void enroll();
    std::string id() const;
    const Options& options() const { return options_; }
    /// Whether the server has the end of the handshake, and the caller has not ended the flow.
    bool holdsOpen(const Base::Ipv4Endpoint& caller) const;
    /// Requests whose work has begun, by id.
    const std::map<std::string, int>& runs() const { return runs_; }
    /// Flows whose handshake was completed here, and when their opening packets were taken, in milliseconds since the
    /// start.
    struct Opening {
        Base::Ipv4Endpoint caller;
        double takenAt { 0 };
    };
    const std::vector<Opening>& openings() const { return openings_; }

private:
    struct Flow {
        uint32_t callerSequence { 0 };
        uint32_t ownSequence { 0 };
        uint32_t echo { 0 };
        uint32_t requestEnd { 0 };
        /// Sequence numbers of the latest response, and after it.
        uint32_t responseSequence { 0 };
        uint32_t nextSequence { 0 };
        double takenAt { 0 };
        Base::Ipv4Endpoint route;
        bool isOpen { false };
        bool isEnded { false };
        bool isRunning { false };
        std::string response;
    };
    struct Job {
        Base::Ipv4Endpoint caller;
        std::string request;
    };

    void receive();
    void acceptConnections();
    void handlePacket(const StandIn::FlowPacket&);
    void handleFirstPacket(const StandIn::FlowPacket&);
    void handleRequest(Flow&, const StandIn::FlowPacket&);
    void begin(const Job&);
    void finish(const Job&);
    static void setResponse(Flow&, const std::string& response);
    void respond(const Base::Ipv4Endpoint& caller, Flow&);
    void send(const StandIn::FlowPacket&) const;

    StandIn::EventLoop& loop_;
    StandIn::RecordStore& records_;
    Record& record_;
    Options options_;
    int socket_ { -1 };
    int listener_ { -1 };
    Base::Ipv4Endpoint endpoint_;
    int64_t born_ { 0 };
    Base::Random random_;
    std::map<Base::Ipv4Endpoint, Flow> flows_;
    unsigned busySlots_ { 0 };
    std::deque<Job> queue_;
    std::map<std::string, int> runs_;
    std::vector<Opening> openings_;
};

/// A caller that opens a flow for each request, and the router in front of the entry VMs. Copies of a first packet
/// follow after 200 and 600 ms, and an attempt ends after 1.4 s.
class Caller {
public:
    struct Options {
        Base::Ipv4Address address;
        std::string zone;
        uint16_t port { 0 };
        Base::Ipv4Endpoint route;
        double requestsPerSecond { 10 };
        uint64_t seed { 1 };
        unsigned retries { 2 };
        /// Whether the requests may run once at most.
        bool isUnsafe { true };
        /// Requests on each flow, one after the other.
        unsigned requestsPerFlow { 1 };
        /// Whether the packet of the last request carries the FIN: the caller has nothing more to send.
        bool isHalfClosing { false };
    };
    /// A reset of the system's own that arrived while a live server held the flow open.
    struct ForeignReset {
        Base::Ipv4Endpoint caller;
        std::string request;
        std::string server;
    };

    Caller(StandIn::EventLoop&, Record&, const std::vector<std::unique_ptr<EntryVm>>&,
        const std::vector<std::unique_ptr<Server>>&, Options);
    ~Caller();
    Caller(const Caller&) = delete;
    Caller& operator=(const Caller&) = delete;

    void stopNewRequests() { isStopping_ = true; }
    /// Changes the rate of new requests.
    void setRate(double requestsPerSecond) { options_.requestsPerSecond = requestsPerSecond; }
    const std::vector<ForeignReset>& foreignResets() const { return foreignResets_; }
    unsigned served() const { return served_; }
    unsigned failed() const { return failed_; }
    /// When the first packet of each flow was sent, in milliseconds since the start.
    const std::map<Base::Ipv4Endpoint, double>& sendTimes() const { return sendTimes_; }
    /// When each request was first sent, and whether it was served.
    struct Outcome {
        double sentAt { 0 };
        bool isServed { false };
    };
    const std::map<std::string, Outcome>& outcomes() const { return outcomes_; }

private:
    struct Flow {
        StandIn::FlowPacket first;
        std::string request;
        unsigned attempt { 0 };
        Base::TimePoint startedAt;
        unsigned copies { 0 };
        bool isOpen { false };
        unsigned requestsLeft { 0 };
        uint32_t sequence { 0 };
        uint32_t acknowledged { 0 };
        uint32_t echo { 0 };
        Base::TimePoint retransmitAt;
        Base::milliseconds interval { 200 };
    };

    void scheduleNext();
    void startAttempt(const std::string& request, unsigned attempt);
    void tick();
    void receive();
    void handlePacket(const StandIn::FlowPacket&);
    void handleResponse(uint16_t port, Flow&, const StandIn::FlowPacket&);
    void handleReset(uint16_t port, Flow&, const StandIn::FlowPacket&);
    void sendRequest(Flow&);
    std::string requestText(const Flow&) const;
    void endAttempt(uint16_t port, const std::string& reason, bool mayRetry);
    void send(const StandIn::FlowPacket&);
    const EntryVm* route(const StandIn::FlowPacket&) const;

    StandIn::EventLoop& loop_;
    Record& record_;
    const std::vector<std::unique_ptr<EntryVm>>& entryVms_;
    const std::vector<std::unique_ptr<Server>>& servers_;
    Options options_;
    int socket_ { -1 };
    Base::Random random_;
    std::map<uint16_t, Flow> flows_;
    uint16_t lastPort_ { 10'000 };
    bool isStopping_ { false };
    unsigned started_ { 0 };
    unsigned served_ { 0 };
    unsigned failed_ { 0 };
    std::vector<ForeignReset> foreignResets_;
    std::map<Base::Ipv4Endpoint, double> sendTimes_;
    std::map<std::string, Outcome> outcomes_;
};

/// A UDP port that is free on all of these addresses.
uint16_t findFreePort(const std::vector<Base::Ipv4Address>&);
/// 127.NETWORK.subnet.(index + 1), with a network of this process.
Base::Ipv4Address loopback(unsigned subnet, std::size_t index);
void sendDatagram(int socket, const Base::Ipv4Endpoint&, const std::vector<uint8_t>&);

}
