#include <LibSteering/Request/HedgeQueue.h>

#include <algorithm>
#include <cstring>

namespace Steering {

namespace {

    /// A hedged attempt costs a connection at a server, a lost first packet costs its caller 200 ms. After three usual
    /// handshake times, one hedged attempt in a hundred is unnecessary.
    constexpr int hedgeDelayFactor = 3;
    constexpr Base::milliseconds minimumHedgeDelay { 25 };
    constexpr Base::milliseconds maximumHedgeDelay { 150 };
    /// A new sample has one eighth of the weight in the smoothed handshake time, as in TCP's round-trip time estimate.
    constexpr int handshakeSmoothingDivisor = 8;

}

void HedgeQueue::add(
    Base::TimePoint now, Base::nanoseconds stallTime, const PacketView& packet, std::span<const std::byte> bytes)
{
    if (bytes.size() != FirstPacketBytes {}.size())
        return;
    Pending pending { .flow = packet.flow, .sequence = packet.sequence };
    std::memcpy(pending.bytes.data(), bytes.data(), bytes.size());
    pending.dueAt = now + delay();
    pending.stallTimeAtAttempt = stallTime;
    pending_.push_back(pending);
}

std::optional<HedgeQueue::Pending> HedgeQueue::popDue(Base::TimePoint now, Base::nanoseconds stallTime)
{
    if (pending_.empty() || nextDue(stallTime) > now)
        return std::nullopt;
    const auto due = pending_.front();
    pending_.pop_front();
    return due;
}

Base::TimePoint HedgeQueue::nextDue(Base::nanoseconds stallTime) const
{
    if (pending_.empty())
        return Base::TimePoint::max();
    return pending_.front().dueAt + (stallTime - pending_.front().stallTimeAtAttempt);
}

void HedgeQueue::recordHandshake(Base::microseconds time)
{
    handshakeTime_ += (time - handshakeTime_) / handshakeSmoothingDivisor;
}

Base::microseconds HedgeQueue::delay() const
{
    return std::clamp<Base::microseconds>(handshakeTime_ * hedgeDelayFactor, minimumHedgeDelay, maximumHedgeDelay);
}

}
