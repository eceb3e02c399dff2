#pragma once

#include <LibBase/Time.h>
#include <LibControl/ControlNode.h>
#include <LibControl/Events.h>
#include <LibControl/Message.h>
#include <LibControl/Process/ControlStatistics.h>
#include <LibControl/Process/TokenBucket.h>
#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace Control {

/// Bytes that the transport adds to each message: addresses, framing and the message authentication code.
constexpr std::size_t transportOverheadBytes = 48;

/// Queue of the messages and events of a control node's components. Enforces the byte budget: membership and
/// dissemination have priority; messages that can be requested again (anti-entropy, snapshots) use the remaining
/// budget.
class Outbox {
public:
    using HeaderSource = std::function<MessageHeader(EntryVmId to, const MessageBody&)>;

    /// bytesPerSecond: limit on the bytes sent in any second; may be exceeded by the length of one message.
    Outbox(uint32_t bytesPerSecond, ControlStatistics&);

    /// Sets the function that creates the headers.
    void setHeaderSource(HeaderSource source) { headerSource_ = std::move(source); }
    /// Sets the current time and sends deferred messages.
    void advanceTime(Base::TimePoint now);
    /// Sends a message if the budget allows it. Otherwise ChangePush and SnapshotPart are deferred until there is
    /// budget, up to a queue limit, and all others are dropped. Returns false if the message was dropped.
    bool send(EntryVmId to, MessageBody);
    void log(Event, std::string fields);
    void addAction(ControlAction action) { actions_.push_back(std::move(action)); }
    /// Moves the actions since the last call to the end of a list.
    void moveActionsTo(ControlActions&);
    Base::TimePoint now() const { return now_; }

private:
    struct DeferredMessage {
        EntryVmId to;
        MessageBody body;
    };

    bool hasBudget(MessageKind) const;
    void sendDeferred(std::deque<DeferredMessage>&, MessageKind);
    void sendNow(EntryVmId to, MessageBody);

    ControlStatistics& statistics_;
    TokenBucket byteBudget_;
    HeaderSource headerSource_;
    Base::TimePoint now_ {};
    ControlActions actions_;
    std::deque<DeferredMessage> deferredPushes_;
    std::deque<DeferredMessage> deferredParts_;
};

}
