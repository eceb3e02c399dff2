#pragma once

#include <LibBase/Random.h>
#include <LibBase/Time.h>
#include <LibPeer/ProbeExchange.h>
#include <map>
#include <vector>

namespace Prober {

/// Schedules the probes of backend servers. Has no clock of its own; the time is passed to each call.
class ProbeSchedule {
public:
    struct Options {
        Base::milliseconds interval { 500 };
        std::size_t maximumConcurrent { 64 };
        uint64_t seed { 1 };
    };

    explicit ProbeSchedule(const Options&);

    /// Replaces the targets. First probes of new targets are spread over one interval. Probes in flight of removed
    /// targets still count towards maximumConcurrent until they finish. Returns whether the targets have changed.
    bool setTargets(Base::TimePoint now, const std::vector<Peer::ProbeTarget>&);
    /// Returns the targets to probe now, the most overdue first, and marks their probes as in flight.
    std::vector<Peer::ProbeTarget> startDueProbes(Base::TimePoint now);
    /// Records the end of a probe and schedules the target's next one.
    void finish(Base::TimePoint now, Base::BackendServerId);
    std::size_t inFlight() const { return inFlight_; }
    std::size_t targetCount() const { return entries_.size(); }

private:
    struct Entry {
        Base::Ipv4Endpoint management;
        Base::TimePoint due {};
        bool inFlight { false };
    };

    Options options_;
    Base::Random random_;
    std::map<Base::BackendServerId, Entry> entries_;
    std::size_t inFlight_ { 0 };
};

}
