#pragma once

#include <LibPeer/Envelope.h>
#include <unordered_map>

namespace Peer {

/// Detects replayed messages. Stores the newest incarnation and sequence of each sender and accepts only a higher
/// sequence of the same incarnation, or a higher incarnation.
class ReplayGuard {
public:
    /// Whether the message is newer than all earlier ones of its sender. Records it if so.
    bool recordIfNewer(const Envelope&);

private:
    struct Newest {
        uint64_t incarnation { 0 };
        uint64_t sequence { 0 };
    };

    std::unordered_map<Base::EntryVmId, Newest> newest_;
};

}
