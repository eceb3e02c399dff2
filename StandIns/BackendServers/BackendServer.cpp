#include "BackendServer.h"

#include <algorithm>

namespace StandIn {

static constexpr double coldSlowdownFactor = 4.0;
static constexpr Base::milliseconds tickInterval { 20 };

BackendServer::BackendServer(Options options)
    : options_(std::move(options))
    , random_(options_.seed)
{
}

void BackendServer::attachTo(EventLoop& loop)
{
    loop_ = &loop;
    startedAt_ = loop.now();
    loop.watch(options_.tunnel.descriptor(), [this] { receiveAll(); });
    loop.every(tickInterval, [this] { tickConnections(); });
}

void BackendServer::restart()
{
    connectionsByService_.clear();
    queue_.clear();
    openConnections_ = 0;
    inFlight_ = 0;
    generation_++;
    load_.startToken++;
    load_.connections = 0;
    load_.slotsInUse = 0;
    startedAt_ = loop_->now();
}

void BackendServer::receiveAll()
{
    while (auto datagram = options_.tunnel.receive()) {
        const auto packet = parse(datagram->bytes);
        if (!packet)
            continue;
        if (packet->transport == Transport::Tcp)
            handleTcpPacket(*packet);
        else if (packet->transport == Transport::Udp)
            handleUdpPacket(*packet);
    }
}

void BackendServer::handleTcpPacket(const WirePacket& packet)
{
    auto& connections = connectionsByService_[packet.destination];
    auto found = connections.find(packet.source);
    const bool isFirst = (packet.flags & TcpSyn) != 0;
    if (found != connections.end() && isFirst && found->second.flow->state() != TcpFlow::State::SynReceived) {
        connections.erase(found);
        found = connections.end();
        openConnections_--;
    }
    if (found == connections.end()) {
        if (isFirst)
            openConnection(packet);
        else if ((packet.flags & TcpReset) == 0)
            sendReset(packet);
        return;
    }
    found->second.flow->receive(loop_->now(), packet);
    readRequests(packet.source, packet.destination, found->second.buffer);
    if (found->second.flow->remoteHasClosed())
        found->second.flow->close(loop_->now());
    removeEndedConnections();
}

void BackendServer::openConnection(const WirePacket& synPacket)
{
    if (openConnections_ >= options_.connections) {
        shedCount_++;
        sendReset(synPacket);
        return;
    }
    auto& connection = connectionsByService_[synPacket.destination][synPacket.source];
    connection.flow = std::make_unique<TcpFlow>(TcpFlow::Options {
        .local = synPacket.destination,
        .remote = synPacket.source,
        .initialSequence = static_cast<uint32_t>(random_.next()),
        .sendPacket = [this](const WirePacket& packet) { sendPacket(packet); },
        .onData = [buffer = &connection.buffer](std::string_view data) { buffer->append(data); },
    });
    openConnections_++;
    peakConnections_ = std::max(peakConnections_, openConnections_);
    load_.connections = openConnections_;
    connection.flow->accept(loop_->now(), synPacket);
}

void BackendServer::readRequests(Ipv4Endpoint caller, Ipv4Endpoint service, std::string& buffer)
{
    while (auto line = extractLine(buffer)) {
        if (const auto request = decodeRequest(*line))
            submitWork({ .caller = caller, .service = service, .transport = Transport::Tcp, .request = *request });
    }
}

void BackendServer::handleUdpPacket(const WirePacket& packet)
{
    std::string buffer = packet.payload;
    while (auto line = extractLine(buffer)) {
        if (const auto request = decodeRequest(*line))
            submitWork({ .caller = packet.source,
                .service = packet.destination,
                .transport = Transport::Udp,
                .request = *request });
    }
}

void BackendServer::submitWork(QueuedWork work)
{
    if (inFlight_ < options_.slots) {
        startWork(std::move(work));
        return;
    }
    queuedCount_++;
    if (queue_.size() < options_.queueLimit) {
        queue_.push_back(std::move(work));
        return;
    }
    shedCount_++;
}

Base::nanoseconds BackendServer::drawServiceTime()
{
    const double mean = std::chrono::duration<double>(options_.serviceTime).count();
    const double warmShare = options_.warmUpDuration.count() == 0
        ? 1.0
        : std::min(1.0,
            Base::toSeconds(loop_->now() - startedAt_)
                / std::chrono::duration<double>(options_.warmUpDuration).count());
    const double slowdown = coldSlowdownFactor - (coldSlowdownFactor - 1.0) * warmShare;
    const double drawn = mean * slowdown * (0.5 + random_.unit());
    return std::chrono::duration_cast<Base::nanoseconds>(std::chrono::duration<double>(drawn));
}

void BackendServer::startWork(QueuedWork work)
{
    inFlight_++;
    peakInFlight_ = std::max(peakInFlight_, inFlight_);
    load_.slotsInUse = inFlight_;
    options_.ledger->recordStart(work.request, options_.service);
    loop_->after(drawServiceTime(), [this, work = std::move(work), generation = generation_] {
        if (generation == generation_)
            finishWork(work);
    });
}

void BackendServer::finishWork(const QueuedWork& work)
{
    inFlight_--;
    sendResponse(work);
    responseCount_++;
    if (!queue_.empty()) {
        auto next = std::move(queue_.front());
        queue_.pop_front();
        startWork(std::move(next));
    }
    load_.slotsInUse = inFlight_;
}

void BackendServer::sendResponse(const QueuedWork& work)
{
    const bool isBodyOmitted = work.transport == Transport::Udp;
    const auto text = encodeResponse(
        { .id = work.request.id, .backendServer = options_.name, .failureDomain = options_.failureDomain },
        isBodyOmitted);
    if (isBodyOmitted) {
        sendPacket(
            { .source = work.service, .destination = work.caller, .transport = Transport::Udp, .payload = text });
        return;
    }
    auto& connections = connectionsByService_[work.service];
    const auto found = connections.find(work.caller);
    if (found != connections.end())
        found->second.flow->write(loop_->now(), text);
}

void BackendServer::sendPacket(const WirePacket& packet)
{
    if (const auto balancer = options_.balancers->pick())
        options_.tunnel.send(*balancer, serialize(packet));
}

void BackendServer::sendReset(const WirePacket& to)
{
    const bool isFirst = (to.flags & TcpSyn) != 0;
    if (!isFirst)
        unknownFlowResetCount_++;
    sendPacket({ .source = to.destination,
        .destination = to.source,
        .transport = Transport::Tcp,
        .flags = TcpReset | TcpAck,
        .sequence = isFirst ? 0 : to.acknowledgement,
        .acknowledgement = to.sequence + (isFirst ? 1 : static_cast<uint32_t>(to.payload.size())) });
}

void BackendServer::tickConnections()
{
    for (auto& [service, connections] : connectionsByService_) {
        for (auto& [caller, connection] : connections)
            connection.flow->tick(loop_->now());
    }
    removeEndedConnections();
}

void BackendServer::removeEndedConnections()
{
    openConnections_ = 0;
    for (auto& [service, connections] : connectionsByService_) {
        std::erase_if(connections, [](const auto& entry) {
            const auto state = entry.second.flow->state();
            return state == TcpFlow::State::Closed || state == TcpFlow::State::Reset
                || state == TcpFlow::State::TimedOut;
        });
        openConnections_ += static_cast<unsigned>(connections.size());
    }
    load_.connections = openConnections_;
}

nlohmann::json BackendServer::report() const
{
    return {
        { "name", options_.name },
        { "service", options_.service },
        { "failure_domain", options_.failureDomain },
        { "slots", options_.slots },
        { "connections", options_.connections },
        { "peak_slots", peakInFlight_ },
        { "peak_connections", peakConnections_ },
        { "answered", responseCount_ },
        { "queued", queuedCount_ },
        { "shed", shedCount_ },
        { "unknown_flow_resets", unknownFlowResetCount_ },
    };
}

}
