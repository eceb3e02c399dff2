#pragma once

#include <LibConfiguration/Model.h>
#include <map>
#include <utility>

namespace Flow {

/// Limits retries to a fraction of the first attempts of a port class, so that retries cannot amplify an overload.
class RetryBudget {
public:
    /// Adds the credit that a first attempt earns.
    void recordFirstAttempt(Base::ServiceId, const Configuration::PortClass&);
    /// Consumes the credit of one retry. Returns false if there is not enough.
    bool tryConsume(Base::ServiceId, const Configuration::PortClass&);

private:
    /// Credit is counted in thousandths of a retry.
    static constexpr uint32_t maximumCredit = 10'000;
    static constexpr uint32_t retryCost = 1000;

    std::map<std::pair<Base::ServiceId, uint32_t>, uint32_t> credit_;
};

}
