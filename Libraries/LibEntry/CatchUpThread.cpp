#include <LibEntry/CatchUpThread.h>

#include <LibEntry/Events.h>
#include <LibLog/Log.h>
#include <LibMirror/RelayMessage.h>

namespace Entry {

namespace {

    /// The store itself tells within a quarter of a second, the time that calls are gathered for, and asking a peer of
    /// another failure domain costs bytes between domains.
    constexpr Base::milliseconds graceForStore { 600 };
    /// An answer of the store to the first call takes some milliseconds.
    constexpr Base::milliseconds graceAtStart { 150 };
    constexpr Base::milliseconds answerTimeout { 500 };
    constexpr Base::milliseconds pauseWhileEmpty { 250 };
    constexpr Base::milliseconds pauseWhenCurrent { 5000 };
    /// Answers are cut into parts of about 128 KiB; one large record may be a megabyte.
    constexpr std::size_t maximumAnswerBytes = std::size_t { 4 } * 1024 * 1024;

}

CatchUpThread::CatchUpThread(const EntrySettings& settings, BeliefFeed& feed)
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

void CatchUpThread::start()
{
    worker_.start([this] { run(); });
}

void CatchUpThread::notePeer(Base::EntryVmId peer, uint64_t revision, bool isUrgent)
{
    if (revision <= feed_.revision())
        return;
    {
        const std::scoped_lock lock(mutex_);
        if (revision < newestRevision_)
            return;
        // Of equally new peers any, so that not all of a failure domain ask the first that heard. Near ones go first.
        const bool isBetter = revision > newestRevision_ || (isUrgent && !isUrgent_);
        newestCount_ = isBetter ? 1 : newestCount_ + 1;
        const bool isChosen = isBetter || (isUrgent == isUrgent_ && random_.below(newestCount_) == 0);
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

CatchUpThread::Candidate CatchUpThread::nextPeer()
{
    const std::scoped_lock lock(mutex_);
    if (newestRevision_ > feed_.revision())
        return { .peer = newestPeer_, .isUrgent = isUrgent_ };
    if (feed_.isSynchronized() || seeds_.empty())
        return {};
    const auto seed = seeds_[nextSeed_++ % seeds_.size()];
    if (Base::EntryVmId::fromEndpoint(seed) == settings_.identity())
        return {};
    return { .peer = Base::EntryVmId::fromEndpoint(seed), .isUrgent = true };
}

void CatchUpThread::run()
{
    worker_.pause(graceAtStart);
    while (!worker_.isStopping()) {
        const auto candidate = nextPeer();
        if (!candidate.peer.isValid()) {
            worker_.pause(feed_.isSynchronized() ? pauseWhenCurrent : pauseWhileEmpty);
            continue;
        }
        if (!candidate.isUrgent) {
            worker_.pause(graceForStore);
            if (!nextPeer().peer.isValid() || worker_.isStopping())
                continue;
        }
        if (fetchFrom(candidate.peer))
            continue;
        {
            // Another peer's report will name it again.
            const std::scoped_lock lock(mutex_);
            newestRevision_ = 0;
        }
        worker_.pause(feed_.isSynchronized() ? pauseWhenCurrent : pauseWhileEmpty);
    }
}

Base::ErrorOr<void> CatchUpThread::fetchAll(Base::EntryVmId peer, const std::string& source)
{
    if (!client_ || clientPeer_ != peer) {
        TRY_ASSIGN(client,
            Peer::QueryClient::create({ .endpoint = peer.endpoint(),
                .keys = settings_.control.keys,
                .timeout = answerTimeout,
                .maximumFrameBytes = maximumAnswerBytes,
                .waitsWhileReceiving = true }));
        client_.emplace(std::move(client));
        clientPeer_ = peer;
    }
    uint64_t after = feed_.isSynchronized() ? feed_.revision() : 0;
    for (;;) {
        TRY_ASSIGN(answer, client_->ask(Peer::Channel::Query, Mirror::encodeQuestion({ .after = after })));
        TRY_ASSIGN(part, Mirror::decodeBatch(answer));
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
        Log::write(Events::peerSilent, Log::Fields().add("peer", source).add("error", error->detail));
        return false;
    }
    Log::write(Events::caughtUp, Log::Fields().add("peer", source).add("from", before).add("to", feed_.revision()));
    return feed_.revision() > before;
}

}
