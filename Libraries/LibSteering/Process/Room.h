#pragma once

#include <LibBase/Time.h>
#include <algorithm>
#include <cstdint>

namespace Steering {

/// Whether the room of one service is short, from the sum over its usable, sound and warm servers. The sum lags behind
/// by the age of peers' reports, so that a shortage ends only after a time.
class Room {
public:
    /// Requests that a server is meant to hold for each of its slots: one being handled, one waiting at the server, and
    /// one between caller and server, whose handshake and transfer take about as long as the handling. Servers are
    /// known to hold more; the rest absorbs what entry VMs with other lists of peers send.
    static constexpr uint32_t placesPerSlot = 3;
    /// Whether a server with these slots has a place left beside its requests in flight.
    static bool isPlaceFree(uint32_t slots, uint32_t inFlight)
    {
        return inFlight < std::max<uint32_t>(1, slots) * placesPerSlot;
    }

    /// Totals of one service.
    struct Load {
        /// Places of all servers together.
        uint32_t places { 0 };
        /// Requests in flight from all entry VMs.
        uint32_t inFlight { 0 };
        /// First packets of this entry VM that wait, or were rejected within about one request's time in flight.
        uint32_t unserved { 0 };
    };

    void update(Base::TimePoint now, const Load&);
    bool isShort() const { return isShort_; }
    const Load& load() const { return load_; }
    /// When the load was last determined.
    Base::TimePoint updatedAt() const { return updatedAt_; }

private:
    Load load_;
    bool isShort_ { false };
    Base::TimePoint updatedAt_ {};
    /// Moving average of the demand.
    double meanDemand_ { 0 };
    Base::TimePoint lastShortAt_ {};
};

}
