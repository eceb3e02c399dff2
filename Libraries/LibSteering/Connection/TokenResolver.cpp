#include <LibSteering/Connection/TokenResolver.h>

#include <algorithm>

namespace Steering {

namespace {

    /// Callers send the next copy of a first packet 200 ms later at the earliest. Until then, and with a margin for the
    /// time on the way, no other node can have offered the flow to a server.
    constexpr Base::milliseconds soleOfferTime { 150 };

}

TokenResolver::Resolution TokenResolver::resolve(Base::TimePoint now, const PacketView& packet,
    const std::vector<ServiceIndex>& services, const FlowRecord* opening) const
{
    if (!packet.token.isValid())
        return { .server = std::nullopt, .refusal = Refusal::NoToken };
    if (!packet.token.isTentative()) {
        const auto index = servers_.resolve(packet.token, services);
        return { .server = index, .refusal = index ? Refusal::None : Refusal::UnknownToken };
    }
    if (opening == nullptr || !showsChoice(now, packet, *opening))
        return { .server = std::nullopt, .refusal = Refusal::UnconfirmedToken };
    return resolveTentative(packet, *opening);
}

bool TokenResolver::showsChoice(Base::TimePoint now, const PacketView& packet, const FlowRecord& opening)
{
    const auto age = now - opening.lastSeen;
    // The packets of a long first request may arrive in any order.
    if (age < soleOfferTime)
        return true;
    // Later on, the caller may have opened the flow through another node, and sent requests since.
    return age < openingTimeout && packet.sequence == opening.firstSequence + 1;
}

TokenResolver::Resolution TokenResolver::resolveTentative(const PacketView& packet, const FlowRecord& opening) const
{
    const auto attempts = std::span(opening.attemptedServers).first(opening.attemptCount);
    const auto chosen = std::ranges::find_if(attempts, [&](BackendServerNumber number) {
        return FlowToken::tentative(number, packet.flow, opening.firstSequence) == packet.token;
    });
    if (chosen == attempts.end())
        return { .server = std::nullopt, .refusal = Refusal::UnconfirmedToken };
    const auto index = servers_.find(*chosen);
    return { .server = index, .refusal = index ? Refusal::None : Refusal::UnknownToken };
}

}
