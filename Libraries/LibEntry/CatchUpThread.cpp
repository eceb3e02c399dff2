#include <LibEntry/CatchUpThread.h>

#include <LibEntry/Events.h>
#include <LibLog/Log.h>
#include <LibMirror/RelayMessage.h>

namespace Entry {

namespace {

    /// The store's own update arrives within about 250 ms, the interval over which changes are batched. Fetching from a
    /// peer in another failure domain before that would only cost traffic between the domains.
    constexpr Base::milliseconds storeUpdateTimeout { 600 };
    /// The store responds to the first call within a few milliseconds.
    constexpr Base::milliseconds initialStoreTimeout { 150 };
    constexpr Base::milliseconds responseTimeout { 500 };
    constexpr Base::milliseconds unsynchronizedRetryInterval { 100 };
    constexpr Base::milliseconds synchronizedRetryInterval { 5000 };
    /// Responses are split into parts of about 128 KiB, but a single record may be 1 MB.
    constexpr std::size_t maximumResponseBytes = std::size_t { 4 } * 1024 * 1024;

}

CatchUpThread::CatchUpThread(const EntrySettings& settings, StateFeed& feed)
    : settings_(settings)
    , feed_(feed)
    , random_(Base::hashText(settings.name))
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

void CatchUpThread::updateCandidatePeer(Base::EntryVmId peer, uint64_t revision, bool isUrgent)
{
    if (revision <= feed_.revision())
        return;
    {
        const std::scoped_lock lock(mutex_);
        if (revision < newestRevision_)
            return;
        // Picks at random among peers at the same revision, so that not every entry VM of a failure domain fetches
        // from the first one that received it. Near peers (isUrgent) are preferred.
        const bool isBetter = revision > newestRevision_ || (isUrgent && !isUrgent_);
        newestPeerCount_ = isBetter ? 1 : newestPeerCount_ + 1;
        const bool isChosen = isBetter || (isUrgent == isUrgent_ && random_.below(newestPeerCount_) == 0);
        if (isChosen) {
            newestPeer_ = peer;
            isUrgent_ = isUrgent;
        }
        if (!isBetter)
            return;
        newestRevision_ = revision;
    }
    worker_.wake();
}

CatchUpThread::Candidate CatchUpThread::selectPeer()
{
    const std::scoped_lock lock(mutex_);
    if (newestRevision_ > feed_.revision())
        return { .peer = newestPeer_, .isUrgent = isUrgent_ };
    if (feed_.isSynchronized())
        return {};
    if (!initialPeers_.empty())
        return { .peer = initialPeers_[nextInitialPeer_++ % initialPeers_.size()], .isUrgent = true };
    if (seeds_.empty())
        return {};
    const auto seed = seeds_[nextSeed_++ % seeds_.size()];
    if (Base::EntryVmId::fromEndpoint(seed) == settings_.identity())
        return {};
    return { .peer = Base::EntryVmId::fromEndpoint(seed), .isUrgent = true };
}

void CatchUpThread::run()
{
    worker_.pause(initialStoreTimeout);
    while (!worker_.isStopping()) {
        const auto candidate = selectPeer();
        if (!candidate.peer.isValid()) {
            worker_.pause(feed_.isSynchronized() ? synchronizedRetryInterval : unsynchronizedRetryInterval);
            continue;
        }
        if (!candidate.isUrgent) {
            worker_.pause(storeUpdateTimeout);
            if (!selectPeer().peer.isValid() || worker_.isStopping())
                continue;
        }
        if (fetchFrom(candidate.peer))
            continue;
        {
            // The next load report with a newer revision sets it again.
            const std::scoped_lock lock(mutex_);
            newestRevision_ = 0;
        }
        worker_.pause(feed_.isSynchronized() ? synchronizedRetryInterval : unsynchronizedRetryInterval);
    }
}

Base::ErrorOr<void> CatchUpThread::fetchAll(Base::EntryVmId peer, const std::string& source)
{
    if (!client_ || clientPeer_ != peer) {
        TRY_ASSIGN(client,
            Peer::QueryClient::create({ .endpoint = peer.endpoint(),
                .keys = settings_.control.keys,
                .timeout = responseTimeout,
                .maximumFrameBytes = maximumResponseBytes,
                .restartTimeoutOnData = true }));
        client_.emplace(std::move(client));
        clientPeer_ = peer;
    }
    uint64_t after = feed_.isSynchronized() ? feed_.revision() : 0;
    for (;;) {
        TRY_ASSIGN(
            response, client_->sendRequest(Peer::Channel::Query, Mirror::encodeRelayRequest({ .after = after })));
        TRY_ASSIGN(part, Mirror::decodeBatch(response));
        feed_.apply(part, source);
        if (!part.hasMore)
            return {};
        after = part.upTo;
    }
}

bool CatchUpThread::fetchFrom(Base::EntryVmId peer)
{
    const auto source = peer.endpoint().toString();
    const auto before = feed_.revision();
    if (const auto error = Base::captureError([&] { return fetchAll(peer, source); })) {
        client_.reset();
        Log::write(Events::peerFetchFailed, Log::Fields().add("peer", source).add("error", error->detail));
        return false;
    }
    Log::write(Events::caughtUp, Log::Fields().add("peer", source).add("from", before).add("to", feed_.revision()));
    return feed_.revision() > before;
}

}
