#include <LibSteering/Process/Room.h>

namespace Steering {

namespace {

    /// Room becomes short when two thirds of the places are taken: each slot is busy and has a request waiting for it.
    constexpr uint64_t shortNumerator = 2;
    constexpr uint64_t shortDenominator = 3;
    /// It is ample again below one half of the places, for longer than the oldest report that counts.
    constexpr double ampleDivisor = 2;
    constexpr Base::milliseconds ampleTime { 1000 };
    /// Weight of a new sample, taken every 25 ms: single peaks of the sum neither begin nor prolong a shortage.
    constexpr double smoothing = 0.25;

}

void Room::update(Base::TimePoint now, const Load& load)
{
    load_ = load;
    updatedAt_ = now;
    const auto demand = static_cast<uint64_t>(load.inFlight) + load.unserved;
    const bool isFull = load.places > 0 && demand * shortDenominator >= load.places * shortNumerator;
    meanDemand_ += (static_cast<double>(demand) - meanDemand_) * smoothing;
    const bool isAmple = meanDemand_ * ampleDivisor < load.places;
    isShort_ |= isFull && !isAmple;
    if (isFull || !isAmple)
        lastShortAt_ = now;
    if (load.places == 0 || now - lastShortAt_ >= ampleTime)
        isShort_ = false;
}

}
