#pragma once

#include <LibBase/Ipv4Endpoint.h>
#include <array>
#include <cstddef>
#include <netinet/in.h>
#include <span>
#include <sys/socket.h>

namespace Datagram {

/// Datagrams to be sent together. Those of one destination and one size travel through the kernel as one message that
/// is cut into datagrams at its end (UDP_SEGMENT); the order of each destination's datagrams is kept. One thread.
class SendBatch {
public:
    /// Datagrams of one batch at most.
    static constexpr std::size_t capacity = 64;

    /// Adds a datagram; its bytes must stay until transmit(). The batch must not be full.
    void add(const Base::Ipv4Endpoint& destination, std::span<const std::byte> bytes);

    /// How a batch went, in datagrams.
    struct Result {
        std::size_t sent { 0 };
        std::size_t failed { 0 };
    };

    /// Sends all datagrams through a non-blocking socket and empties the batch.
    Result transmit(int socket);

    /// Whether datagrams are put together; turned off by itself where the kernel cannot.
    void setSegmentation(bool enabled) { segmentation_ = enabled; }

private:
    struct Datagram {
        Base::Ipv4Endpoint destination;
        std::span<const std::byte> bytes;
        std::size_t group { 0 };
    };

    /// Datagrams of one message.
    struct Group {
        Base::Ipv4Endpoint destination;
        std::size_t count { 0 };
        std::size_t segmentBytes { 0 };
        std::size_t bytes { 0 };
        /// No further datagram may be added: a shorter one is its last.
        bool closed { false };
    };

    std::size_t groupFor(const Base::Ipv4Endpoint&, std::size_t bytes);
    void prepareMessages();
    void setSegmentSize(std::size_t message, uint16_t segmentBytes);
    void sendSingly(int socket, std::size_t group, Result&);

    bool segmentation_ { true };
    std::size_t count_ { 0 };
    std::size_t groupCount_ { 0 };
    std::array<Datagram, capacity> datagrams_ {};
    std::array<Group, capacity> groups_ {};
    std::array<sockaddr_in, capacity> addresses_ {};
    std::array<iovec, capacity> parts_ {};
    std::array<mmsghdr, capacity> messages_ {};
    struct alignas(cmsghdr) ControlSpace {
        std::array<std::byte, CMSG_SPACE(sizeof(uint16_t))> bytes;
    };
    std::array<ControlSpace, capacity> control_ {};
};

}
