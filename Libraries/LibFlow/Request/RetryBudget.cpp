#include <LibFlow/Request/RetryBudget.h>
#include <algorithm>

namespace Flow {

namespace {

    std::pair<Base::ServiceId, uint32_t> keyOf(Base::ServiceId service, const Configuration::PortClass& portClass)
    {
        return { service, (static_cast<uint32_t>(portClass.port) << 8) | static_cast<uint32_t>(portClass.protocol) };
    }

}

void RetryBudget::recordFirstAttempt(Base::ServiceId service, const Configuration::PortClass& portClass)
{
    auto& credit = credit_[keyOf(service, portClass)];
    credit = std::min(credit + portClass.retryPermille, maximumCredit);
}

bool RetryBudget::tryConsume(Base::ServiceId service, const Configuration::PortClass& portClass)
{
    auto& credit = credit_[keyOf(service, portClass)];
    if (credit < retryCost)
        return false;
    credit -= retryCost;
    return true;
}

}
