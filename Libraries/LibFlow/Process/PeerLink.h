#pragma once

#include <LibFlow/Process/ActionWriter.h>
#include <LibFlow/Process/ControlBudget.h>
#include <LibFlow/Process/PeerMessage.h>

namespace Flow {

/// Sends control messages to other deciders: adds the incarnation of this one and charges the control budget.
class PeerLink {
public:
    PeerLink(uint64_t incarnation, uint32_t bytesPerSecond)
        : incarnation_(incarnation)
        , budget_(bytesPerSecond)
    {
    }

    void refillBudget(Base::TimePoint now) { budget_.refill(now); }
    /// Whether a message of about this size that can wait may be sent now.
    bool allows(std::size_t bytes) const { return budget_.allows(bytes); }

    void send(EntryVmId peer, ControlKind kind, std::vector<uint64_t> values, ActionWriter& writer)
    {
        PeerMessage message { .kind = kind, .incarnation = incarnation_, .values = std::move(values) };
        auto bytes = message.encode();
        budget_.consume(bytes.size());
        writer.send(peer, kind, std::move(bytes));
    }

private:
    uint64_t incarnation_;
    ControlBudget budget_;
};

}
