#include <LibEntry/EntryDaemon.h>

#include <LibEntry/Events.h>
#include <LibLog/Log.h>
#include <LibLog/ProgramEvents.h>
#include <platform/Names.h>

namespace Entry {

namespace {

    constexpr std::string_view metricsPath = "/metrics";
    constexpr uint32_t statusOk = 200;
    constexpr uint32_t statusUnavailable = 503;
    constexpr uint32_t statusNotFound = 404;

    constexpr Base::milliseconds questionPollTime { 200 };
    constexpr Base::milliseconds metricsInterval { 1000 };
    constexpr Base::milliseconds leaveCheckInterval { 50 };
    /// For the threads to end: the longest call to the store, and a little.
    constexpr Base::milliseconds timeToEnd { 1500 };
    /// The fabric needs two checks, half a second apart, to send callers elsewhere. Flows go on through other entry
    /// VMs, so that there is nothing to wait for beyond that.
    constexpr Base::milliseconds shortestLeave { 1100 };
    /// Busy entry VMs get a packet every few milliseconds while the fabric uses them.
    constexpr Base::milliseconds quietUntilLeft { 150 };

}

Base::ErrorOr<std::unique_ptr<EntryDaemon>> EntryDaemon::create(const EntrySettings& settings)
{
    std::unique_ptr<EntryDaemon> daemon(new EntryDaemon(settings));
    TRY_ASSIGN(packets, PacketThread::create(settings, daemon->feed_, daemon->catchUp_, daemon->store_));
    daemon->packets_ = std::move(packets);
    TRY_ASSIGN(relay, RelayThread::create(settings, daemon->feed_));
    daemon->relay_ = std::move(relay);
    TRY_ASSIGN(questions,
        Http::StatusServer::create({ .listen = { settings.readiness, settings.metrics },
            .onGet = [daemon = daemon.get()](std::string_view path) { return daemon->answer(path); } }));
    daemon->questions_ = std::move(questions);
    return daemon;
}

EntryDaemon::EntryDaemon(const EntrySettings& settings)
    : settings_(settings)
    , feed_({ .wake = [this] { packets_->wake(); },
          .self = settings.identity(),
          .onUnlisted = [this] { registration_.noteUnlisted(); } })
    , catchUp_(settings, feed_)
    , store_(settings, feed_, storeCounters_)
    , registration_(settings, storeCounters_)
{
}

Http::Response EntryDaemon::answer(std::string_view path) const
{
    if (path == Platform::Names::readinessPath)
        return { .status = packets_->isReady() ? statusOk : statusUnavailable };
    if (path == metricsPath)
        return { .status = statusOk, .body = metrics_.text() };
    return { .status = statusNotFound };
}

Base::ErrorOr<void> EntryDaemon::reload(const std::string& file)
{
    TRY_ASSIGN(changed, readSettings(file));
    catchUp_.setSeeds(changed.control.seeds);
    Log::setDebug(changed.debugEvents);
    const bool needsRestart = changed.data != settings_.data || changed.reports != settings_.reports
        || changed.readiness != settings_.readiness || changed.metrics != settings_.metrics
        || changed.control.endpoint != settings_.control.endpoint || changed.control.keys != settings_.control.keys
        || changed.store.endpoint != settings_.store.endpoint || changed.failureDomain != settings_.failureDomain
        || changed.regions != settings_.regions;
    Log::write(Log::ProgramEvents::reloaded,
        Log::Fields().add("file", file).add("seeds", changed.control.seeds.size()).add("restart", needsRestart));
    return {};
}

void EntryDaemon::start()
{
    packets_->start();
    store_.start();
    catchUp_.start();
    relay_->start();
    registration_.start();
    questionWorker_.start([this] {
        while (!questionWorker_.isStopping())
            questions_->poll(questionPollTime);
    });
}

int EntryDaemon::run(Program::Signals& signals)
{
    Log::setDebug(settings_.debugEvents);
    start();
    while (!signals.waitForStop(metricsInterval))
        metrics_.update(packets_->figures(), storeCounters_, feed_);
    leave(signals);
    stopThreads();
    return 0;
}

void EntryDaemon::leave(Program::Signals& signals)
{
    const auto begin = std::chrono::steady_clock::now();
    Log::write(Events::leaving);
    packets_->beginStop();
    packets_->wake();
    // The call to the store is made while packets are still forwarded.
    registration_.stop();
    for (;;) {
        signals.waitForStop(leaveCheckInterval);
        const auto passed = std::chrono::steady_clock::now() - begin;
        const bool isQuiet = passed >= shortestLeave && packets_->quietFor() >= quietUntilLeft;
        if (isQuiet || passed >= settings_.stop.grace - timeToEnd)
            break;
    }
    const auto passed
        = std::chrono::duration_cast<Base::milliseconds>(std::chrono::steady_clock::now() - begin).count();
    Log::write(Events::left, Log::Fields().add("milliseconds", passed).add("quiet_ms", packets_->quietFor().count()));
}

void EntryDaemon::stopThreads()
{
    catchUp_.askToStop();
    relay_->askToStop();
    questionWorker_.askToStop();
    store_.stop();
    catchUp_.stop();
    relay_->stop();
    questionWorker_.stop();
    // Packets are forwarded until nothing else is left to do.
    packets_->stop();
}

}
