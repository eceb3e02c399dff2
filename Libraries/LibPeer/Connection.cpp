#include <LibPeer/Connection.h>

#include <LibPeer/Sockets.h>
#include <array>
#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>

namespace Peer {

namespace {

    constexpr std::size_t receiveBufferBytes = 16384;

    bool isTransientError(int error) { return error == EAGAIN || error == EWOULDBLOCK || error == EINTR; }

}

Connection::Connection(int socket, Bounds bounds, bool isConnecting)
    : socket_(socket)
    , bounds_(bounds)
    , connecting_(isConnecting)
    , reader_(bounds.maximumFrameBytes)
{
}

Connection::~Connection() { ::close(socket_); }

bool Connection::queue(std::vector<std::byte> frame)
{
    if (queuedBytes_ + frame.size() > bounds_.maximumQueuedBytes)
        return false;
    queuedBytes_ += frame.size();
    output_.push_back(std::move(frame));
    return true;
}

bool Connection::handleWritable()
{
    if (connecting_) {
        if (pendingSocketError(socket_) != 0)
            return false;
        connecting_ = false;
    }
    while (!output_.empty()) {
        const auto rest = std::span(output_.front()).subspan(firstFrameBytesSent_);
        const auto sent = ::send(socket_, rest.data(), rest.size(), MSG_NOSIGNAL);
        if (sent < 0)
            return isTransientError(errno);
        firstFrameBytesSent_ += static_cast<std::size_t>(sent);
        if (firstFrameBytesSent_ < output_.front().size())
            return true;
        queuedBytes_ -= output_.front().size();
        firstFrameBytesSent_ = 0;
        output_.pop_front();
    }
    return true;
}

Base::ErrorOr<bool> Connection::handleReadable(std::vector<std::vector<std::byte>>& bodies)
{
    std::array<std::byte, receiveBufferBytes> buffer {};
    const auto received = ::recv(socket_, buffer.data(), buffer.size(), 0);
    if (received == 0)
        return false;
    if (received < 0)
        return isTransientError(errno);
    reader_.append(std::span(buffer).first(static_cast<std::size_t>(received)));
    for (;;) {
        TRY_ASSIGN(body, reader_.next());
        if (!body)
            return true;
        bodies.push_back(std::move(*body));
    }
}

}
