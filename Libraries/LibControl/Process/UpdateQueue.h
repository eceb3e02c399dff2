#pragma once

#include <LibControl/Message.h>
#include <cstddef>
#include <deque>
#include <unordered_map>
#include <vector>

namespace Control {

/// Queue of member updates to disseminate. Each is sent a number of times that grows with the logarithm of the number
/// of members, least sent first. A newer update about a member replaces an older one.
class UpdateQueue {
public:
    /// Adds an update. memberCount: number of members that must receive it.
    void push(MemberUpdate, std::size_t memberCount);
    /// Returns the next updates to attach to a message, at most `limit`, and counts them as sent.
    std::vector<MemberUpdate> nextBatch(std::size_t limit);
    bool isEmpty() const { return latestSerials_.empty(); }

private:
    struct Entry {
        MemberUpdate update;
        uint64_t serial { 0 };
    };

    bool isLatest(const Entry&) const;

    /// Entries by their number of remaining transmissions. Replaced entries are dropped when they are dequeued.
    std::vector<std::deque<Entry>> byRemainingSends_;
    std::unordered_map<EntryVmId, uint64_t> latestSerials_;
    uint64_t lastSerial_ { 0 };
};

}
