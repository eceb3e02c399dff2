#pragma once

/// The control connections of a process: exchanges messages with other entry VMs and responds to requests of local
/// programs. Not thread-safe; its thread calls poll() in a loop.

#include <LibBase/Random.h>
#include <LibPeer/Connection.h>
#include <LibPeer/ReplayGuard.h>
#include <functional>
#include <memory>
#include <unordered_map>

namespace Peer {

/// Totals since the process started.
struct TransportStatistics {
    uint64_t framesSent { 0 };
    uint64_t framesReceived { 0 };
    uint64_t bytesSent { 0 };
    uint64_t bytesReceived { 0 };
    /// Outgoing frames and responses dropped because the send queue was full or no connection could be opened yet.
    uint64_t queueFull { 0 };
    /// Frames signed with an unknown key.
    uint64_t unauthenticatedFrames { 0 };
    /// Frames rejected as replays: not newer than an earlier frame of the same sender.
    uint64_t replays { 0 };
    uint64_t malformed { 0 };
    uint64_t tooLarge { 0 };
    uint64_t connectFailures { 0 };
    /// Inbound connections closed because maximumInboundConnections was reached.
    uint64_t connectionsRefused { 0 };
    /// Outgoing connections that failed with frames still queued; these frames are lost.
    uint64_t connectionsLost { 0 };
};

class PeerTransport {
public:
    struct Options {
        /// This entry VM; if invalid, it is derived from the listening endpoint.
        Base::EntryVmId self;
        /// Increases with each start of the process.
        uint64_t incarnation { 1 };
        Base::Ipv4Endpoint listen;
        std::vector<std::string> keys;
        Connection::Bounds bounds;
        std::size_t maximumInboundConnections { 4096 };
        Base::milliseconds minimumBackoff { 50 };
        Base::milliseconds maximumBackoff { 2000 };
        /// Outgoing connections are closed after this time without use, inbound ones after twice this time.
        Base::milliseconds idleTimeout { 60'000 };
        uint64_t seed { 1 };
        /// Called for each authenticated message on the Control or Flow channel that is not a replay.
        std::function<void(Envelope&&)> onMessage;
        /// Called for each request on the Query or Probe channel; returns the payload of the response.
        std::function<std::vector<std::byte>(Channel, std::span<const std::byte>)> onRequest;
    };

    /// Returns ErrorCode::InvalidArgument for invalid keys, ErrorCode::Unavailable if the endpoint can't be bound.
    static Base::ErrorOr<std::unique_ptr<PeerTransport>> create(Options);

    ~PeerTransport();
    PeerTransport(const PeerTransport&) = delete;
    PeerTransport& operator=(const PeerTransport&) = delete;

    /// Queues a message for another entry VM and opens a connection if there is none. Returns false and counts the
    /// frame as dropped if the send queue is full, or connecting failed or is still in its back-off period.
    bool send(Base::TimePoint now, Base::EntryVmId to, Channel, std::vector<std::byte> payload);

    /// Waits at most the given time for socket events and handles them. Closes idle connections once a second.
    void poll(Base::TimePoint now, Base::milliseconds atMost);

    /// The listening endpoint, with the port chosen by the kernel if port 0 was requested.
    Base::Ipv4Endpoint endpoint() const;
    const TransportStatistics& statistics() const { return statistics_; }

private:
    /// The connection to another entry VM, and its reconnect back-off.
    struct Outgoing {
        std::unique_ptr<Connection> connection;
        Base::milliseconds backoff { 0 };
        Base::TimePoint nextAttempt {};
    };

    PeerTransport(Options, Authenticator, int listener, int epollDescriptor);

    bool connect(Base::TimePoint now, Outgoing&, Base::EntryVmId to);
    void accept(Base::TimePoint now);
    void handleInbound(Base::TimePoint now, int socket, uint32_t events);
    void handleOutgoing(Base::TimePoint now, Base::EntryVmId to, uint32_t events);
    bool processInbound(Base::TimePoint now, Connection&, uint32_t events);
    void handleFrame(Connection&, std::span<const std::byte> body);
    void handleEnvelope(Connection&, Envelope&&);
    void closeAndBackOff(Base::TimePoint now, Outgoing&);
    /// Resets the reconnect back-off of a peer after a message from it: it is reachable.
    void resetBackoff(Base::EntryVmId peer);
    void closeIdle(Base::TimePoint now);
    void updateEpollEvents(const Connection&, bool isNew);

    Options options_;
    Authenticator authenticator_;
    int listener_;
    int epollDescriptor_;
    Base::Random random_;
    ReplayGuard replayGuard_;
    std::unordered_map<int, std::unique_ptr<Connection>> inbound_;
    std::unordered_map<Base::EntryVmId, Outgoing> outgoing_;
    std::unordered_map<int, Base::EntryVmId> outgoingBySocket_;
    uint64_t sequence_ { 0 };
    Base::TimePoint nextIdleCheck_ {};
    TransportStatistics statistics_;
};

}
