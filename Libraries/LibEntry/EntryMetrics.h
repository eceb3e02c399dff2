#pragma once

#include <LibEntry/PacketThread.h>
#include <LibEntry/StoreCounters.h>
#include <LibMetrics/Registry.h>

namespace Entry {

/// The Prometheus metrics of entryd.
class EntryMetrics {
public:
    EntryMetrics();

    /// All metrics in the Prometheus text format. Any thread.
    std::string text() const { return registry_.text(); }
    /// Sets the metrics from the statistics of the other threads.
    void update(const PacketStatistics&, const StoreCounters&, const StateFeed&);

private:
    Metrics::Registry registry_;
    std::array<prometheus::Counter*, Steering::refusalCount> refused_ {};
    std::array<prometheus::Counter*, 3> chosen_ {};
    std::array<prometheus::Counter*, Steering::noRoomPriorityCount> noRoom_ {};
    std::array<prometheus::Counter*, Steering::shareDiversionCount> shareDiversions_ {};
    std::array<std::array<prometheus::Counter*, Platform::storeOutcomeCount>, storeCallCount> storeCalls_ {};
    prometheus::Histogram& handshakes_;
    Steering::SteeringStatistics lastSteering_;
    prometheus::Counter& forwarded_;
    prometheus::Counter& firstPackets_;
    prometheus::Counter& firstPacketCopies_;
    prometheus::Counter& hedgedAttempts_;
    prometheus::Counter& hedgesDenied_;
    prometheus::Counter& admittedWhileShort_;
    prometheus::Counter& waitedForRoom_;
    prometheus::Counter& opened_;
    prometheus::Counter& neverOpened_;
    prometheus::Counter& resets_;
    prometheus::Counter& shortResponses_;
    prometheus::Counter& probes_;
    prometheus::Counter& failedProbes_;
    prometheus::Counter& probesSkipped_;
    prometheus::Counter& malformed_;
    prometheus::Counter& discarded_;
    prometheus::Counter& sendFailures_;
    prometheus::Counter& reportsSent_;
    prometheus::Counter& reportsIgnored_;
    prometheus::Counter& recordsRefused_;
    prometheus::Counter& batchesIgnored_;
    prometheus::Counter& logLinesDropped_;
    prometheus::Counter& reportsReceived_;
    prometheus::Gauge& shortServices_;
    prometheus::Gauge& places_;
    prometheus::Gauge& placesTaken_;
    prometheus::Gauge& waiting_;
    prometheus::Gauge& flows_;
    prometheus::Gauge& servers_;
    prometheus::Gauge& contestingEntries_;
    prometheus::Gauge& peers_;
    prometheus::Gauge& revision_;
    prometheus::Gauge& storeEra_;
    prometheus::Gauge& storeReachable_;
    prometheus::Gauge& ready_;
    prometheus::Gauge& configurationVersion_;
};

}
