#include <LibControl/Process/Outbox.h>

#include <LibBase/Verify.h>
#include <iterator>

namespace Control {

namespace {

    /// Refill rate and burst as factors of the bytes per second. The rest is reserved for a message that overdraws the
    /// budget.
    constexpr double refillFactor = 0.45;
    constexpr double burstFactor = 0.1;
    constexpr std::size_t maximumDeferredPushes = 256;
    constexpr std::size_t maximumDeferredParts = 8;

    /// The fraction of the burst that must be available before a message of this kind is sent.
    double reserveFactor(MessageKind kind)
    {
        switch (kind) {
        case MessageKind::Membership:
            return -1.0;
        case MessageKind::Dissemination:
        case MessageKind::FlowControl:
            return 0;
        case MessageKind::AntiEntropy:
            return 0.1;
        case MessageKind::Acknowledgement:
            return 0.2;
        case MessageKind::CatchUp:
            return 0.3;
        }
        VERIFY_NOT_REACHED();
    }

}

Outbox::Outbox(uint32_t bytesPerSecond, ControlStatistics& statistics)
    : statistics_(statistics)
    , byteBudget_(bytesPerSecond * refillFactor, bytesPerSecond * burstFactor)
{
}

bool Outbox::hasBudget(MessageKind kind) const
{
    return byteBudget_.available() > reserveFactor(kind) * byteBudget_.burst();
}

void Outbox::advanceTime(Base::TimePoint now)
{
    now_ = now;
    byteBudget_.refill(now);
    sendDeferred(deferredPushes_, MessageKind::Dissemination);
    sendDeferred(deferredParts_, MessageKind::CatchUp);
}

void Outbox::sendDeferred(std::deque<DeferredMessage>& queue, MessageKind kind)
{
    while (!queue.empty() && hasBudget(kind)) {
        auto deferred = std::move(queue.front());
        queue.pop_front();
        sendNow(deferred.to, std::move(deferred.body));
    }
}

bool Outbox::send(EntryVmId to, MessageBody body)
{
    const auto kind = messageKind(body);
    if (hasBudget(kind)) {
        sendNow(to, std::move(body));
        return true;
    }
    ++statistics_.overBudgetMessages[static_cast<std::size_t>(kind)];
    if (kind == MessageKind::Dissemination && deferredPushes_.size() < maximumDeferredPushes) {
        deferredPushes_.push_back({ .to = to, .body = std::move(body) });
        return true;
    }
    if (std::holds_alternative<SnapshotPart>(body) && deferredParts_.size() < maximumDeferredParts) {
        deferredParts_.push_back({ .to = to, .body = std::move(body) });
        return true;
    }
    return false;
}

void Outbox::sendNow(EntryVmId to, MessageBody body)
{
    const auto kind = messageKind(body);
    auto header = headerSource_(to, body);
    auto bytes = encodeMessage({ .header = std::move(header), .body = std::move(body) });
    const auto total = bytes.size() + transportOverheadBytes;
    byteBudget_.consume(static_cast<double>(total));
    const auto index = static_cast<std::size_t>(kind);
    statistics_.sentBytes[index] += total;
    ++statistics_.sentMessages[index];
    actions_.emplace_back(SendMessage { .to = to, .kind = kind, .bytes = std::move(bytes) });
}

void Outbox::log(Event event, std::string fields)
{
    actions_.emplace_back(LogEvent { .number = static_cast<uint32_t>(event), .fields = std::move(fields) });
}

void Outbox::moveActionsTo(ControlActions& actions)
{
    actions.insert(actions.end(), std::make_move_iterator(actions_.begin()), std::make_move_iterator(actions_.end()));
    actions_.clear();
}

}
