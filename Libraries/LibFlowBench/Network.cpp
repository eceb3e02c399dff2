#include <LibFlowBench/Network.h>

namespace FlowBench {

namespace {

    constexpr double maximumJitterFactor = 0.2;

    Base::nanoseconds scale(Base::nanoseconds duration, double factor)
    {
        return Base::nanoseconds(static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
    }

}

Network::Network(EventLoop& loop, const Deployment& deployment, uint64_t seed)
    : loop_(loop)
    , deployment_(deployment)
    , random_(seed)
{
}

void Network::isolate(Place domain)
{
    for (Place other = 0; other < deployment_.failureDomains.size(); ++other) {
        if (other == domain)
            continue;
        cut(domain, other);
        cut(other, domain);
    }
}

Base::nanoseconds Network::delay(Place from, Place to)
{
    Base::nanoseconds base = deployment_.betweenDomains;
    if (from == callers || to == callers)
        base = deployment_.toCallers;
    else if (from == to)
        base = deployment_.withinDomain;
    return base + scale(base, random_.unit() * maximumJitterFactor);
}

void Network::sendPacket(Place from, Place to, const EventLoop::Callback& deliver)
{
    if (isCut(from, to) || random_.chance(faults_.loss))
        return;
    const int copies = random_.chance(faults_.duplication) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        auto wait = delay(from, to);
        if (random_.chance(faults_.reordering))
            wait += scale(faults_.reorderDelay, random_.unit());
        loop_.after(wait, deliver);
    }
}

void Network::sendControl(Place from, Place to, const EventLoop::Callback& deliver)
{
    if (isCut(from, to) || random_.chance(faults_.controlLoss))
        return;
    loop_.after(delay(from, to) + scale(faults_.controlDelay, random_.unit()), deliver);
}

}
