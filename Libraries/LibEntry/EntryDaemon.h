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

/// The threads of entryd, joined by a belief feed.
class EntryDaemon {
public:
    /// Unavailable when an endpoint cannot be bound. The settings must outlive the daemon.
    static Base::ErrorOr<std::unique_ptr<EntryDaemon>> create(const EntrySettings&);

    /// Reads the settings file again: seeds and debug events change at once, the rest needs a restart.
    Base::ErrorOr<void> reload(const std::string& file);
    /// Runs until a stop is asked for and open flows had time to end; the process's exit code.
    int run(Program::Signals&);

private:
    explicit EntryDaemon(const EntrySettings&);

    Http::Response answer(std::string_view path) const;
    void start();
    void leave(Program::Signals&);
    void stopThreads();

    const EntrySettings& settings_;
    StoreCounters storeCounters_;
    BeliefFeed feed_;
    CatchUpThread catchUp_;
    StoreThread store_;
    RegistrationThread registration_;
    EntryMetrics metrics_;
    std::unique_ptr<PacketThread> packets_;
    std::unique_ptr<RelayThread> relay_;
    /// Answers the fabric's checks and Prometheus.
    std::unique_ptr<Http::StatusServer> questions_;
    Worker questionWorker_;
};

}
