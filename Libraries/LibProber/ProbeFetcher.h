#pragma once

#include <LibBase/Time.h>
#include <LibPeer/ProbeExchange.h>
#include <LibProber/ProbeResponse.h>
#include <functional>
#include <memory>

namespace Prober {

/// Outcome of a probe.
enum class ProbeOutcome : uint8_t {
    Responded,
    ConnectFailed,
    TimedOut,
    BadStatus,
    InvalidResponse,
};

constexpr std::size_t probeOutcomeCount = 5;

std::string_view toString(ProbeOutcome);

/// Probes health and load of many backend servers concurrently over HTTP (libcurl). Not thread-safe.
class ProbeFetcher {
public:
    struct Options {
        Base::milliseconds timeout { 1000 };
        /// Called from poll() when a probe has ended. The response is valid only if the outcome is Responded.
        std::function<void(const Peer::ProbeTarget&, ProbeOutcome, const ProbeResponse&)> onFinished;
    };

    explicit ProbeFetcher(Options);
    ~ProbeFetcher();
    ProbeFetcher(const ProbeFetcher&) = delete;
    ProbeFetcher& operator=(const ProbeFetcher&) = delete;

    /// Starts a probe: GET /health, then, if the server is healthy, GET /load.
    void start(const Peer::ProbeTarget&);
    /// Waits at most the given time for transfer events and handles them.
    void poll(Base::milliseconds atMost);

private:
    struct Transfer;
    class Implementation;

    std::unique_ptr<Implementation> implementation_;
};

}
