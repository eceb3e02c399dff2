#pragma once

#include <LibConfiguration/Snapshot.h>
#include <LibFlow/Types.h>
#include <LibPeer/ProbeExchange.h>
#include <span>
#include <vector>

namespace Balancer {

/// The balancer's side of the Probe channel. Used by the control thread only.
class ProberLink {
public:
    /// Decodes the prober's reports and passes each to onReport. Returns false if they are malformed.
    bool handleReports(Base::TimePoint now, std::span<const std::byte> payload,
        const std::function<void(const Flow::BackendServerReport&)>& onReport);

    /// Encodes the probe targets: the given backend servers that the configuration contains. Without a configuration
    /// the list is empty.
    static std::vector<std::byte> targets(const std::vector<Base::BackendServerId>&, const Configuration::Snapshot*);

    /// Logs once if no report was received for 5 s. handleReports() logs once when reports resume.
    void checkReportTimeout(Base::TimePoint now);

private:
    Base::TimePoint lastReportTime_ {};
    bool timedOut_ { false };
};

}
