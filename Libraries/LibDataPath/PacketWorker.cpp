#include <LibDataPath/PacketWorker.h>

#include <LibPeer/Sockets.h>
#include <arpa/inet.h>
#include <unistd.h>

namespace DataPath {

namespace {

    constexpr Base::milliseconds maximumIdleSleep { 50 };

    void setBufferBytes(int socket, int option, int bytes)
    {
        ::setsockopt(socket, SOL_SOCKET, option, &bytes, sizeof(bytes));
    }

}

Base::ErrorOr<std::unique_ptr<PacketWorker>> PacketWorker::create(Options options)
{
    TRY_ASSIGN(socket, Peer::bindUdp(options.endpoint, true));
    setBufferBytes(socket, SO_RCVBUF, options.socketBufferBytes);
    setBufferBytes(socket, SO_SNDBUF, options.socketBufferBytes);
    return std::unique_ptr<PacketWorker>(new PacketWorker(std::move(options), socket));
}

PacketWorker::PacketWorker(Options options, int socket)
    : options_(std::move(options))
    , socket_(socket)
    , pool_(options_.buffers)
    , events_(options_.ringCapacity)
    , commands_(options_.ringCapacity)
{
}

PacketWorker::~PacketWorker() { ::close(socket_); }

Base::Ipv4Endpoint PacketWorker::endpoint() const { return Peer::localEndpoint(socket_); }

void PacketWorker::requestStop()
{
    stopping_.store(true);
    wakeup_.wake();
}

void PacketWorker::run()
{
    while (!stopping_.load(std::memory_order_relaxed)) {
        if (!runOnce())
            wakeup_.sleep(
                { socket_, -1 }, maximumIdleSleep, [this] { return commands_.isEmpty() && !stopping_.load(); });
    }
}

bool PacketWorker::runOnce()
{
    const bool received = receiveBatch();
    const bool sent = sendCommands();
    return received || sent;
}

void PacketWorker::acquireReceiveBuffers()
{
    while (receiveBufferCount_ < batchSize) {
        const auto buffer = pool_.acquire();
        if (!buffer)
            return;
        receiveBuffers_[receiveBufferCount_++] = *buffer;
    }
}

bool PacketWorker::receiveBatch()
{
    acquireReceiveBuffers();
    const bool hasBuffers = receiveBufferCount_ > 0;
    const std::size_t count = hasBuffers ? receiveBufferCount_ : 1;
    for (std::size_t slot = 0; slot < count; ++slot) {
        const auto space = hasBuffers ? pool_.space(receiveBuffers_[slot]) : std::span<std::byte>(discardBuffer_);
        receiveIoVectors_[slot] = { .iov_base = space.data(), .iov_len = space.size() };
        receiveHeaders_[slot].msg_hdr = { .msg_name = &receiveAddresses_[slot],
            .msg_namelen = sizeof(sockaddr_in),
            .msg_iov = &receiveIoVectors_[slot],
            .msg_iovlen = 1 };
    }
    const int received
        = ::recvmmsg(socket_, receiveHeaders_.data(), static_cast<unsigned>(count), MSG_DONTWAIT, nullptr);
    if (received <= 0)
        return false;
    counters_.received.add(static_cast<uint64_t>(received));
    if (!hasBuffers) {
        counters_.noBuffer.add();
        return true;
    }
    // Refresh after receiving, so that packets are never classified by a table older than the one their sender may
    // have.
    options_.addresses->refresh(addressTable_, addressTableVersion_);
    acceptedCount_ = 0;
    const auto receivedCount = static_cast<std::size_t>(received);
    for (std::size_t slot = 0; slot < receivedCount; ++slot)
        acceptDatagram(slot);
    receiveBufferCount_ -= receivedCount;
    std::copy_n(receiveBuffers_.begin() + static_cast<std::ptrdiff_t>(receivedCount), receiveBufferCount_,
        receiveBuffers_.begin());
    pushEvents();
    return true;
}

void PacketWorker::acceptDatagram(std::size_t slot)
{
    const auto buffer = receiveBuffers_[slot];
    const auto& header = receiveHeaders_[slot];
    const auto& address = receiveAddresses_[slot];
    const Base::Ipv4Endpoint from { .address = { ntohl(address.sin_addr.s_addr) }, .port = ntohs(address.sin_port) };
    auto& event = accepted_[acceptedCount_];
    if ((header.msg_hdr.msg_flags & MSG_TRUNC) != 0)
        counters_.tooLarge.add();
    else if (classify(buffer, pool_.space(buffer).first(header.msg_len), from, event)) {
        event.token = makeToken(options_.index, buffer);
        ++acceptedCount_;
        return;
    }
    pool_.release(buffer);
}

bool PacketWorker::classify(
    uint32_t buffer, std::span<const std::byte> datagram, const Base::Ipv4Endpoint& from, Flow::PacketEvent& event)
{
    event = {};
    std::size_t offset = 0;
    if (Packet::looksLikeHandOver(datagram)) {
        if (!classifyHandOver(datagram, event))
            return false;
        offset = Packet::handOverHeaderBytes;
    }
    Packet::Ipv4Packet packet;
    const Packet::ParseOptions parseOptions { .verifyTransportChecksum = options_.verifyTransportChecksum };
    if (const auto error = Packet::parseIpv4Packet(datagram.subspan(offset), parseOptions, packet)) {
        counters_.malformed[static_cast<std::size_t>(*error)].add();
        return false;
    }
    pool_.setPacket(buffer, offset, packet.totalLength);
    const bool isHandedOver = event.arrival == Flow::Arrival::Peer;
    if (!isHandedOver && addressTable_)
        event.backendServer = addressTable_->findBackendServer(from);
    const auto direction = event.backendServer.isValid() ? Packet::Direction::ToCaller : directionOf(packet);
    if (isHandedOver && direction == Packet::Direction::ToCaller)
        event.backendServer = event.handOver.backendServer;
    event.packet = Packet::summarize(packet, direction);
    return true;
}

bool PacketWorker::classifyHandOver(std::span<const std::byte> datagram, Flow::PacketEvent& event)
{
    Packet::HandOverHeader header;
    if (const auto error = Packet::decodeHandOver(datagram, options_.keys, header)) {
        counters_.invalidHandOvers[static_cast<std::size_t>(*error)].add();
        return false;
    }
    if (header.reason > static_cast<uint8_t>(Flow::HandOverReason::Spill)) {
        counters_.invalidHandOvers[static_cast<std::size_t>(Packet::HandOverError::BadField)].add();
        return false;
    }
    counters_.receivedHandOvers.add();
    event.arrival = Flow::Arrival::Peer;
    event.sender = header.sender;
    event.handOver = { .reason = static_cast<Flow::HandOverReason>(header.reason),
        .hops = header.hops,
        .revision = header.revision,
        .origin = header.origin,
        .flowOwnerId = header.flowOwnerId,
        .backendServer = header.backendServer };
    return true;
}

Packet::Direction PacketWorker::directionOf(const Packet::Ipv4Packet& packet) const
{
    if (!addressTable_ || addressTable_->isServiceAddress(packet.destination.address))
        return Packet::Direction::ToBackendServer;
    return addressTable_->isServiceAddress(packet.source.address) ? Packet::Direction::ToCaller
                                                                  : Packet::Direction::ToBackendServer;
}

// FIXME: Packets that waited in the socket while the process was paused are treated as new ones; a late duplicate of a
// request that has completed meanwhile can be forwarded again.
void PacketWorker::pushEvents()
{
    if (acceptedCount_ == 0)
        return;
    const auto pushed = events_.pushMany(accepted_.data(), acceptedCount_);
    for (std::size_t index = pushed; index < acceptedCount_; ++index) {
        pool_.release(bufferIndexOf(accepted_[index].token));
        counters_.ringFull.add();
    }
    options_.wakeDecider();
}

bool PacketWorker::sendCommands()
{
    const auto count = commands_.popMany(commandBatch_.data(), batchSize);
    if (count == 0)
        return false;
    for (std::size_t index = 0; index < count; ++index) {
        if (pool_.isInUse(commandBatch_[index].buffer))
            prepareDatagram(index, commandBatch_[index]);
    }
    const auto result = sendBatch_.transmit(socket_);
    counters_.sent.add(result.sent);
    counters_.sendFailed.add(result.failed);
    for (std::size_t index = 0; index < count; ++index) {
        if (commandBatch_[index].release)
            pool_.release(commandBatch_[index].buffer);
    }
    return true;
}

void PacketWorker::prepareDatagram(std::size_t slot, const SendCommand& command)
{
    std::span<const std::byte> bytes;
    switch (command.kind) {
    case SendCommand::Kind::Discard:
        return;
    case SendCommand::Kind::Send:
        bytes = pool_.packet(command.buffer);
        break;
    case SendCommand::Kind::Refuse:
        bytes = writeRefusal(slot, command);
        break;
    case SendCommand::Kind::HandOver:
        bytes = writeHandOver(command);
        break;
    }
    if (bytes.empty())
        return;
    sendBatch_.add(command.destination, bytes);
}

std::span<const std::byte> PacketWorker::writeHandOver(const SendCommand& command)
{
    const auto datagram = pool_.handOverDatagram(command.buffer);
    const Packet::HandOverHeader header { .reason = static_cast<uint8_t>(command.handOver.reason),
        .hops = command.handOver.hops,
        .backendServer = command.handOver.backendServer,
        .revision = command.handOver.revision,
        .origin = command.handOver.origin,
        .flowOwnerId = command.handOver.flowOwnerId,
        .sender = options_.self };
    Packet::encodeHandOver(datagram.first<Packet::handOverHeaderBytes>(), header,
        datagram.subspan(Packet::handOverHeaderBytes), options_.keys.front());
    counters_.sentHandOvers.add();
    return datagram;
}

std::span<const std::byte> PacketWorker::writeRefusal(std::size_t slot, const SendCommand& command)
{
    const auto bytes = pool_.packet(command.buffer);
    Packet::Ipv4Packet packet;
    if (Packet::parseIpv4Packet(bytes, { .verifyTransportChecksum = false }, packet))
        return {};
    const auto length = Packet::buildRefusal(refusalBuffers_[slot], bytes, packet, command.meaning);
    if (length > 0)
        counters_.sentRefusals.add();
    return std::span<const std::byte>(refusalBuffers_[slot]).first(length);
}

}
