#pragma once

#include <Common/EventLoop.h>
#include <LibBase/Ipv4Endpoint.h>
#include <LibBase/Random.h>
#include <LibFleet/RecordStore.h>
#include <nlohmann/json.hpp>
#include <optional>

namespace StandIn {

/// Faults that the store applies to the calls of one entry VM.
struct StoreFault {
    /// Responds 503 without executing the call.
    bool isUnavailable { false };
    /// Neither executes the call nor responds.
    bool isUnresponsive { false };
    /// Resets each connection.
    bool resetsConnections { false };
    /// Executes writes and lease grants, but does not respond to them.
    bool dropsWriteResponses { false };
    /// Stated in place of the era; if empty, no era is stated.
    std::optional<std::string> statedEra {};
    /// Delay of each response.
    Base::milliseconds delay { 0 };
};

/// HTTP front of the store for one entry VM; one front each allows faults per entry VM. All fronts share the records.
class StoreServer {
public:
    /// Listens on a port chosen by the kernel.
    StoreServer(EventLoop&, RecordStore&, Base::Ipv4Address);
    ~StoreServer();
    StoreServer(const StoreServer&) = delete;
    StoreServer& operator=(const StoreServer&) = delete;

    Base::Ipv4Endpoint endpoint() const { return endpoint_; }
    void setFault(const StoreFault&);
    /// Responds to watches that have changes or whose deadline has passed; call after each change of the records and
    /// every 20 ms.
    void completeWatches();
    uint64_t callCount() const { return callCount_; }

private:
    struct Watch {
        std::string prefix;
        uint64_t after { 0 };
        Base::TimePoint deadline;
    };

    struct Connection {
        std::string received;
        std::optional<Watch> watch;
    };

    void accept();
    void receive(int socket);
    /// Handles the next complete request in the receive buffer; returns false if there is none.
    bool handleNext(int socket, Connection&);
    void handle(int socket, Connection&, const std::string& method, const std::string& target, const std::string& body);
    void handleWrite(int socket, const nlohmann::json& body);
    nlohmann::json itemJson(const RecordStore::Item&) const;
    void respond(int socket, unsigned status, const nlohmann::json& body);
    void close(int socket);

    EventLoop& loop_;
    RecordStore& records_;
    int listener_;
    Base::Ipv4Endpoint endpoint_;
    StoreFault fault_;
    std::map<int, Connection> connections_;
    uint64_t callCount_ { 0 };
};

}
