#include <LibFlow/Process/ServerHealth.h>
#include <algorithm>

namespace Flow {

namespace {

    constexpr uint32_t ejectionRefusalThreshold = 3;
    constexpr Base::milliseconds baseEjectionTime { 500 };
    constexpr uint32_t ejectionDoublingLimit = 4;
    /// After this time without an ejection, the next one lasts the base time again.
    constexpr Base::seconds ejectionBackOffResetTime { 30 };

}

ServerHealth::Change ServerHealth::applyReport(const BackendServerReport& report)
{
    if (report.observedAt < observedAt_)
        return Change::Stale;
    observedAt_ = report.observedAt;
    isReportedHealthy_ = report.healthy;
    bool restarted = report.startToken != 0 && startToken_ != 0 && report.startToken != startToken_;
    if (report.startToken != 0)
        startToken_ = report.startToken;
    return restarted ? Change::Restarted : Change::None;
}

bool ServerHealth::recordRefusal(TimePoint now)
{
    if (++consecutiveRefusals_ < ejectionRefusalThreshold || isEjected(now))
        return false;
    if (ejectedUntil_ == TimePoint::min() || now - ejectedUntil_ > ejectionBackOffResetTime)
        ejections_ = 0;
    ejectedUntil_ = now + baseEjectionTime * (1U << std::min(ejections_, ejectionDoublingLimit));
    ++ejections_;
    consecutiveRefusals_ = 0;
    return true;
}

}
