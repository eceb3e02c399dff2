#include <LibFlow/Process/WarmUp.h>
#include <algorithm>

namespace Flow {

void WarmUp::applyPeerWarmth(TimePoint now, double warmth, milliseconds duration)
{
    if (warmth >= 1 || warmth >= this->warmth(now, duration))
        return;
    auto age = std::chrono::duration_cast<Base::nanoseconds>(duration * warmth);
    coldSince_ = now - age;
}

double WarmUp::warmth(TimePoint now, milliseconds duration) const
{
    if (coldSince_ == TimePoint::min() || now - coldSince_ >= duration)
        return 1;
    return std::max(minimumWarmth, Base::toSeconds(now - coldSince_) / Base::toSeconds(duration));
}

void WarmUp::earnCredit(TimePoint now, milliseconds duration)
{
    credit_ = std::min(credit_ + warmth(now, duration), maximumCredit);
}

bool WarmUp::hasCredit(TimePoint now, milliseconds duration) const
{
    return warmth(now, duration) >= 1 || credit_ >= 1;
}

}
