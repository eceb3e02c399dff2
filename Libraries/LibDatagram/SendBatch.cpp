#include <LibDatagram/SendBatch.h>

#include <LibBase/Verify.h>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/udp.h>

namespace Datagram {

namespace {

    /// Maximum size of a message in bytes; slightly less than fits into an IPv4 packet with its headers.
    constexpr std::size_t maximumMessageBytes = 65'000;

    /// Whether the error means that the kernel or the route does not support UDP segmentation.
    bool isSegmentationUnsupported(int error)
    {
        return error == EIO || error == EINVAL || error == ENOPROTOOPT || error == EMSGSIZE;
    }

}

void SendBatch::add(const Base::Ipv4Endpoint& destination, std::span<const std::byte> bytes)
{
    VERIFY(count_ < capacity);
    const auto index = findOrAddGroup(destination, bytes.size());
    auto& group = groups_[index];
    ++group.count;
    group.bytes += bytes.size();
    group.closed |= bytes.size() < group.segmentBytes;
    datagrams_[count_++] = { .destination = destination, .bytes = bytes, .group = index };
}

std::size_t SendBatch::findOrAddGroup(const Base::Ipv4Endpoint& destination, std::size_t bytes)
{
    for (std::size_t index = segmentation_ ? groupCount_ : 0; index > 0; --index) {
        const auto& group = groups_[index - 1];
        if (group.destination != destination)
            continue;
        const bool fits = !group.closed && bytes <= group.segmentBytes && group.bytes + bytes <= maximumMessageBytes;
        if (fits)
            return index - 1;
        break;
    }
    groups_[groupCount_] = { .destination = destination, .segmentBytes = bytes };
    return groupCount_++;
}

void SendBatch::prepareMessages()
{
    std::size_t nextIoVector = 0;
    std::array<std::size_t, capacity> nextIoVectorOfGroup {};
    for (std::size_t index = 0; index < groupCount_; ++index) {
        const auto& group = groups_[index];
        auto& address = addresses_[index];
        address = {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(group.destination.address.value);
        address.sin_port = htons(group.destination.port);
        messages_[index].msg_hdr = { .msg_name = &address,
            .msg_namelen = sizeof(address),
            .msg_iov = &ioVectors_[nextIoVector],
            .msg_iovlen = group.count };
        if (group.count > 1)
            setSegmentSize(index, static_cast<uint16_t>(group.segmentBytes));
        nextIoVectorOfGroup[index] = nextIoVector;
        nextIoVector += group.count;
    }
    for (std::size_t index = 0; index < count_; ++index) {
        const auto bytes = datagrams_[index].bytes;
        ioVectors_[nextIoVectorOfGroup[datagrams_[index].group]++]
            = { .iov_base = const_cast<std::byte*>(bytes.data()), .iov_len = bytes.size() };
    }
}

void SendBatch::setSegmentSize(std::size_t message, uint16_t segmentBytes)
{
    auto& header = messages_[message].msg_hdr;
    header.msg_control = control_[message].bytes.data();
    header.msg_controllen = control_[message].bytes.size();
    auto* control = CMSG_FIRSTHDR(&header);
    control->cmsg_level = SOL_UDP;
    control->cmsg_type = UDP_SEGMENT;
    control->cmsg_len = CMSG_LEN(sizeof(segmentBytes));
    std::memcpy(CMSG_DATA(control), &segmentBytes, sizeof(segmentBytes));
}

void SendBatch::sendIndividually(int socket, std::size_t group, Result& result)
{
    const auto& header = messages_[group].msg_hdr;
    for (std::size_t index = 0; index < header.msg_iovlen; ++index) {
        const auto sent = ::sendto(socket, header.msg_iov[index].iov_base, header.msg_iov[index].iov_len, MSG_DONTWAIT,
            static_cast<const sockaddr*>(header.msg_name), header.msg_namelen);
        ++(sent >= 0 ? result.sent : result.failed);
    }
}

SendBatch::Result SendBatch::transmit(int socket)
{
    Result result;
    prepareMessages();
    std::size_t done = 0;
    while (done < groupCount_) {
        const int sent
            = ::sendmmsg(socket, messages_.data() + done, static_cast<unsigned>(groupCount_ - done), MSG_DONTWAIT);
        for (int index = 0; index < sent; ++index)
            result.sent += groups_[done++].count;
        if (sent > 0 || errno == EINTR)
            continue;
        if (groups_[done].count > 1 && isSegmentationUnsupported(errno)) {
            segmentation_ = false;
            sendIndividually(socket, done, result);
        } else {
            result.failed += groups_[done].count;
        }
        ++done;
    }
    count_ = 0;
    groupCount_ = 0;
    return result;
}

}
