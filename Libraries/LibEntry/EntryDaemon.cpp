#include <LibEntry/EntryDaemon.h>

#include <LibEntry/Events.h>
#include <LibLog/Log.h>
#include <platform/Names.h>

namespace Entry {

namespace {

    constexpr uint32_t statusReady = 200;
    constexpr uint32_t statusNotReady = 503;
    constexpr uint32_t statusNotFound = 404;

    constexpr Base::milliseconds readinessPollTime { 1000 };
    constexpr Base::milliseconds metricsInterval { 1000 };
    constexpr Base::milliseconds leaveCheckInterval { 50 };
    /// The fabric needs two checks, half a second apart, to send callers elsewhere.
    constexpr Base::milliseconds shortestLeave { 1600 };
    /// Callers repeat packets within 1.6 s at the longest, but most of them within 200 ms.
    constexpr Base::milliseconds quietUntilLeft { 500 };

}

Base::ErrorOr<std::unique_ptr<EntryDaemon>> EntryDaemon::create(const EntrySettings& settings)
{
    std::unique_ptr<EntryDaemon> daemon(new EntryDaemon(settings));
    TRY_ASSIGN(packets, PacketThread::create(settings, daemon->feed_, daemon->catchUp_));
    daemon->packets_ = std::move(packets);
    TRY_ASSIGN(relay, RelayThread::create(settings, daemon->feed_));
    daemon->relay_ = std::move(relay);
    TRY_ASSIGN(readiness,
        Http::StatusServer::create(
            { .listen = settings.readiness, .onGet = [packets = daemon->packets_.get()](std::string_view path) {
                 if (path != Platform::Names::readinessPath)
                     return statusNotFound;
                 return packets->isReady() ? statusReady : statusNotReady;
             } }));
    daemon->readiness_ = std::move(readiness);
    TRY(daemon->metrics_.serve(settings.metrics));
    return daemon;
}

EntryDaemon::EntryDaemon(const EntrySettings& settings)
    : settings_(settings)
    , feed_({ .wake = [this] { packets_->wake(); } })
    , catchUp_(settings, feed_)
    , store_(settings, feed_, storeCounters_)
    , registration_(settings, storeCounters_)
{
}

void EntryDaemon::start()
{
    packets_->start();
    store_.start();
    catchUp_.start();
    relay_->start();
    registration_.start();
    readinessWorker_.start([this] {
        while (!readinessWorker_.isStopping())
            readiness_->poll(readinessPollTime);
    });
}

int EntryDaemon::run(Program::Signals& signals)
{
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
    for (;;) {
        signals.waitForStop(leaveCheckInterval);
        const auto passed = std::chrono::steady_clock::now() - begin;
        const bool isQuiet = passed >= shortestLeave && packets_->quietFor() >= quietUntilLeft;
        if (isQuiet || passed >= settings_.stop.timeout)
            break;
    }
    const auto passed
        = std::chrono::duration_cast<Base::milliseconds>(std::chrono::steady_clock::now() - begin).count();
    Log::write(Events::left, Log::Fields().add("milliseconds", passed).add("quiet_ms", packets_->quietFor().count()));
}

void EntryDaemon::stopThreads()
{
    store_.askToStop();
    catchUp_.askToStop();
    relay_->askToStop();
    readinessWorker_.askToStop();
    registration_.stop();
    packets_->stop();
}

}
