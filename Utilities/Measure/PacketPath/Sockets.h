#pragma once

#include <LibBase/Ipv4Endpoint.h>
#include <netinet/in.h>

namespace Measure::PacketPath {

/// A UDP socket, by default on a loopback port chosen by the kernel; the destructor closes it.
class LoopbackSocket {
public:
    /// bufferBytes: size of the kernel's receive and send buffers. sharePort: other sockets may bind the same port.
    explicit LoopbackSocket(
        int bufferBytes, const Base::Ipv4Endpoint& endpoint = { { 0x7F000001 }, 0 }, bool sharePort = false);
    ~LoopbackSocket();
    LoopbackSocket(LoopbackSocket&&) noexcept;
    LoopbackSocket(const LoopbackSocket&) = delete;
    LoopbackSocket& operator=(const LoopbackSocket&) = delete;
    LoopbackSocket& operator=(LoopbackSocket&&) = delete;

    int descriptor() const { return descriptor_; }
    Base::Ipv4Endpoint endpoint() const;

private:
    int descriptor_;
};

/// Converts an endpoint to a socket address.
sockaddr_in toSocketAddress(const Base::Ipv4Endpoint&);

/// Waits until a socket is readable or the given number of milliseconds has passed.
void waitReadable(int descriptor, int milliseconds);

}
