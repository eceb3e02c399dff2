#pragma once

#include <LibBase/Ipv4Endpoint.h>
#include <LibBase/Time.h>
#include <LibPeer/Frame.h>

namespace Peer {

/// Asks a balancer questions over one connection and waits for each answer. For local programs; not thread-safe.
class QueryClient {
public:
    struct Options {
        /// The balancer's control endpoint.
        Base::Ipv4Endpoint endpoint;
        /// As in the balancer's settings.
        std::vector<std::string> keys;
        /// For connecting and for each answer.
        Base::milliseconds timeout { 1000 };
        std::size_t maximumFrameBytes { defaultMaximumFrameBytes };
        /// Whether bytes that arrive begin the time for an answer anew, for large answers over narrow links.
        bool waitsWhileReceiving { false };
    };

    /// InvalidArgument for keys that may not be used. Connects on the first question.
    static Base::ErrorOr<QueryClient> create(Options);

    QueryClient(QueryClient&&) noexcept;
    QueryClient& operator=(QueryClient&&) noexcept;
    ~QueryClient();

    /// The payload of the answer. Unavailable when nobody listens, TimedOut, Unauthenticated, Malformed; the connection
    /// is made anew with the next question then.
    Base::ErrorOr<std::vector<std::byte>> ask(Channel, std::vector<std::byte> payload);

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
    uint64_t nextQuestion_ { 0 };
};

}
