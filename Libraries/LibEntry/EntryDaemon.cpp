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

    constexpr Base::milliseconds statusPollTimeout { 200 };
    constexpr Base::milliseconds metricsInterval { 1000 };
    constexpr Base::milliseconds leaveCheckInterval { 50 };
    /// Time for the threads to end: the longest call to the store and a margin.
    constexpr Base::milliseconds threadStopTimeout { 1500 };
    /// The fabric needs two readiness checks, 500 ms apart, to redirect callers. Open flows continue through other
    /// entry VMs, so no longer wait is needed.
    constexpr Base::milliseconds minimumLeaveDuration { 1100 };
    /// Busy entry VMs receive a packet every few milliseconds for as long as the fabric routes to them.
    constexpr Base::milliseconds noPacketsTimeout { 150 };

}

Base::ErrorOr<std::unique_ptr<EntryDaemon>> EntryDaemon::create(const EntrySettings& settings)
{
    std::unique_ptr<EntryDaemon> daemon(new EntryDaemon(settings));
    TRY_ASSIGN(packets, PacketThread::create(settings, daemon->feed_, daemon->catchUp_, daemon->store_));
    daemon->packets_ = std::move(packets);
    TRY_ASSIGN(relay, RelayThread::create(settings, daemon->feed_));
    daemon->relay_ = std::move(relay);
    TRY_ASSIGN(statusServer,
        Http::StatusServer::create({ .listen = { settings.readiness, settings.metrics },
            .onGet = [daemon = daemon.get()](std::string_view path) { return daemon->handleGet(path); } }));
    daemon->statusServer_ = std::move(statusServer);
    return daemon;
}

EntryDaemon::EntryDaemon(const EntrySettings& settings)
    : settings_(settings)
    , feed_({ .wake = [this] { packets_->wake(); },
          .self = settings.identity(),
          .onOwnRecordRemoved = [this] { registration_.scheduleRecordRewrite(); },
          .onStoreEra = [this](uint64_t era) { registration_.handleStoreEra(era); } })
    , catchUp_(settings, feed_)
    , store_(settings, feed_, catchUp_, storeCounters_)
    , registration_(settings, storeCounters_)
{
}

Http::Response EntryDaemon::handleGet(std::string_view path) const
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
    statusWorker_.start([this] {
        while (!statusWorker_.isStopping())
            statusServer_->poll(statusPollTimeout);
    });
}

int EntryDaemon::run(Program::Signals& signals)
{
    Log::setDebug(settings_.debugEvents);
    start();
    while (!signals.waitForStop(metricsInterval))
        metrics_.update(packets_->statistics(), storeCounters_, feed_);
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
    // Revokes the lease in the store while packets are still forwarded.
    registration_.stop();
    for (;;) {
        signals.waitForStop(leaveCheckInterval);
        const auto elapsed = std::chrono::steady_clock::now() - begin;
        const bool isQuiet = elapsed >= minimumLeaveDuration && packets_->timeSinceLastPacket() >= noPacketsTimeout;
        if (isQuiet || elapsed >= settings_.stop.grace - threadStopTimeout)
            break;
    }
    const auto elapsed
        = std::chrono::duration_cast<Base::milliseconds>(std::chrono::steady_clock::now() - begin).count();
    Log::write(Events::left,
        Log::Fields().add("milliseconds", elapsed).add("quiet_ms", packets_->timeSinceLastPacket().count()));
}

void EntryDaemon::stopThreads()
{
    catchUp_.requestStop();
    relay_->requestStop();
    statusWorker_.requestStop();
    store_.stop();
    catchUp_.stop();
    relay_->stop();
    statusWorker_.stop();
    // The packet thread stops last, so that packets are forwarded for as long as possible.
    packets_->stop();
}

}
