#pragma once

#include <LibBase/Time.h>
#include <LibPeer/Frame.h>
#include <deque>
#include <vector>

namespace Peer {

/// A TCP connection of the transport. Decodes incoming frames and queues outgoing frames up to a limit. Closes its
/// socket when destroyed.
class Connection {
public:
    /// Memory limits of a connection.
    struct Bounds {
        std::size_t maximumFrameBytes { defaultMaximumFrameBytes };
        std::size_t maximumQueuedBytes { std::size_t { 1024 } * 1024 };
    };

    /// Takes ownership of a non-blocking socket. isConnecting: connect() is still in progress.
    Connection(int socket, Bounds, bool isConnecting);
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    int socket() const { return socket_; }
    bool isConnecting() const { return connecting_; }
    bool hasOutput() const { return !output_.empty(); }
    /// Time at which a frame was last queued or received.
    Base::TimePoint lastUsed() const { return lastUsed_; }
    void markUsed(Base::TimePoint now) { lastUsed_ = now; }

    /// Queues a frame. Returns false and drops the frame if the queue would exceed maximumQueuedBytes.
    bool queue(std::vector<std::byte> frame);
    /// Sends queued frames; call when the socket is writable. Returns false if the connection has failed.
    bool handleWritable();
    /// Reads frames and appends the bodies of complete ones; call when the socket is readable. Returns false if the
    /// connection was closed or has failed, ErrorCode::TooLarge or ErrorCode::Malformed if the framing is invalid.
    Base::ErrorOr<bool> handleReadable(std::vector<std::vector<std::byte>>& bodies);

private:
    int socket_;
    Bounds bounds_;
    bool connecting_;
    Base::TimePoint lastUsed_ {};
    FrameReader reader_;
    std::deque<std::vector<std::byte>> output_;
    std::size_t queuedBytes_ { 0 };
    std::size_t firstFrameBytesSent_ { 0 };
};

}
