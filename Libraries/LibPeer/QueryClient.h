#pragma once

#include <LibBase/Ipv4Endpoint.h>
#include <LibBase/Time.h>
#include <LibPeer/Frame.h>

namespace Peer {

/// Blocking client of local programs for the Query and Probe channels of a balancer. Uses one connection; not
/// thread-safe.
class QueryClient {
public:
    struct Options {
        /// The balancer's control endpoint.
        Base::Ipv4Endpoint endpoint;
        /// The control.keys of the balancer.
        std::vector<std::string> keys;
        /// Limit of each step: connecting, sending the request, and receiving the response.
        Base::milliseconds timeout { 1000 };
        std::size_t maximumFrameBytes { defaultMaximumFrameBytes };
        /// Whether received bytes restart the timeout; for large responses over slow links.
        bool restartTimeoutOnData { false };
    };

    /// Returns ErrorCode::InvalidArgument for invalid keys. Connects with the first request.
    static Base::ErrorOr<QueryClient> create(Options);

    QueryClient(QueryClient&&) noexcept;
    QueryClient& operator=(QueryClient&&) noexcept;
    ~QueryClient();

    /// Sends a request and returns the payload of the response. Returns ErrorCode::Unavailable if connecting fails or
    /// the connection is closed, TimedOut, Unauthenticated, TooLarge or Malformed; the next request reconnects then.
    Base::ErrorOr<std::vector<std::byte>> sendRequest(Channel, std::vector<std::byte> payload);

private:
    QueryClient(Options, Authenticator);

    Base::ErrorOr<void> connect();
    Base::ErrorOr<void> sendAll(std::span<const std::byte>);
    Base::ErrorOr<Envelope> receive(FrameReader&, Base::TimePoint deadline);
    Base::ErrorOr<std::vector<std::byte>> exchange(Channel, std::vector<std::byte> payload);
    void close();

    Options options_;
    Authenticator authenticator_;
    int socket_ { -1 };
    uint64_t lastRequest_ { 0 };
};

}
