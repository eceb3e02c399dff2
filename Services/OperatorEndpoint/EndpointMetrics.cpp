#include "EndpointMetrics.h"

namespace OperatorEndpoint {

namespace {

    /// Histogram bucket upper bounds in seconds.
    const std::vector<double> submitDurationBuckets { 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10 };

}

EndpointMetrics::EndpointMetrics(Metrics::Registry& registry)
    : repeatedRequests_(registry.counter(
        "eelgrasshatch_changes_repeated_total", "Repeated requests that were answered with their first outcome"))
    , raceRetries_(registry.counter(
          "eelgrasshatch_change_retries_total", "Writes tried again, by reason", { { "reason", "race" } }))
    , lostResponseRetries_(registry.counter(
          "eelgrasshatch_change_retries_total", "Writes tried again, by reason", { { "reason", "lost_answer" } }))
    , queueFullRejections_(registry.counter(
          "eelgrasshatch_calls_refused_total", "Calls refused, by reason", { { "reason", "queue_full" } }))
    , snapshotsWritten_(registry.counter("eelgrasshatch_snapshots_written_total", "Snapshots written to the store"))
    , knownRevision_(registry.gauge("eelgrasshatch_known_revision", "Newest accepted revision known here"))
    , submitDuration_(registry.histogram(
          "eelgrasshatch_submit_seconds", "Time from a change's arrival to its outcome", submitDurationBuckets))
{
    constexpr auto outcomeCount = std::size(Configuration::AcceptorStatistics {}.outcomes);
    for (std::size_t i = 0; i < outcomeCount; ++i) {
        const auto name = std::string(toString(static_cast<Configuration::Outcome>(i)));
        changesByOutcome_.push_back(
            &registry.counter("eelgrasshatch_changes_total", "Submitted changes, by outcome", { { "outcome", name } }));
    }
}

void EndpointMetrics::update(const Configuration::AcceptorStatistics& statistics, Base::Revision revision)
{
    for (std::size_t i = 0; i < changesByOutcome_.size(); ++i)
        Metrics::raiseTo(*changesByOutcome_[i], static_cast<double>(statistics.outcomes[i]));
    Metrics::raiseTo(repeatedRequests_, static_cast<double>(statistics.repeatedRequests));
    Metrics::raiseTo(raceRetries_, static_cast<double>(statistics.lostRaces));
    Metrics::raiseTo(lostResponseRetries_, static_cast<double>(statistics.lostWriteResponses));
    Metrics::raiseTo(queueFullRejections_, static_cast<double>(statistics.refusedUnattempted));
    Metrics::raiseTo(snapshotsWritten_, static_cast<double>(statistics.snapshots));
    knownRevision_.Set(static_cast<double>(revision.value));
}

void EndpointMetrics::observeSubmitDuration(Base::nanoseconds duration)
{
    submitDuration_.Observe(Base::toSeconds(duration));
}

}
