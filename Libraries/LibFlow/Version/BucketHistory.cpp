#include <LibFlow/Version/BucketHistory.h>

namespace Flow {

void BucketHistory::push(TimePoint now, BucketTable table)
{
    if (table == current_)
        return;
    if (current_.bucketCount() > 0)
        previousTables_.push_front({ .table = std::move(current_), .replacedAt = now });
    if (previousTables_.size() > previousTableLimit)
        previousTables_.pop_back();
    current_ = std::move(table);
}

std::optional<BucketHistory::Move> BucketHistory::lastMove(uint64_t flowHash) const
{
    auto target = current_.lookUp(flowHash);
    for (const auto& previous : previousTables_) {
        auto before = previous.table.lookUp(flowHash);
        if (before != target)
            return Move { .from = before, .at = previous.replacedAt };
    }
    return std::nullopt;
}

std::size_t BucketHistory::memoryBytes() const
{
    std::size_t buckets = current_.bucketCount();
    for (const auto& previous : previousTables_)
        buckets += previous.table.bucketCount();
    return buckets * sizeof(BackendServerId);
}

}
