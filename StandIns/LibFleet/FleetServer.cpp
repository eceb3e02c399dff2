#include <LibFleet/FleetServer.h>

#include <LibPeer/Sockets.h>
#include <array>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

namespace StandIn {

namespace {

    constexpr unsigned slots = 2;
    constexpr std::size_t queueLength = 8;
    constexpr Base::milliseconds workTime { 10 };
    constexpr std::size_t numberBytes = 8;

    uint64_t readNumber(std::span<const uint8_t> bytes)
    {
        uint64_t number = 0;
        for (std::size_t index = 0; index < numberBytes; ++index)
            number = (number << 8) | bytes[index];
        return number;
    }

}

FleetServer::FleetServer(EventLoop& loop, RecordStore& records, Ledger& ledger, const Network& network, Options options)
    : loop_(loop)
    , records_(records)
    , ledger_(ledger)
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

void FleetServer::writeEntry() const
{
    const bool isLeaving = record_.leavingSince != Base::TimePoint::max();
    const nlohmann::json entry { { "service", options_.service }, { "address", address_.toString() },
        { "zone", options_.zone }, { "version", "v1" }, { "concurrency", slots },
        { "state", isLeaving ? "draining" : "ready" }, { "warmup_left_ms", options_.warmUpLeft.count() },
        { "sequence", 1 }, { "born", 1'700'000'000'000 } };
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
        if (count < static_cast<ssize_t>(numberBytes))
            return;
        const Base::Ipv4Address entryVm { ntohl(from.sin_addr.s_addr) };
        const auto bytes = std::span(buffer).first(static_cast<std::size_t>(count));
        const auto number = readNumber(bytes);
        if (!network_.allows(entryVm, options_.zone) || (number != 0 && number != options_.number))
            continue;
        const auto packet = FlowPacket::read(bytes.subspan(numberBytes));
        if (!packet || !packet->isGenuine) {
            ledger_.forgedPacket(loop_.now(), options_.id);
            continue;
        }
        take(loop_.now(), entryVm, *packet);
    }
}

void FleetServer::reply(const FlowPacket& packet, const Base::Ipv4Endpoint& caller) const
{
    const auto bytes = packet.write();
    sockaddr_in to {};
    to.sin_family = AF_INET;
    to.sin_addr.s_addr = htonl(caller.address.value);
    to.sin_port = htons(network_.dataPort);
    ::sendto(socket_, bytes.data(), bytes.size(), MSG_DONTWAIT, reinterpret_cast<sockaddr*>(&to), sizeof(to));
}

void FleetServer::take(Base::TimePoint now, Base::Ipv4Address entryVm, const FlowPacket& packet)
{
    if (packet.isSyn) {
        takeFirst(now, entryVm, packet);
        return;
    }
    const auto found = flows_.find(packet.from);
    const bool isOwn = found != flows_.end() && packet.acknowledged - found->second.ownSequence < 0x40000000;
    ledger_.packetTaken(now, packet.from, record_, isOwn);
    if (!isOwn) {
        if (!packet.isReset)
            reply({ .from = packet.to, .to = packet.from, .echo = packet.echo, .isReset = true }, packet.from);
        return;
    }
    auto& flow = found->second;
    flow.echo = packet.echo;
    if (!flow.isOpen) {
        flow.isOpen = true;
        ledger_.opened(packet.from, record_);
    }
    if (packet.isFin || packet.isReset) {
        reply({ .from = packet.to,
                  .to = packet.from,
                  .sequence = flow.ownSequence,
                  .acknowledged = packet.sequence + 1,
                  .echo = flow.echo,
                  .isAck = true,
                  .isFin = true },
            packet.from);
        ledger_.closed(packet.from);
        flows_.erase(packet.from);
        return;
    }
    if (!packet.data.empty())
        takeData(now, flow, packet);
}

void FleetServer::takeFirst(Base::TimePoint now, Base::Ipv4Address entryVm, const FlowPacket& packet)
{
    auto& flow = flows_[packet.from];
    if (flow.ownSequence == 0 || flow.callerSequence != packet.sequence) {
        ledger_.openingTaken(now, packet.from, packet.to, record_, entryVm);
        nextSequence_ += 100'000;
        flow = { .callerSequence = packet.sequence, .ownSequence = nextSequence_, .route = packet.to };
    }
    flow.echo = packet.echo;
    reply({ .from = packet.to,
              .to = packet.from,
              .sequence = flow.ownSequence,
              .acknowledged = packet.sequence + 1,
              .echo = flow.echo,
              .isSyn = true,
              .isAck = true },
        packet.from);
}

void FleetServer::takeData(Base::TimePoint now, Flow& flow, const FlowPacket& packet)
{
    const auto end = packet.sequence + static_cast<uint32_t>(packet.data.size());
    const auto progress = static_cast<int32_t>(end - flow.answeredSequence);
    if (flow.answeredSequence != 0 && progress <= 0) {
        // A paused entry VM may pass on a repeated packet long after the request was answered.
        if (progress == 0 && !flow.isWorking)
            sendAnswer(packet.from, flow);
        return;
    }
    if (flow.isWorking)
        return;
    flow.isWorking = true;
    flow.answeredSequence = end;
    const auto request = packet.data;
    const auto caller = packet.from;
    if (busySlots_ >= slots && queue_.size() >= queueLength) {
        flow.isWorking = false;
        flow.answer = "503 " + request;
        sendAnswer(caller, flow);
        return;
    }
    ledger_.ran(now, request, request.starts_with("view"), record_);
    if (busySlots_ < slots)
        work(caller, request);
    else
        queue_.emplace_back([this, caller, request] { work(caller, request); });
}

void FleetServer::work(const Base::Ipv4Endpoint& caller, const std::string& request)
{
    ++busySlots_;
    loop_.after(workTime, [this, alive = std::weak_ptr(alive_), caller, request] {
        const auto held = alive.lock();
        if (held && *held && record_.isAlive)
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
    found->second.isWorking = false;
    found->second.answer = "200 " + request;
    sendAnswer(caller, found->second);
}

void FleetServer::sendAnswer(const Base::Ipv4Endpoint& caller, const Flow& flow)
{
    reply({ .from = flow.route,
              .to = caller,
              .sequence = flow.ownSequence + 1,
              .acknowledged = flow.answeredSequence,
              .echo = flow.echo,
              .isAck = true,
              .data = flow.answer },
        caller);
}

}
