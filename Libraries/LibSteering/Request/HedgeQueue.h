#pragma once

#include <LibBase/Time.h>
#include <LibSteering/Events.h>
#include <deque>
#include <optional>

namespace Steering {

/// First packets that are sent to a further backend server unless their handshake is completed in time. Times exclude
/// those in which the node read no packets: stallTime is the node's total of them.
class HedgeQueue {
public:
    struct Pending {
        Packet::FlowKey flow;
        uint32_t sequence { 0 };
        FirstPacketBytes bytes {};
        Base::TimePoint dueAt;
        /// The total stall time when the packet was forwarded.
        Base::nanoseconds stallTimeAtAttempt { 0 };
    };

    void add(Base::TimePoint now, Base::nanoseconds stallTime, const PacketView&, std::span<const std::byte> bytes);
    std::optional<Pending> popDue(Base::TimePoint now, Base::nanoseconds stallTime);
    /// When the next one is due at the earliest.
    Base::TimePoint nextDue(Base::nanoseconds stallTime) const;

    /// The time from a first packet to the completed handshake, for a flow with a single connection attempt.
    void recordHandshake(Base::microseconds time);
    /// How long the handshake may take before a further server is tried.
    Base::microseconds delay() const;

private:
    std::deque<Pending> pending_;
    /// Smoothed handshake time. The initial value is long, so that no hedged attempt is made before the actual time is
    /// known: handshakes take one round trip to the caller, a few milliseconds on known fabrics.
    Base::microseconds handshakeTime_ { 20'000 };
};

}
