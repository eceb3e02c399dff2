#include <LibFleet/FleetServer.h>

#include <LibPeer/Sockets.h>
#include <array>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

namespace StandIn {

namespace {

    constexpr unsigned slotCount = 2;
    constexpr std::size_t queueLimit = 8;
    constexpr Base::milliseconds requestDuration { 10 };
    constexpr std::size_t serverNumberBytes = 8;

    uint64_t readServerNumber(std::span<const uint8_t> bytes)
    {
        uint64_t number = 0;
        for (std::size_t index = 0; index < serverNumberBytes; ++index)
            number = (number << 8) | bytes[index];
        return number;
    }

}

FleetServer::FleetServer(
    EventLoop& loop, RecordStore& records, InvariantChecker& invariants, const Network& network, Options options)
    : loop_(loop)
    , records_(records)
    , invariants_(invariants)
    , network_(network)
    , options_(std::move(options))
    , socket_(Peer::bindUdp(options_.address, false).value())
    , address_(Peer::localEndpoint(socket_))
    , record_({ .id = options_.id, .service = options_.service, .zone = options_.zone })
{
    loop_.watch(socket_, [this] { receive(); });
    writeEntry();
}

FleetServer::~FleetServer()
{
    crash(loop_.now());
    *alive_ = false;
}

void FleetServer::writeEntry()
{
    const bool isLeaving = record_.leavingSince != Base::TimePoint::max();
    const nlohmann::json entry { { "service", options_.service }, { "address", address_.toString() },
        { "zone", options_.zone }, { "version", "v1" }, { "concurrency", slotCount },
        { "state", isLeaving ? "draining" : "ready" }, { "warmup_left_ms", options_.remainingWarmUp.count() },
        { "sequence", ++sequence_ }, { "born", 1'700'000'000'000 } };
    records_.put("servers/" + options_.id, entry.dump());
}

void FleetServer::drain(Base::TimePoint now)
{
    record_.leavingSince = now;
    writeEntry();
}

void FleetServer::crash(Base::TimePoint now)
{
    if (!record_.isAlive)
        return;
    record_.isAlive = false;
    record_.disturbedAt = now;
    loop_.unwatch(socket_);
    ::close(socket_);
}

void FleetServer::receive()
{
    std::array<uint8_t, 2048> buffer {};
    sockaddr_in from {};
    socklen_t length = sizeof(from);
    while (record_.isAlive) {
        const auto count = ::recvfrom(
            socket_, buffer.data(), buffer.size(), MSG_DONTWAIT, reinterpret_cast<sockaddr*>(&from), &length);
        if (count < static_cast<ssize_t>(serverNumberBytes))
            return;
        const Base::Ipv4Address entryVm { ntohl(from.sin_addr.s_addr) };
        const auto bytes = std::span(buffer).first(static_cast<std::size_t>(count));
        const auto number = readServerNumber(bytes);
        if (!network_.allows(entryVm, options_.zone) || (number != 0 && number != options_.number))
            continue;
        const auto packet = FlowPacket::read(bytes.subspan(serverNumberBytes));
        if (!packet || !packet->isChecksumValid) {
            invariants_.recordCorruptPacket(loop_.now(), options_.id);
            continue;
        }
        handlePacket(loop_.now(), entryVm, *packet);
    }
}

void FleetServer::sendPacket(const FlowPacket& packet, const Base::Ipv4Endpoint& caller) const
{
    const auto bytes = packet.write();
    sockaddr_in to {};
    to.sin_family = AF_INET;
    to.sin_addr.s_addr = htonl(caller.address.value);
    to.sin_port = htons(network_.dataPort);
    ::sendto(socket_, bytes.data(), bytes.size(), MSG_DONTWAIT, reinterpret_cast<sockaddr*>(&to), sizeof(to));
}

void FleetServer::handlePacket(Base::TimePoint now, Base::Ipv4Address entryVm, const FlowPacket& packet)
{
    if (packet.isSyn) {
        handleFirstPacket(now, entryVm, packet);
        return;
    }
    const auto found = flows_.find(packet.from);
    const bool isOpenHere = found != flows_.end() && packet.acknowledged - found->second.serverSequence < 0x40000000;
    invariants_.recordLaterPacket(now, packet.from, record_, isOpenHere);
    if (!isOpenHere) {
        if (!packet.isReset)
            sendPacket({ .from = packet.to, .to = packet.from, .echo = packet.echo, .isReset = true }, packet.from);
        return;
    }
    auto& flow = found->second;
    flow.echo = packet.echo;
    if (!flow.isOpen) {
        flow.isOpen = true;
        invariants_.recordFlowOpened(packet.from, record_);
    }
    if (packet.isFin || packet.isReset) {
        sendPacket({ .from = packet.to,
                       .to = packet.from,
                       .sequence = flow.serverSequence,
                       .acknowledged = packet.sequence + 1,
                       .echo = flow.echo,
                       .isAck = true,
                       .isFin = true },
            packet.from);
        invariants_.recordFlowClosed(packet.from);
        flows_.erase(packet.from);
        return;
    }
    if (!packet.data.empty())
        handleData(now, flow, packet);
}

void FleetServer::handleFirstPacket(Base::TimePoint now, Base::Ipv4Address entryVm, const FlowPacket& packet)
{
    auto& flow = flows_[packet.from];
    if (flow.serverSequence == 0 || flow.callerSequence != packet.sequence) {
        invariants_.recordFirstPacket(now, packet.from, packet.to, record_, entryVm);
        nextSequence_ += 100'000;
        flow = { .callerSequence = packet.sequence, .serverSequence = nextSequence_, .route = packet.to };
    }
    flow.echo = packet.echo;
    sendPacket({ .from = packet.to,
                   .to = packet.from,
                   .sequence = flow.serverSequence,
                   .acknowledged = packet.sequence + 1,
                   .echo = flow.echo,
                   .isSyn = true,
                   .isAck = true },
        packet.from);
}

void FleetServer::handleData(Base::TimePoint now, Flow& flow, const FlowPacket& packet)
{
    const auto end = packet.sequence + static_cast<uint32_t>(packet.data.size());
    const auto progress = static_cast<int32_t>(end - flow.requestEndSequence);
    if (flow.requestEndSequence != 0 && progress <= 0) {
        // A paused entry VM may forward a retransmission long after its request was completed; the request is not
        // executed again.
        if (progress == 0 && !flow.isRequestInFlight)
            sendResponse(packet.from, flow);
        return;
    }
    if (flow.isRequestInFlight)
        return;
    flow.isRequestInFlight = true;
    flow.requestEndSequence = end;
    const auto request = packet.data;
    const auto caller = packet.from;
    if (busySlots_ >= slotCount && queue_.size() >= queueLimit) {
        flow.isRequestInFlight = false;
        flow.response = "503 " + request;
        sendResponse(caller, flow);
        return;
    }
    invariants_.recordExecution(now, request, request.starts_with("view"), record_);
    if (busySlots_ < slotCount)
        startWork(caller, request);
    else
        queue_.emplace_back([this, caller, request] { startWork(caller, request); });
}

void FleetServer::startWork(const Base::Ipv4Endpoint& caller, const std::string& request)
{
    ++busySlots_;
    loop_.after(requestDuration, [this, alive = std::weak_ptr(alive_), caller, request] {
        const auto stillAlive = alive.lock();
        if (stillAlive && *stillAlive && record_.isAlive)
            finishWork(caller, request);
    });
}

void FleetServer::finishWork(const Base::Ipv4Endpoint& caller, const std::string& request)
{
    --busySlots_;
    if (!queue_.empty()) {
        const auto next = std::move(queue_.front());
        queue_.pop_front();
        next();
    }
    const auto found = flows_.find(caller);
    if (found == flows_.end())
        return;
    found->second.isRequestInFlight = false;
    found->second.response = "200 " + request;
    sendResponse(caller, found->second);
}

void FleetServer::sendResponse(const Base::Ipv4Endpoint& caller, const Flow& flow)
{
    sendPacket({ .from = flow.route,
                   .to = caller,
                   .sequence = flow.serverSequence + 1,
                   .acknowledged = flow.requestEndSequence,
                   .echo = flow.echo,
                   .isAck = true,
                   .data = flow.response },
        caller);
}

}
