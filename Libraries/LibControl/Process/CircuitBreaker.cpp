#include <LibControl/Process/CircuitBreaker.h>

namespace Control {

bool CircuitBreaker::tryAllowCall(Base::TimePoint now)
{
    if (!isOpen())
        return true;
    if (now < nextTrialCallAt_)
        return false;
    nextTrialCallAt_ = now + backoff_.nextDelay(random_);
    return true;
}

void CircuitBreaker::recordSuccess()
{
    consecutiveFailures_ = 0;
    backoff_.reset();
}

void CircuitBreaker::recordFailure(Base::TimePoint now)
{
    if (isOpen())
        return;
    ++consecutiveFailures_;
    if (isOpen())
        nextTrialCallAt_ = now + backoff_.nextDelay(random_);
}

}
