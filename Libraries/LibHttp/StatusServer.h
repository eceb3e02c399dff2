#pragma once

/// A small HTTP/1.1 server for GET requests that are answered without waiting, such as readiness and metrics.
/// Single-threaded.

#include <LibBase/Error.h>
#include <LibBase/Ipv4Endpoint.h>
#include <LibBase/Time.h>
#include <LibHttp/Message.h>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Http {

class StatusServer {
public:
    struct Options {
        std::vector<Base::Ipv4Endpoint> listen;
        /// Returns the response to a GET request for this path.
        std::function<Response(std::string_view path)> onGet;
    };

    /// Returns ErrorCode::Unavailable if an endpoint cannot be bound.
    static Base::ErrorOr<std::unique_ptr<StatusServer>> create(Options);
    ~StatusServer();
    StatusServer(const StatusServer&) = delete;
    StatusServer& operator=(const StatusServer&) = delete;

    /// Waits at most the given time for connections to become readable and serves those.
    void poll(Base::milliseconds atMost);

private:
    explicit StatusServer(Options);

    void accept(int listener);
    /// Returns false if the connection is to be closed.
    bool serve(int socket, std::string& received);

    Options options_;
    std::vector<int> listeners_;
    /// Received bytes that are not parsed yet, by socket.
    std::unordered_map<int, std::string> connections_;
};

}
