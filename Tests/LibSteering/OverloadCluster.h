#pragma once

#include <LibBase/Random.h>
#include <LibSteering/SteeringDecider.h>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

/// Deciders of several entry VMs in front of simple servers with slots and a short queue, and callers who retransmit,
/// give up and try again. Virtual time in steps of a millisecond.
class OverloadCluster {
public:
    using milliseconds = Base::milliseconds;

    struct Class {
        uint32_t priority { 0 };
        double requestsPerSecond { 0 };
        milliseconds objective { 400 };
        uint64_t offered { 0 };
        uint64_t inTime { 0 };
        uint64_t tries { 0 };
        uint64_t rejected { 0 };
    };
    struct Options {
        std::size_t entryVms { 8 };
        std::size_t servers { 24 };
        /// False: the routes name no latency objective, so that nothing is rejected for want of room.
        bool hasObjectives { true };
        std::vector<Class> classes;
        uint64_t seed { 1 };
    };

    explicit OverloadCluster(const Options&);

    void run(milliseconds);
    /// The servers from this one on become silent, and those before work.
    void setWorkingServers(std::size_t count) { workingServers_ = count; }
    void setRate(double factor) { rateFactor_ = factor; }
    /// The entry VM no longer runs; the fabric sends its callers to the others.
    void killEntryVm(std::size_t index) { entryVms_[index].isRunning = false; }
    void setReportsLost(bool areLost) { areReportsLost_ = areLost; }
    void unlistPeer(std::size_t at, std::size_t peer);
    /// Starts counting anew: requests that arrive from now on.
    void resetCounts();

    const Class& traffic(std::size_t index) const { return classes_[index]; }
    uint64_t answeredInTime() const;
    uint64_t offered() const;
    uint64_t tries() const;
    /// First packets rejected for want of room, and those rejected while a slot had been free for longer than reports
    /// are old.
    uint64_t rejections() const { return rejections_; }
    uint64_t rejectionsBesideFreeSlot() const { return rejectionsBesideFreeSlot_; }
    uint64_t rejectedByServers() const { return rejectedByServers_; }
    std::size_t shortEntryVms() const;
    /// Hash of all decisions about first packets so far.
    uint64_t trace() const { return trace_; }
    Steering::SteeringDecider& decider(std::size_t index) { return *entryVms_[index].decider; }

    static constexpr uint32_t slots = 2;
    /// Handling takes 10 to 30 ms.
    static constexpr double meanHandlingSeconds = 0.02;

private:
    struct EntryVm {
        std::unique_ptr<Steering::SteeringDecider> decider;
        bool isRunning { true };
        uint64_t sequence { 0 };
    };
    struct Server {
        uint32_t busy { 0 };
        std::deque<uint32_t> waiting;
        Base::TimePoint freeSince {};
    };
    /// One attempt of a request, with a caller port of its own.
    struct Attempt {
        std::size_t request { 0 };
        bool hasOpened { false };
        bool isOver { false };
        Steering::BackendServerNumber server;
        /// Of the last packet that the caller received.
        Steering::FlowToken token;
    };
    struct Request {
        std::size_t trafficClass { 0 };
        Base::TimePoint arrivedAt {};
        int attempts { 0 };
        bool isCounted { true };
    };

    void at(milliseconds delay, std::function<void()> action) { events_.emplace(now_ + delay, std::move(action)); }
    void step();
    void arrive();
    void startAttempt(std::size_t request);
    void sendFirst(uint32_t attempt);
    void offer(uint32_t attempt, Steering::BackendServerNumber);
    void sendLater(uint32_t attempt, uint32_t acknowledged, uint32_t dataBytes, bool ends);
    void arriveAtServer(uint32_t attempt);
    void beginHandling(uint32_t attempt, Server&);
    void finishHandling(uint32_t attempt);
    void endAttempt(uint32_t attempt, bool isAnswered);
    void handleReset(uint32_t attempt);
    void runTimers(EntryVm&);
    void exchangeReports();
    EntryVm& entryVmOf(uint32_t attempt);
    Packet::FlowKey flowOf(uint32_t attempt) const;
    static Base::EntryVmId idOf(std::size_t index);

    std::vector<Class> classes_;
    Base::Random random_;
    Base::TimePoint now_ { Base::seconds(1) };
    std::vector<EntryVm> entryVms_;
    std::vector<Server> servers_;
    std::vector<Attempt> attempts_;
    std::vector<Request> requests_;
    std::multimap<Base::TimePoint, std::function<void()>> events_;
    std::size_t workingServers_;
    double rateFactor_ { 1 };
    bool areReportsLost_ { false };
    uint64_t trace_ { 0 };
    uint64_t rejections_ { 0 };
    uint64_t rejectionsBesideFreeSlot_ { 0 };
    uint64_t rejectedByServers_ { 0 };
};
