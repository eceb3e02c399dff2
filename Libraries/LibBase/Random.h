#pragma once

#include <LibBase/Hash.h>
#include <cstdint>

namespace Base {

/// A deterministic pseudo-random number generator (SplitMix64). Objects with decision logic are given a seed and never
/// read a random device, so that tests can reproduce their decisions.
class Random {
public:
    explicit Random(uint64_t seed)
        : state_(seed)
    {
    }

    /// The next 64 random bits.
    uint64_t next()
    {
        state_ += 0x9E3779B97F4A7C15ULL;
        return mix(state_);
    }

    /// An integer in [0, bound); bound must not be zero.
    uint64_t below(uint64_t bound) { return next() % bound; }

    /// A floating-point number in [0, 1).
    double unit() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }

    /// Returns true with the given probability.
    bool chance(double probability) { return unit() < probability; }

private:
    uint64_t state_;
};

}
