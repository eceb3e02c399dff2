#include <LibFleet/FleetCaller.h>

#include <LibPeer/Sockets.h>
#include <algorithm>
#include <array>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace StandIn {

namespace {

    /// Retransmission times, timeouts and number of attempts are those of the platform's callers. The delays and the
    /// handshake timeout count from the first packet.
    constexpr Base::milliseconds firstRetransmissionDelay { 200 };
    constexpr Base::milliseconds secondRetransmissionDelay { 600 };
    constexpr Base::milliseconds handshakeTimeout { 1400 };
    constexpr Base::milliseconds requestTimeout { 3000 };
    constexpr Base::milliseconds maximumRetransmissionInterval { 1600 };
    constexpr int maximumAttempts = 3;
    constexpr Base::milliseconds tickInterval { 20 };
    constexpr Base::milliseconds persistentFlowPause { 300 };

}

FleetCaller::FleetCaller(EventLoop& loop, InvariantChecker& invariants, const Network& network,
    const std::vector<std::unique_ptr<EntryProcess>>& entryVms, Options options)
    : loop_(loop)
    , invariants_(invariants)
    , network_(network)
    , entryVms_(entryVms)
    , options_(std::move(options))
    , socket_(Peer::bindUdp({ .address = options_.address, .port = network.dataPort }, false).value())
    , random_(options_.seed)
{
    loop_.watch(socket_, [this] { receive(); });
    loop_.every(tickInterval, [this] { tick(); });
    scheduleNext();
}

FleetCaller::~FleetCaller()
{
    loop_.unwatch(socket_);
    ::close(socket_);
}

void FleetCaller::scheduleNext()
{
    const auto delay = Base::microseconds(static_cast<int64_t>(2e6 * random_.unit() / options_.requestsPerSecond));
    loop_.after(delay, [this] {
        if (stopping_)
            return;
        startRequest();
        scheduleNext();
    });
}

void FleetCaller::startRequest()
{
    const auto number = nextRequest_++;
    Request request {
        .isIdempotent = random_.chance(0.7), .startedAt = loop_.now(), .deadline = loop_.now() + requestTimeout
    };
    const auto& routes = request.isIdempotent ? options_.idempotentRoutes : options_.nonIdempotentRoutes;
    request.route = routes[random_.below(routes.size())];
    request.id
        = (request.isIdempotent ? "view-" : "claim-") + options_.address.toString() + "-" + std::to_string(number);
    request.followingRequests
        = random_.chance(options_.persistentFlowShare) ? static_cast<int>(1 + random_.below(4)) : 0;
    requests_[number] = request;
    startAttempt(number);
}

void FleetCaller::startAttempt(uint64_t number)
{
    auto& request = requests_.at(number);
    ++request.attempts;
    if (++lastPort_ == 0)
        lastPort_ = 1024;
    auto& flow = flows_[lastPort_];
    flow = { .request = number, .retransmitAt = loop_.now() + firstRetransmissionDelay };
    flow.firstPacket = { .from = { .address = options_.address, .port = lastPort_ },
        .to = request.route,
        .sequence = static_cast<uint32_t>(random_.next()),
        .isSyn = true };
    flow.nextSequence = flow.firstPacket.sequence + 1;
    send(flow.firstPacket);
}

const EntryProcess* FleetCaller::chooseEntryVm(const FlowPacket& packet) const
{
    std::vector<const EntryProcess*> allInZone;
    std::vector<const EntryProcess*> readyInZone;
    std::vector<const EntryProcess*> readyElsewhere;
    for (const auto& entryVm : entryVms_) {
        const bool isOwn = entryVm->options().zone == options_.zone;
        if (isOwn)
            allInZone.push_back(entryVm.get());
        if (entryVm->isInRotation())
            (isOwn ? readyInZone : readyElsewhere).push_back(entryVm.get());
    }
    const auto* candidates = &readyInZone;
    if (readyInZone.empty() && !readyElsewhere.empty())
        candidates = &readyElsewhere;
    else if (2 * readyInZone.size() < allInZone.size())
        candidates = &allInZone;
    if (candidates->empty())
        return nullptr;
    const auto hash = Base::mix(packet.from.packed(), packet.to.packed());
    return *std::ranges::max_element(*candidates, {},
        [&](const EntryProcess* entryVm) { return Base::mix(hash, entryVm->options().data.packed()); });
}

void FleetCaller::send(const FlowPacket& packet)
{
    const auto* entryVm = chooseEntryVm(packet);
    if (entryVm == nullptr)
        return;
    const auto bytes = packet.write();
    sockaddr_in to {};
    to.sin_family = AF_INET;
    to.sin_addr.s_addr = htonl(entryVm->options().data.address.value);
    to.sin_port = htons(network_.dataPort);
    ::sendto(socket_, bytes.data(), bytes.size(), MSG_DONTWAIT, reinterpret_cast<sockaddr*>(&to), sizeof(to));
}

void FleetCaller::receive()
{
    std::array<uint8_t, 2048> buffer {};
    for (;;) {
        const auto count = ::recv(socket_, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (count < 0)
            return;
        const auto packet = FlowPacket::read(std::span(buffer).first(static_cast<std::size_t>(count)));
        if (!packet || (!packet->isChecksumValid && !(packet->isReset && packet->hasZeroChecksum))) {
            invariants_.recordCorruptPacket(loop_.now(), options_.address.toString());
            continue;
        }
        const auto found = flows_.find(packet->to.port);
        if (found != flows_.end() && found->second.firstPacket.to == packet->from)
            handlePacket(*packet, found->second);
    }
}

void FleetCaller::handlePacket(const FlowPacket& packet, Flow& flow)
{
    const auto port = flow.firstPacket.from.port;
    if (packet.isReset) {
        if (packet.hasZeroChecksum)
            invariants_.recordReset(loop_.now(), flow.firstPacket.from);
        const bool wasOpen = flow.isOpen;
        handleAttemptFailure(port, !wasOpen);
        return;
    }
    flow.echo = packet.echo;
    if (packet.isSyn && !flow.isOpen) {
        flow.isOpen = true;
        flow.nextServerSequence = packet.sequence + 1;
        sendRequest(flow);
        return;
    }
    if (!packet.data.empty() && flow.isAwaitingResponse && packet.data.substr(4) == flow.requestText)
        handleResponse(port, flow, packet.data.starts_with("503"));
}

void FleetCaller::sendRequest(Flow& flow)
{
    if (!flow.isAwaitingResponse) {
        flow.isAwaitingResponse = true;
        const auto& id = requests_.at(flow.request).id;
        flow.requestText = id + "\r\nX-Request-Id: " + id + "\r\n\r\n";
        flow.retransmissionInterval = firstRetransmissionDelay;
        flow.nextSequence += static_cast<uint32_t>(flow.requestText.size());
    }
    flow.retransmitAt = loop_.now() + flow.retransmissionInterval;
    FlowPacket packet { .from = flow.firstPacket.from,
        .to = flow.firstPacket.to,
        .sequence = flow.nextSequence - static_cast<uint32_t>(flow.requestText.size()),
        .acknowledged = flow.nextServerSequence,
        .echo = flow.echo,
        .isAck = true,
        .data = flow.requestText };
    send(packet);
}

void FleetCaller::closeFlow(uint16_t port, Flow& flow)
{
    send({ .from = flow.firstPacket.from,
        .to = flow.firstPacket.to,
        .sequence = flow.nextSequence,
        .acknowledged = flow.nextServerSequence,
        .echo = flow.echo,
        .isAck = true,
        .isFin = true });
    flows_.erase(port);
}

void FleetCaller::handleResponse(uint16_t port, Flow& flow, bool isRefused)
{
    flow.isAwaitingResponse = false;
    flow.nextServerSequence += static_cast<uint32_t>(flow.requestText.size()) + 4;
    auto& request = requests_.at(flow.request);
    if (isRefused) {
        closeFlow(port, flow);
        handleAttemptFailure(port, true);
        return;
    }
    invariants_.recordServed(loop_.now());
    if (request.followingRequests == 0 || stopping_) {
        requests_.erase(flow.request);
        closeFlow(port, flow);
        return;
    }
    // The next request uses the open flow and gets its own ID.
    --request.followingRequests;
    request.id += "+";
    loop_.after(persistentFlowPause, [this, port, number = flow.request, id = request.id] {
        const auto found = flows_.find(port);
        const auto kept = requests_.find(number);
        if (found == flows_.end() || kept == requests_.end() || kept->second.id != id)
            return;
        kept->second.startedAt = loop_.now();
        kept->second.deadline = loop_.now() + requestTimeout;
        kept->second.attempts = 1;
        sendRequest(found->second);
    });
}

void FleetCaller::handleAttemptFailure(uint16_t port, bool isKnownUnexecuted)
{
    const auto flow = flows_.find(port);
    uint64_t number = 0;
    if (flow != flows_.end()) {
        number = flow->second.request;
        flows_.erase(flow);
    } else {
        return;
    }
    const auto& request = requests_.at(number);
    const bool mayRetry = request.isIdempotent || isKnownUnexecuted;
    if (mayRetry && request.attempts < maximumAttempts && loop_.now() < request.deadline) {
        startAttempt(number);
        return;
    }
    invariants_.recordFailure(
        loop_.now(), request.id, std::chrono::duration_cast<Base::milliseconds>(loop_.now() - request.startedAt));
    requests_.erase(number);
}

void FleetCaller::tick()
{
    const auto now = loop_.now();
    std::vector<uint16_t> ports;
    for (const auto& [port, flow] : flows_)
        ports.push_back(port);
    for (const auto port : ports) {
        const auto found = flows_.find(port);
        if (found == flows_.end())
            continue;
        auto& flow = found->second;
        const auto& request = requests_.at(flow.request);
        if (!flow.isOpen) {
            const auto age = now
                - (flow.retransmitAt
                    - (flow.retransmissions == 0 ? firstRetransmissionDelay : secondRetransmissionDelay));
            if (flow.retransmissions == 2 ? age >= handshakeTimeout : now >= flow.retransmitAt) {
                if (flow.retransmissions == 2) {
                    handleAttemptFailure(port, true);
                    continue;
                }
                ++flow.retransmissions;
                if (flow.retransmissions == 1)
                    flow.retransmitAt += secondRetransmissionDelay - firstRetransmissionDelay;
                auto copy = flow.firstPacket;
                copy.acknowledged = static_cast<uint32_t>(flow.retransmissions);
                send(copy);
            }
        } else if (flow.isAwaitingResponse && now >= request.deadline) {
            handleAttemptFailure(port, false);
        } else if (flow.isAwaitingResponse && now >= flow.retransmitAt) {
            flow.retransmissionInterval = std::min(maximumRetransmissionInterval, flow.retransmissionInterval * 2);
            sendRequest(flow);
        }
    }
}

}
