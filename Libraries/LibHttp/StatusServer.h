#pragma once

/// A small HTTP/1.1 server for questions that are answered by a status code alone, such as readiness. One thread.

#include <LibBase/Error.h>
#include <LibBase/Ipv4Endpoint.h>
#include <LibBase/Time.h>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Http {

class StatusServer {
public:
    struct Options {
        Base::Ipv4Endpoint listen;
        /// The status for a GET of this path.
        std::function<uint32_t(std::string_view path)> onGet;
    };

    /// Unavailable when the endpoint cannot be bound.
    static Base::ErrorOr<std::unique_ptr<StatusServer>> create(Options);
    ~StatusServer();
    StatusServer(const StatusServer&) = delete;
    StatusServer& operator=(const StatusServer&) = delete;

    /// Serves all connections, and waits for one to become ready for at most the given time.
    void poll(Base::milliseconds atMost);
    /// The endpoint listened on, with the port the kernel chose.
    Base::Ipv4Endpoint endpoint() const;

private:
    StatusServer(Options, int listener);

    void accept();
    /// False when the connection has ended.
    bool serve(int socket, std::string& received);

    Options options_;
    int listener_;
    /// Bytes received and not yet parsed, by socket.
    std::unordered_map<int, std::string> connections_;
};

}
