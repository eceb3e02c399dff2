#include <LibPeer/ReplayGuard.h>

namespace Peer {

bool ReplayGuard::recordIfNewer(const Envelope& envelope)
{
    auto& newest = newest_[envelope.sender];
    const bool isNewer = envelope.incarnation > newest.incarnation
        || (envelope.incarnation == newest.incarnation && envelope.sequence > newest.sequence);
    if (isNewer)
        newest = { .incarnation = envelope.incarnation, .sequence = envelope.sequence };
    return isNewer;
}

}
