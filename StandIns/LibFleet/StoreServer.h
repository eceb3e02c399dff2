#pragma once

#include <Common/EventLoop.h>
#include <LibBase/Ipv4Endpoint.h>
#include <LibBase/Random.h>
#include <LibFleet/RecordStore.h>
#include <nlohmann/json.hpp>

namespace StandIn {

/// What the store does to the calls of one caller.
struct StoreFault {
    /// Answer 503 and do nothing.
    bool refuses { false };
    /// Do nothing and never answer.
    bool isSilent { false };
    /// Reset each connection.
    bool resets { false };
    /// Carry writes out, but never answer them.
    bool losesAnswers { false };
    /// Time before each answer.
    Base::milliseconds delay { 0 };
};

/// The store's HTTP front for one entry VM, so that each can be treated differently. Several fronts share the records.
class StoreServer {
public:
    /// Listens on a port that the kernel chooses.
    StoreServer(EventLoop&, RecordStore&, Base::Ipv4Address);
    ~StoreServer();
    StoreServer(const StoreServer&) = delete;
    StoreServer& operator=(const StoreServer&) = delete;

    Base::Ipv4Endpoint endpoint() const { return endpoint_; }
    void setFault(const StoreFault&);
    /// Call after each change of the records, and now and then.
    void answerWatches();
    uint64_t calls() const { return calls_; }

private:
    struct Watch {
        std::string prefix;
        uint64_t after { 0 };
        Base::TimePoint deadline;
    };

    struct Caller {
        std::string received;
        std::optional<Watch> watch;
    };

    void accept();
    void receive(int socket);
    /// Whether a whole request was taken from what was received.
    bool handleNext(int socket, Caller&);
    void handle(int socket, Caller&, const std::string& method, const std::string& target, const std::string& body);
    void handleWrite(int socket, const nlohmann::json& body);
    nlohmann::json itemJson(const RecordStore::Item&) const;
    void answer(int socket, unsigned status, const nlohmann::json& body);
    void close(int socket);

    EventLoop& loop_;
    RecordStore& records_;
    int listener_;
    Base::Ipv4Endpoint endpoint_;
    StoreFault fault_;
    std::map<int, Caller> callers_;
    uint64_t calls_ { 0 };
};

}
