#pragma once

#include <LibConfiguration/Process/AcceptorTypes.h>
#include <LibMetrics/Registry.h>

namespace OperatorEndpoint {

/// The metrics of operatord, updated from the acceptor's cumulative statistics.
class EndpointMetrics {
public:
    explicit EndpointMetrics(Metrics::Registry&);

    /// Raises the counters to the given totals. Called on the acceptor's thread.
    void update(const Configuration::AcceptorStatistics&, Base::Revision);

    /// Records the duration of one submitted change. May be called from any thread.
    void observeSubmitDuration(Base::nanoseconds);

private:
    std::vector<prometheus::Counter*> changesByOutcome_;
    prometheus::Counter& repeatedRequests_;
    prometheus::Counter& raceRetries_;
    prometheus::Counter& lostResponseRetries_;
    prometheus::Counter& queueFullRejections_;
    prometheus::Counter& snapshotsWritten_;
    prometheus::Gauge& knownRevision_;
    prometheus::Histogram& submitDuration_;
};

}
