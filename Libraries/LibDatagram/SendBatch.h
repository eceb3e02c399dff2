#pragma once

#include <LibBase/Ipv4Endpoint.h>
#include <array>
#include <cstddef>
#include <netinet/in.h>
#include <span>
#include <sys/socket.h>

namespace Datagram {

/// A batch of datagrams. Those of equal destination and size are passed to the kernel as one message, which it segments
/// into datagrams (UDP_SEGMENT). The order of the datagrams of each destination is preserved. Not thread-safe.
class SendBatch {
public:
    /// Maximum number of datagrams in a batch.
    static constexpr std::size_t capacity = 64;

    /// Adds a datagram. Its bytes must remain valid until transmit(), and the batch must not be full.
    void add(const Base::Ipv4Endpoint& destination, std::span<const std::byte> bytes);

    /// Result of transmit(), in datagrams.
    struct Result {
        std::size_t sent { 0 };
        std::size_t failed { 0 };
    };

    /// Sends all datagrams through a non-blocking socket and empties the batch.
    Result transmit(int socket);

    /// Enables UDP segmentation, the default. It is disabled automatically if the kernel does not support it.
    void setSegmentation(bool enabled) { segmentation_ = enabled; }

private:
    struct Datagram {
        Base::Ipv4Endpoint destination;
        std::span<const std::byte> bytes;
        std::size_t group { 0 };
    };

    /// The datagrams of one message; all but the last have the size segmentBytes.
    struct Group {
        Base::Ipv4Endpoint destination;
        std::size_t count { 0 };
        std::size_t segmentBytes { 0 };
        std::size_t bytes { 0 };
        /// No further datagram may be added, since the last one is shorter than segmentBytes.
        bool closed { false };
    };

    std::size_t findOrAddGroup(const Base::Ipv4Endpoint&, std::size_t bytes);
    void prepareMessages();
    void setSegmentSize(std::size_t message, uint16_t segmentBytes);
    void sendIndividually(int socket, std::size_t group, Result&);

    bool segmentation_ { true };
    std::size_t count_ { 0 };
    std::size_t groupCount_ { 0 };
    std::array<Datagram, capacity> datagrams_ {};
    std::array<Group, capacity> groups_ {};
    std::array<sockaddr_in, capacity> addresses_ {};
    std::array<iovec, capacity> ioVectors_ {};
    std::array<mmsghdr, capacity> messages_ {};
    struct alignas(cmsghdr) ControlSpace {
        std::array<std::byte, CMSG_SPACE(sizeof(uint16_t))> bytes;
    };
    std::array<ControlSpace, capacity> control_ {};
};

}
