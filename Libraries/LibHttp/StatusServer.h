#pragma once

/// A small HTTP/1.1 server for questions whose answer is at hand, such as readiness and metrics. One thread.

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
        /// The answer to a GET of this path.
        std::function<Response(std::string_view path)> onGet;
    };

    /// Unavailable when an endpoint cannot be bound.
    static Base::ErrorOr<std::unique_ptr<StatusServer>> create(Options);
    ~StatusServer();
    StatusServer(const StatusServer&) = delete;
    StatusServer& operator=(const StatusServer&) = delete;

    /// Serves all connections, and waits for one to become ready for at most the given time.
    void poll(Base::milliseconds atMost);

private:
    explicit StatusServer(Options);

    void accept(int listener);
    /// False when the connection has ended.
    bool serve(int socket, std::string& received);

    Options options_;
    std::vector<int> listeners_;
    /// Bytes received and not yet parsed, by socket.
    std::unordered_map<int, std::string> connections_;
};

}
