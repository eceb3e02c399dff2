#include <LibBalancer/ProberLink.h>

#include <LibBalancer/Events.h>
#include <LibLog/Log.h>
#include <algorithm>

namespace Balancer {

namespace {

    constexpr Base::seconds reportTimeout { 5 };

}

bool ProberLink::handleReports(Base::TimePoint now, std::span<const std::byte> payload,
    const std::function<void(const Flow::BackendServerReport&)>& onReport)
{
    const auto reports = Base::capture([&] { return Peer::decodeProbeReports(payload); });
    if (!reports.isOk())
        return false;
    lastReportTime_ = now;
    if (timedOut_) {
        timedOut_ = false;
        Log::write(Events::proberReportsResumed);
    }
    for (const auto& report : *reports.value) {
        onReport({ .backendServer = report.backendServer,
            .healthy = report.healthy,
            .slotsInUse = report.slotsInUse,
            .connections = report.connections,
            .startToken = report.startToken,
            .observedAt = now - Base::milliseconds(report.ageMs) });
    }
    return true;
}

std::vector<std::byte> ProberLink::targets(
    const std::vector<Base::BackendServerId>& servers, const Configuration::Snapshot* snapshot)
{
    std::vector<Peer::ProbeTarget> targets;
    if (!snapshot)
        return Peer::encodeProbeTargets(targets);
    for (const auto& [name, service] : snapshot->services) {
        for (const auto& server : service.backendServers) {
            if (std::find(servers.begin(), servers.end(), server.id) != servers.end())
                targets.push_back({ .backendServer = server.id, .management = server.management });
        }
    }
    return Peer::encodeProbeTargets(targets);
}

void ProberLink::checkReportTimeout(Base::TimePoint now)
{
    if (lastReportTime_ == Base::TimePoint {})
        lastReportTime_ = now;
    if (timedOut_ || now - lastReportTime_ < reportTimeout)
        return;
    timedOut_ = true;
    Log::write(Events::proberReportsMissing,
        Log::Fields().add("seconds", std::chrono::duration_cast<Base::seconds>(now - lastReportTime_).count()));
}

}
