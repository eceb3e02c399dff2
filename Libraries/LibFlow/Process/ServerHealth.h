#pragma once

#include <LibFlow/Types.h>

namespace Flow {

/// Decides whether one backend server may get new flows, from its reports and from the outcomes of first packets, which
/// take precedence.
class ServerHealth {
public:
    /// Effect of a report.
    enum class Change {
        None,
        /// The server's process has restarted, so the server is cold.
        Restarted,
        /// The report is older than the latest one.
        Stale,
    };

    /// Applies a report unless it is stale.
    Change applyReport(const BackendServerReport&);
    /// Counts a refused first packet. Returns whether this caused an ejection.
    bool recordRefusal(TimePoint now);
    /// Resets the count of consecutive refusals after a response to a first packet.
    void recordResponse() { consecutiveRefusals_ = 0; }

    /// Whether the latest report says healthy; true if there is none.
    bool isReportedHealthy() const { return isReportedHealthy_; }
    /// Time of the latest report.
    TimePoint observedAt() const { return observedAt_; }
    /// Whether a report has been received.
    bool isReported() const { return observedAt_ != TimePoint::min(); }
    /// Whether the server is ejected, that is, gets no new flows because of consecutive refusals.
    bool isEjected(TimePoint now) const { return now < ejectedUntil_; }

private:
    bool isReportedHealthy_ { true };
    TimePoint observedAt_ { TimePoint::min() };
    uint64_t startToken_ { 0 };
    uint32_t consecutiveRefusals_ { 0 };
    uint32_t ejections_ { 0 };
    TimePoint ejectedUntil_ { TimePoint::min() };
};

}
