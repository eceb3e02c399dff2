#include <LibPeer/PeerTransport.h>

#include <LibPeer/Sockets.h>
#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Peer {

namespace {

    constexpr std::size_t maximumEventsPerPoll = 64;
    constexpr Base::seconds idleCheckInterval { 1 };

}

Base::ErrorOr<std::unique_ptr<PeerTransport>> PeerTransport::create(Options options)
{
    TRY_ASSIGN(authenticator, Authenticator::create(options.keys));
    TRY_ASSIGN(listener, listenTcp(options.listen));
    const int epollDescriptor = ::epoll_create1(EPOLL_CLOEXEC);
    if (epollDescriptor < 0) {
        ::close(listener);
        return Base::makeError(Base::ErrorCode::System, "epoll_create1 failed");
    }
    epoll_event event { .events = EPOLLIN, .data = { .fd = listener } };
    ::epoll_ctl(epollDescriptor, EPOLL_CTL_ADD, listener, &event);
    if (!options.self.isValid())
        options.self = Base::EntryVmId::fromEndpoint(localEndpoint(listener));
    return std::unique_ptr<PeerTransport>(
        new PeerTransport(std::move(options), std::move(authenticator), listener, epollDescriptor));
}

PeerTransport::PeerTransport(Options options, Authenticator authenticator, int listener, int epollDescriptor)
    : options_(std::move(options))
    , authenticator_(std::move(authenticator))
    , listener_(listener)
    , epollDescriptor_(epollDescriptor)
    , random_(options_.seed)
{
}

PeerTransport::~PeerTransport()
{
    ::close(listener_);
    ::close(epollDescriptor_);
}

Base::Ipv4Endpoint PeerTransport::endpoint() const { return localEndpoint(listener_); }

void PeerTransport::updateEpollEvents(const Connection& connection, bool isNew)
{
    const bool wantsWrite = connection.isConnecting() || connection.hasOutput();
    uint32_t events = EPOLLIN;
    if (wantsWrite)
        events |= EPOLLOUT;
    epoll_event event { .events = events, .data = { .fd = connection.socket() } };
    ::epoll_ctl(epollDescriptor_, isNew ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, connection.socket(), &event);
}

bool PeerTransport::send(Base::TimePoint now, Base::EntryVmId to, Channel channel, std::vector<std::byte> payload)
{
    auto& outgoing = outgoing_[to];
    if (!outgoing.connection && !connect(now, outgoing, to)) {
        ++statistics_.queueFull;
        return false;
    }
    const Envelope envelope { .channel = channel,
        .sender = options_.self,
        .incarnation = options_.incarnation,
        .sequence = ++sequence_,
        .payload = std::move(payload) };
    auto frame = encodeFrame(envelope, authenticator_);
    const auto bytes = frame.size();
    if (!outgoing.connection->queue(std::move(frame))) {
        ++statistics_.queueFull;
        return false;
    }
    ++statistics_.framesSent;
    statistics_.bytesSent += bytes;
    outgoing.connection->markUsed(now);
    updateEpollEvents(*outgoing.connection, false);
    return true;
}

bool PeerTransport::connect(Base::TimePoint now, Outgoing& outgoing, Base::EntryVmId to)
{
    if (now < outgoing.nextAttempt)
        return false;
    const auto socket = Base::capture([&] { return startConnecting(to.endpoint()); });
    if (!socket.isOk()) {
        closeAndBackOff(now, outgoing);
        return false;
    }
    outgoing.connection = std::make_unique<Connection>(*socket.value, options_.bounds, true);
    outgoing.connection->markUsed(now);
    outgoingBySocket_[*socket.value] = to;
    updateEpollEvents(*outgoing.connection, true);
    return true;
}

void PeerTransport::closeAndBackOff(Base::TimePoint now, Outgoing& outgoing)
{
    if (outgoing.connection)
        outgoingBySocket_.erase(outgoing.connection->socket());
    outgoing.connection.reset();
    outgoing.backoff = std::clamp(outgoing.backoff * 2, options_.minimumBackoff, options_.maximumBackoff);
    const auto jittered = Base::nanoseconds(outgoing.backoff) / 2
        + Base::nanoseconds(random_.below(static_cast<uint64_t>(Base::nanoseconds(outgoing.backoff).count())));
    outgoing.nextAttempt = now + jittered;
}

void PeerTransport::poll(Base::TimePoint now, Base::milliseconds atMost)
{
    std::array<epoll_event, maximumEventsPerPoll> events {};
    const int ready = ::epoll_wait(
        epollDescriptor_, events.data(), static_cast<int>(events.size()), static_cast<int>(atMost.count()));
    for (int index = 0; index < ready; ++index) {
        const auto& event = events[static_cast<std::size_t>(index)];
        const int socket = event.data.fd;
        if (socket == listener_) {
            accept(now);
        } else if (const auto found = outgoingBySocket_.find(socket); found != outgoingBySocket_.end()) {
            handleOutgoing(now, found->second, event.events);
        } else {
            handleInbound(now, socket, event.events);
        }
    }
    if (now >= nextIdleCheck_) {
        nextIdleCheck_ = now + idleCheckInterval;
        closeIdle(now);
    }
}

void PeerTransport::accept(Base::TimePoint now)
{
    for (;;) {
        const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (socket < 0)
            return;
        if (inbound_.size() >= options_.maximumInboundConnections) {
            ::close(socket);
            ++statistics_.connectionsRefused;
            continue;
        }
        auto connection = std::make_unique<Connection>(socket, options_.bounds, false);
        connection->markUsed(now);
        updateEpollEvents(*connection, true);
        inbound_[socket] = std::move(connection);
    }
}

void PeerTransport::handleOutgoing(Base::TimePoint now, Base::EntryVmId to, uint32_t events)
{
    auto& outgoing = outgoing_[to];
    auto& connection = *outgoing.connection;
    const bool wasConnecting = connection.isConnecting();
    bool alive = (events & (EPOLLERR | EPOLLHUP)) == 0;
    if (alive && (events & EPOLLOUT) != 0)
        alive = connection.handleWritable();
    if (alive && (events & EPOLLIN) != 0) {
        // Peers never send on connections opened by this side: received data or an end of stream makes one unusable.
        alive = false;
    }
    if (!alive) {
        statistics_.connectFailures += wasConnecting ? 1 : 0;
        statistics_.connectionsLost += connection.hasOutput() ? 1 : 0;
        closeAndBackOff(now, outgoing);
        return;
    }
    if (wasConnecting && !connection.isConnecting())
        outgoing.backoff = Base::milliseconds(0);
    updateEpollEvents(connection, false);
}

void PeerTransport::handleInbound(Base::TimePoint now, int socket, uint32_t events)
{
    const auto found = inbound_.find(socket);
    if (found == inbound_.end())
        return;
    if (!processInbound(now, *found->second, events)) {
        inbound_.erase(socket);
        return;
    }
    updateEpollEvents(*found->second, false);
}

bool PeerTransport::processInbound(Base::TimePoint now, Connection& connection, uint32_t events)
{
    if ((events & EPOLLERR) != 0)
        return false;
    if ((events & EPOLLOUT) != 0 && !connection.handleWritable())
        return false;
    if ((events & (EPOLLIN | EPOLLHUP)) == 0)
        return true;
    std::vector<std::vector<std::byte>> bodies;
    const auto alive = Base::capture([&] { return connection.handleReadable(bodies); });
    connection.markUsed(now);
    for (const auto& body : bodies)
        handleFrame(connection, body);
    if (alive.isOk())
        return *alive.value;
    ++(alive.error.code == Base::ErrorCode::TooLarge ? statistics_.tooLarge : statistics_.malformed);
    return false;
}

void PeerTransport::handleFrame(Connection& connection, std::span<const std::byte> body)
{
    auto envelope = Base::capture([&] { return decodeFrame(body, authenticator_); });
    if (!envelope.isOk()) {
        const bool isUnauthenticated = envelope.error.code == Base::ErrorCode::Unauthenticated;
        ++(isUnauthenticated ? statistics_.unauthenticatedFrames : statistics_.malformed);
        return;
    }
    ++statistics_.framesReceived;
    statistics_.bytesReceived += frameLengthBytes + body.size();
    handleEnvelope(connection, std::move(*envelope.value));
}

void PeerTransport::handleEnvelope(Connection& connection, Envelope&& envelope)
{
    const bool isRequest = envelope.channel == Channel::Query || envelope.channel == Channel::Probe;
    if (isRequest) {
        Envelope response { .channel = envelope.channel,
            .sender = options_.self,
            .incarnation = options_.incarnation,
            .sequence = ++sequence_,
            .replyTo = envelope.sequence,
            .payload = options_.onRequest(envelope.channel, envelope.payload) };
        if (!connection.queue(encodeFrame(response, authenticator_)))
            ++statistics_.queueFull;
        return;
    }
    if (!envelope.sender.isValid() || envelope.sender == options_.self) {
        ++statistics_.malformed;
        return;
    }
    if (!replayGuard_.recordIfNewer(envelope)) {
        ++statistics_.replays;
        return;
    }
    resetBackoff(envelope.sender);
    options_.onMessage(std::move(envelope));
}

void PeerTransport::resetBackoff(Base::EntryVmId peer)
{
    const auto found = outgoing_.find(peer);
    if (found == outgoing_.end() || found->second.connection)
        return;
    found->second.backoff = Base::milliseconds(0);
    found->second.nextAttempt = {};
}

void PeerTransport::closeIdle(Base::TimePoint now)
{
    for (auto entry = outgoing_.begin(); entry != outgoing_.end();) {
        auto& outgoing = entry->second;
        const bool isIdle = outgoing.connection && !outgoing.connection->hasOutput()
            && now - outgoing.connection->lastUsed() > options_.idleTimeout;
        if (isIdle) {
            outgoingBySocket_.erase(outgoing.connection->socket());
            outgoing.connection.reset();
        }
        const bool isExpired = !outgoing.connection && now - outgoing.nextAttempt > options_.idleTimeout;
        entry = isExpired ? outgoing_.erase(entry) : std::next(entry);
    }
    std::erase_if(
        inbound_, [&](const auto& entry) { return now - entry.second->lastUsed() > 2 * options_.idleTimeout; });
}

}
