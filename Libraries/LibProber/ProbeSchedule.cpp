#include <LibProber/ProbeSchedule.h>

#include <algorithm>

namespace Prober {

ProbeSchedule::ProbeSchedule(const Options& options)
    : options_(options)
    , random_(options.seed)
{
}

bool ProbeSchedule::setTargets(Base::TimePoint now, const std::vector<Peer::ProbeTarget>& targets)
{
    bool changed = false;
    std::map<Base::BackendServerId, Entry> entries;
    const auto intervalNanoseconds = static_cast<uint64_t>(Base::nanoseconds(options_.interval).count());
    for (const auto& target : targets) {
        const auto known = entries_.find(target.backendServer);
        if (known != entries_.end() && known->second.management == target.management) {
            entries[target.backendServer] = known->second;
            continue;
        }
        changed = true;
        entries[target.backendServer] = { .management = target.management,
            .due = now + Base::nanoseconds(random_.below(intervalNanoseconds + 1)) };
    }
    changed |= entries.size() != entries_.size();
    entries_ = std::move(entries);
    return changed;
}

std::vector<Peer::ProbeTarget> ProbeSchedule::startDueProbes(Base::TimePoint now)
{
    std::vector<std::pair<Base::TimePoint, Base::BackendServerId>> due;
    for (const auto& [server, entry] : entries_) {
        if (!entry.inFlight && entry.due <= now)
            due.emplace_back(entry.due, server);
    }
    std::sort(due.begin(), due.end());
    std::vector<Peer::ProbeTarget> dueTargets;
    for (const auto& [time, server] : due) {
        if (inFlight_ >= options_.maximumConcurrent)
            break;
        auto& entry = entries_[server];
        entry.inFlight = true;
        ++inFlight_;
        dueTargets.push_back({ .backendServer = server, .management = entry.management });
    }
    return dueTargets;
}

void ProbeSchedule::finish(Base::TimePoint now, Base::BackendServerId server)
{
    if (inFlight_ > 0)
        --inFlight_;
    const auto found = entries_.find(server);
    if (found == entries_.end())
        return;
    const Base::nanoseconds interval = options_.interval;
    const auto jitter = random_.below(static_cast<uint64_t>(interval.count() / 4 + 1));
    found->second.inFlight = false;
    found->second.due = now + interval + Base::nanoseconds(jitter);
}

}
