#pragma once

#include <LibEntry/CatchUpThread.h>
#include <LibEntry/EntryMetrics.h>
#include <LibEntry/PacketThread.h>
#include <LibEntry/RegistrationThread.h>
#include <LibEntry/RelayThread.h>
#include <LibEntry/StoreThread.h>
#include <LibHttp/StatusServer.h>
#include <LibProgram/Signals.h>

namespace Entry {

/// Owns the threads of entryd, which share one StateFeed.
class EntryDaemon {
public:
    /// Returns ErrorCode::Unavailable if an endpoint cannot be bound. The settings must outlive the daemon.
    static Base::ErrorOr<std::unique_ptr<EntryDaemon>> create(const EntrySettings&);

    /// Reads the settings file again. Seeds and debug events change immediately; other settings need a restart.
    Base::ErrorOr<void> reload(const std::string& file);
    /// Runs until a stop is requested and callers have been redirected or the grace period ends. Returns the exit code.
    int run(Program::Signals&);

private:
    explicit EntryDaemon(const EntrySettings&);

    Http::Response handleGet(std::string_view path) const;
    void start();
    void leave(Program::Signals&);
    void stopThreads();

    const EntrySettings& settings_;
    StoreCounters storeCounters_;
    StateFeed feed_;
    CatchUpThread catchUp_;
    StoreThread store_;
    RegistrationThread registration_;
    EntryMetrics metrics_;
    std::unique_ptr<PacketThread> packets_;
    std::unique_ptr<RelayThread> relay_;
    /// Serves the fabric's readiness checks and the Prometheus metrics.
    std::unique_ptr<Http::StatusServer> statusServer_;
    Worker statusWorker_;
};

}
