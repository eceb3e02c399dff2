#include <LibEntry/RelayThread.h>

#include <LibEntry/Events.h>
#include <LibMirror/RelayMessage.h>

namespace Entry {

namespace {

    constexpr std::size_t answerBytes = std::size_t { 128 } * 1024;
    /// One answer may hold one record of the store's largest size.
    constexpr std::size_t queuedBytes = std::size_t { 4 } * 1024 * 1024;
    constexpr Base::milliseconds pollTime { 200 };

}

Base::ErrorOr<std::unique_ptr<RelayThread>> RelayThread::create(const EntrySettings& settings, BeliefFeed& feed)
{
    std::unique_ptr<RelayThread> relay(new RelayThread(feed));
    TRY_ASSIGN(transport,
        Peer::PeerTransport::create({ .listen = settings.control.endpoint,
            .keys = settings.control.keys,
            .bounds = { .maximumQueuedBytes = queuedBytes },
            .onMessage = [](Peer::Envelope&&) {},
            .onQuestion = [relay = relay.get()](Peer::Channel,
                              std::span<const std::byte> question) { return relay->answer(question); } }));
    relay->transport_ = std::move(transport);
    return relay;
}

void RelayThread::start()
{
    worker_.start([this] {
        while (!worker_.isStopping())
            transport_->poll(std::chrono::steady_clock::now(), pollTime);
    });
}

std::vector<std::byte> RelayThread::answer(std::span<const std::byte> question)
{
    const auto asked = Base::capture([&] { return Mirror::decodeQuestion(question); });
    // An answer that decodes to nothing tells the asker to look elsewhere.
    if (!asked.isOk() || !feed_.isSynchronized())
        return {};
    const auto revision = feed_.revision();
    if (lastAnswer_.empty() || answeredAfter_ != asked.value->after || answeredRevision_ != revision) {
        lastAnswer_ = Mirror::encodeBatch(feed_.changesAfter(asked.value->after, answerBytes));
        answeredAfter_ = asked.value->after;
        answeredRevision_ = revision;
    }
    return lastAnswer_;
}

}
