#include <LibControl/Process/UpdateQueue.h>

#include <bit>

namespace Control {

namespace {

    /// Minimum number of transmissions of an update, and additional ones for each doubling of the member count.
    constexpr std::size_t minimumTransmissions = 4;
    constexpr std::size_t transmissionsPerDoubling = 1;

}

void UpdateQueue::push(MemberUpdate update, std::size_t memberCount)
{
    const auto remainingSends
        = minimumTransmissions + transmissionsPerDoubling * static_cast<std::size_t>(std::bit_width(memberCount));
    if (byRemainingSends_.size() <= remainingSends)
        byRemainingSends_.resize(remainingSends + 1);
    latestSerials_[update.id] = ++lastSerial_;
    byRemainingSends_[remainingSends].push_back({ .update = std::move(update), .serial = lastSerial_ });
}

bool UpdateQueue::isLatest(const Entry& entry) const
{
    const auto found = latestSerials_.find(entry.update.id);
    return found != latestSerials_.end() && found->second == entry.serial;
}

std::vector<MemberUpdate> UpdateQueue::nextBatch(std::size_t limit)
{
    std::vector<MemberUpdate> batch;
    if (latestSerials_.empty())
        return batch;
    std::vector<Entry> requeued;
    std::vector<std::size_t> requeuedSends;
    for (auto remainingSends = byRemainingSends_.size(); remainingSends-- > 1 && batch.size() < limit;) {
        auto& queue = byRemainingSends_[remainingSends];
        while (!queue.empty() && batch.size() < limit) {
            auto entry = std::move(queue.front());
            queue.pop_front();
            if (!isLatest(entry))
                continue;
            batch.push_back(entry.update);
            if (remainingSends == 1) {
                latestSerials_.erase(entry.update.id);
                continue;
            }
            requeued.push_back(std::move(entry));
            requeuedSends.push_back(remainingSends - 1);
        }
    }
    for (std::size_t index = 0; index < requeued.size(); ++index)
        byRemainingSends_[requeuedSends[index]].push_back(std::move(requeued[index]));
    return batch;
}

}
