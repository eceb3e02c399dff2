#include <LibEntry/CatchUpThread.h>

#include <LibEntry/Events.h>
#include <LibLog/Log.h>
#include <LibMirror/RelayMessage.h>
#include <LibSteering/Process/DisseminationTimes.h>

namespace Entry {

namespace {

    /// The store responds to the first call within a few milliseconds.
    constexpr Base::milliseconds initialStoreTimeout { 150 };
    constexpr Base::milliseconds unsynchronizedRetryInterval { 100 };
    constexpr Base::milliseconds idleCheckInterval { 5000 };
    /// Responses are split into parts of about 128 KiB, but a single record may be 1 MB.
    constexpr std::size_t maximumResponseBytes = std::size_t { 4 } * 1024 * 1024;

}

CatchUpThread::CatchUpThread(const EntrySettings& settings, StateFeed& feed)
    : settings_(settings)
    , feed_(feed)
    , relayChoice_({ .seed = Base::hashText(settings.name) })
    , seeds_(settings.control.seeds)
{
}

void CatchUpThread::setSeeds(std::vector<Base::Ipv4Endpoint> seeds)
{
    const std::scoped_lock lock(mutex_);
    seeds_ = std::move(seeds);
}

void CatchUpThread::askInitially(std::vector<Base::EntryVmId> peers)
{
    {
        const std::scoped_lock lock(mutex_);
        initialPeers_ = std::move(peers);
    }
    worker_.wake();
}

void CatchUpThread::start()
{
    worker_.start([this] { run(); });
}

void CatchUpThread::updateCandidatePeer(
    Base::TimePoint now, Base::EntryVmId peer, Base::StorePosition position, bool isUrgent)
{
    const auto own = feed_.position();
    if (position <= own)
        return;
    {
        const std::scoped_lock lock(mutex_);
        if (!relayChoice_.handleReport(now, peer, position, isUrgent, own))
            return;
    }
    worker_.wake();
}

std::optional<Steering::RelayChoice::Fetch> CatchUpThread::selectFetch(Base::TimePoint now)
{
    const std::scoped_lock lock(mutex_);
    if (const auto fetch = relayChoice_.next(now, feed_.position()))
        return fetch;
    if (feed_.isSynchronized())
        return std::nullopt;
    if (!initialPeers_.empty())
        return Steering::RelayChoice::Fetch { .peer = initialPeers_[nextInitialPeer_++ % initialPeers_.size()],
            .dueAt = now };
    if (seeds_.empty())
        return std::nullopt;
    const auto seed = Base::EntryVmId::fromEndpoint(seeds_[nextSeed_++ % seeds_.size()]);
    if (seed == settings_.identity())
        return std::nullopt;
    return Steering::RelayChoice::Fetch { .peer = seed, .dueAt = now };
}

void CatchUpThread::run()
{
    worker_.pause(initialStoreTimeout);
    while (!worker_.isStopping()) {
        const auto now = std::chrono::steady_clock::now();
        const auto fetch = selectFetch(now);
        if (!fetch) {
            worker_.pause(feed_.isSynchronized() ? idleCheckInterval : unsynchronizedRetryInterval);
            continue;
        }
        if (fetch->dueAt > now) {
            worker_.pause(std::chrono::ceil<Base::milliseconds>(fetch->dueAt - now));
            continue;
        }
        const bool hasAdvanced = fetchFrom(fetch->peer);
        {
            const std::scoped_lock lock(mutex_);
            if (hasAdvanced)
                relayChoice_.handleSuccess(fetch->peer);
            else
                relayChoice_.handleFailure(std::chrono::steady_clock::now(), fetch->peer);
        }
        if (!hasAdvanced && !feed_.isSynchronized())
            worker_.pause(unsynchronizedRetryInterval);
    }
}

Base::ErrorOr<void> CatchUpThread::fetchAll(Base::EntryVmId peer, const std::string& source)
{
    if (!client_ || clientPeer_ != peer) {
        TRY_ASSIGN(client,
            Peer::QueryClient::create({ .endpoint = peer.endpoint(),
                .keys = settings_.control.keys,
                .timeout = Steering::DisseminationTimes::relayStepTimeout,
                .maximumFrameBytes = maximumResponseBytes,
                .restartTimeoutOnData = true }));
        client_.emplace(std::move(client));
        clientPeer_ = peer;
    }
    auto after = feed_.isSynchronized() ? feed_.position() : Base::StorePosition {};
    for (;;) {
        TRY_ASSIGN(
            response, client_->sendRequest(Peer::Channel::Query, Mirror::encodeRelayRequest({ .after = after })));
        TRY_ASSIGN(part, Mirror::decodeBatch(response));
        feed_.apply(part, source);
        if (!part.hasMore)
            return {};
        after = part.end();
    }
}

bool CatchUpThread::fetchFrom(Base::EntryVmId peer)
{
    const auto source = peer.endpoint().toString();
    const auto before = feed_.position();
    if (const auto error = Base::captureError([&] { return fetchAll(peer, source); })) {
        client_.reset();
        Log::write(Events::peerFetchFailed, Log::Fields().add("peer", source).add("error", error->detail));
        return false;
    }
    const auto reached = feed_.position();
    Log::write(Events::caughtUp,
        Log::Fields()
            .add("peer", source)
            .add("from", before.revision)
            .add("to", reached.revision)
            .add("era", reached.era));
    return reached > before;
}

}
