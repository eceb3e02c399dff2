#pragma once

#include <algorithm>
#include <cstdint>
#include <map>

namespace Overload {

/// Limits further attempts to a fraction of the first attempts with the same key, so that they cannot amplify an
/// overload.
template <typename Key>
class RetryBudget {
public:
    /// Adds the credit that a first attempt earns, in thousandths of a further attempt.
    void recordFirstAttempt(const Key& key, uint32_t permille)
    {
        auto& credit = credit_[key];
        credit = std::min(credit + permille, maximumCredit);
    }

    /// Consumes the credit of one further attempt. Returns false if there is not enough.
    bool tryConsume(const Key& key)
    {
        auto& credit = credit_[key];
        if (credit < attemptCost)
            return false;
        credit -= attemptCost;
        return true;
    }

private:
    /// Credit is counted in thousandths of an attempt.
    static constexpr uint32_t maximumCredit = 10'000;
    static constexpr uint32_t attemptCost = 1000;

    std::map<Key, uint32_t> credit_;
};

}
