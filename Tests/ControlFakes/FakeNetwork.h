#pragma once

#include <LibBase/Identifiers.h>
#include <LibBase/Random.h>
#include <LibBase/Time.h>
#include <functional>
#include <optional>

namespace ControlFakes {

/// Simulates delay, loss and partitions between the nodes of a fleet.
class FakeNetwork {
public:
    explicit FakeNetwork(uint64_t seed)
        : random_(seed)
    {
    }

    /// Probability that a message is lost.
    double loss { 0 };
    /// Whether messages from one node to another are cut off; if empty, none are.
    std::function<bool(std::size_t from, std::size_t to)> isCut;
    /// Minimum delay from one node to another; a random delay up to the same length is added.
    std::function<Base::microseconds(std::size_t from, std::size_t to)> delay;

    /// The delay of a message, or nullopt if it is lost.
    std::optional<Base::nanoseconds> deliveryDelay(std::size_t from, std::size_t to)
    {
        if ((isCut && isCut(from, to)) || random_.chance(loss))
            return std::nullopt;
        const Base::nanoseconds minimumDelay = delay ? delay(from, to) : Base::microseconds(500);
        return minimumDelay + Base::nanoseconds(random_.below(static_cast<uint64_t>(minimumDelay.count()) + 1));
    }

private:
    Base::Random random_;
};

}
