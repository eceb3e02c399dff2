#include <LibFleet/FleetCaller.h>

#include <LibPeer/Sockets.h>
#include <algorithm>
#include <array>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace StandIn {

namespace {

    /// As the users' pages say of their callers.
    constexpr Base::milliseconds secondCopyAt { 200 };
    constexpr Base::milliseconds thirdCopyAt { 600 };
    constexpr Base::milliseconds openingTime { 1400 };
    constexpr Base::milliseconds deadline { 3000 };
    constexpr Base::milliseconds longestResend { 1600 };
    constexpr int maximumTries = 3;
    constexpr Base::milliseconds tickInterval { 20 };
    constexpr Base::milliseconds keptFlowPause { 300 };

}

FleetCaller::FleetCaller(EventLoop& loop, Ledger& ledger, const Network& network,
    const std::vector<std::unique_ptr<EntryProcess>>& entryVms, Options options)
    : loop_(loop)
    , ledger_(ledger)
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
    const auto pause = Base::microseconds(static_cast<int64_t>(2e6 * random_.unit() / options_.requestsPerSecond));
    loop_.after(pause, [this] {
        if (finishing_)
            return;
        beginRequest();
        scheduleNext();
    });
}

void FleetCaller::beginRequest()
{
    const auto number = nextRequest_++;
    Request request { .isIdempotent = random_.chance(0.7), .begun = loop_.now(), .deadline = loop_.now() + deadline };
    const auto& routes = request.isIdempotent ? options_.views : options_.claims;
    request.route = routes[random_.below(routes.size())];
    request.id
        = (request.isIdempotent ? "view-" : "claim-") + options_.address.toString() + "-" + std::to_string(number);
    request.following = random_.chance(options_.keptFlows) ? static_cast<int>(1 + random_.below(4)) : 0;
    requests_[number] = request;
    beginTry(number);
}

void FleetCaller::beginTry(uint64_t number)
{
    auto& request = requests_.at(number);
    ++request.tries;
    if (++nextPort_ == 0)
        nextPort_ = 1024;
    auto& flow = flows_[nextPort_];
    flow = { .request = number, .resendAt = loop_.now() + secondCopyAt };
    flow.first = { .from = { .address = options_.address, .port = nextPort_ },
        .to = request.route,
        .sequence = static_cast<uint32_t>(random_.next()),
        .isSyn = true };
    flow.nextSequence = flow.first.sequence + 1;
    send(flow.first);
}

const EntryProcess* FleetCaller::chooseEntryVm(const FlowPacket& packet) const
{
    std::vector<const EntryProcess*> own;
    std::vector<const EntryProcess*> ready;
    std::vector<const EntryProcess*> elsewhere;
    for (const auto& entryVm : entryVms_) {
        const bool isOwn = entryVm->options().zone == options_.zone;
        if (isOwn)
            own.push_back(entryVm.get());
        if (entryVm->isInRotation())
            (isOwn ? ready : elsewhere).push_back(entryVm.get());
    }
    const auto* candidates = &ready;
    if (ready.empty() && !elsewhere.empty())
        candidates = &elsewhere;
    else if (2 * ready.size() < own.size())
        candidates = &own;
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
        if (!packet || (!packet->isGenuine && !(packet->isReset && packet->hasNoSum))) {
            ledger_.forgedPacket(loop_.now(), options_.address.toString());
            continue;
        }
        const auto found = flows_.find(packet->to.port);
        if (found != flows_.end() && found->second.first.to == packet->from)
            take(*packet, found->second);
    }
}

void FleetCaller::take(const FlowPacket& packet, Flow& flow)
{
    const auto port = flow.first.from.port;
    if (packet.isReset) {
        if (packet.hasNoSum)
            ledger_.resetSeen(loop_.now(), flow.first.from);
        const bool wasOpen = flow.isOpen;
        tryFailed(port, !wasOpen);
        return;
    }
    flow.echo = packet.echo;
    if (packet.isSyn && !flow.isOpen) {
        flow.isOpen = true;
        flow.serverNext = packet.sequence + 1;
        sendRequest(flow);
        return;
    }
    if (!packet.data.empty() && flow.isWaiting && packet.data.substr(4) == flow.sent)
        answered(port, flow, packet.data.starts_with("503"));
}

void FleetCaller::sendRequest(Flow& flow)
{
    if (!flow.isWaiting) {
        flow.isWaiting = true;
        const auto& id = requests_.at(flow.request).id;
        flow.sent = id + "\r\nX-Request-Id: " + id + "\r\n\r\n";
        flow.resendAfter = secondCopyAt;
        flow.nextSequence += static_cast<uint32_t>(flow.sent.size());
    }
    flow.resendAt = loop_.now() + flow.resendAfter;
    FlowPacket packet { .from = flow.first.from,
        .to = flow.first.to,
        .sequence = flow.nextSequence - static_cast<uint32_t>(flow.sent.size()),
        .acknowledged = flow.serverNext,
        .echo = flow.echo,
        .isAck = true,
        .data = flow.sent };
    send(packet);
}

void FleetCaller::endFlow(uint16_t port, Flow& flow)
{
    send({ .from = flow.first.from,
        .to = flow.first.to,
        .sequence = flow.nextSequence,
        .acknowledged = flow.serverNext,
        .echo = flow.echo,
        .isAck = true,
        .isFin = true });
    flows_.erase(port);
}

void FleetCaller::answered(uint16_t port, Flow& flow, bool isRefused)
{
    flow.isWaiting = false;
    flow.serverNext += static_cast<uint32_t>(flow.sent.size()) + 4;
    auto& request = requests_.at(flow.request);
    if (isRefused) {
        endFlow(port, flow);
        tryFailed(port, true);
        return;
    }
    ledger_.served(loop_.now());
    if (request.following == 0 || finishing_) {
        requests_.erase(flow.request);
        endFlow(port, flow);
        return;
    }
    // The next request on the open flow, with an id of its own.
    --request.following;
    request.id += "+";
    loop_.after(keptFlowPause, [this, port, number = flow.request, id = request.id] {
        const auto found = flows_.find(port);
        const auto kept = requests_.find(number);
        if (found == flows_.end() || kept == requests_.end() || kept->second.id != id)
            return;
        kept->second.begun = loop_.now();
        kept->second.deadline = loop_.now() + deadline;
        kept->second.tries = 1;
        sendRequest(found->second);
    });
}

void FleetCaller::tryFailed(uint16_t port, bool nothingRan)
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
    const bool mayRetry = request.isIdempotent || nothingRan;
    if (mayRetry && request.tries < maximumTries && loop_.now() < request.deadline) {
        beginTry(number);
        return;
    }
    ledger_.failed(
        loop_.now(), request.id, std::chrono::duration_cast<Base::milliseconds>(loop_.now() - request.begun));
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
            const auto age = now - (flow.resendAt - (flow.copies == 0 ? secondCopyAt : thirdCopyAt));
            if (flow.copies == 2 ? age >= openingTime : now >= flow.resendAt) {
                if (flow.copies == 2) {
                    tryFailed(port, true);
                    continue;
                }
                ++flow.copies;
                if (flow.copies == 1)
                    flow.resendAt += thirdCopyAt - secondCopyAt;
                auto copy = flow.first;
                copy.acknowledged = static_cast<uint32_t>(flow.copies);
                send(copy);
            }
        } else if (flow.isWaiting && now >= request.deadline) {
            tryFailed(port, false);
        } else if (flow.isWaiting && now >= flow.resendAt) {
            flow.resendAfter = std::min(longestResend, flow.resendAfter * 2);
            sendRequest(flow);
        }
    }
}

}
