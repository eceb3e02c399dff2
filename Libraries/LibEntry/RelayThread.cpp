#include <LibEntry/RelayThread.h>

#include <LibEntry/Events.h>
#include <LibMirror/RelayMessage.h>

namespace Entry {

namespace {

    constexpr std::size_t responseBytesLimit = std::size_t { 128 } * 1024;
    /// A single record of the store's maximum size must fit.
    constexpr std::size_t sendQueueBytesLimit = std::size_t { 4 } * 1024 * 1024;
    constexpr Base::milliseconds pollTimeout { 200 };
    constexpr Base::milliseconds completeStateLifetime { 500 };

}

Base::ErrorOr<std::unique_ptr<RelayThread>> RelayThread::create(const EntrySettings& settings, StateFeed& feed)
{
    std::unique_ptr<RelayThread> relay(new RelayThread(feed));
    TRY_ASSIGN(transport,
        Peer::PeerTransport::create({ .listen = settings.control.endpoint,
            .keys = settings.control.keys,
            .bounds = { .maximumQueuedBytes = sendQueueBytesLimit },
            .onMessage = [](Peer::Envelope&&) {},
            .onRequest = [relay = relay.get()](Peer::Channel,
                             std::span<const std::byte> payload) { return relay->handleRequest(payload); } }));
    relay->transport_ = std::move(transport);
    return relay;
}

void RelayThread::start()
{
    worker_.start([this] {
        while (!worker_.isStopping())
            transport_->poll(std::chrono::steady_clock::now(), pollTimeout);
    });
}

std::vector<std::byte> RelayThread::handleRequest(std::span<const std::byte> payload)
{
    const auto request = Base::capture([&] { return Mirror::decodeRelayRequest(payload); });
    // An empty response does not decode, so that the client tries another peer.
    if (!request.isOk() || !feed_.isSynchronized())
        return {};
    const auto position = feed_.position();
    if (request.value->after.revision == 0 || request.value->after.era != position.era)
        return completeState();
    if (cachedResponse_.empty() || cachedAfter_ != request.value->after || cachedPosition_ != position) {
        cachedResponse_ = Mirror::encodeBatch(feed_.changesAfter(request.value->after, responseBytesLimit));
        cachedAfter_ = request.value->after;
        cachedPosition_ = position;
    }
    return cachedResponse_;
}

const std::vector<std::byte>& RelayThread::completeState()
{
    const auto now = std::chrono::steady_clock::now();
    const auto era = feed_.position().era;
    if (completeState_.empty() || completeStateEra_ != era || now - completeStateAt_ > completeStateLifetime) {
        completeState_ = Mirror::encodeBatch(feed_.changesAfter({}, responseBytesLimit));
        completeStateEra_ = era;
        completeStateAt_ = now;
    }
    return completeState_;
}

}
