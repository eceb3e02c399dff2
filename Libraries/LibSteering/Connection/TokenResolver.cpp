#include <LibSteering/Connection/TokenResolver.h>

#include <algorithm>

namespace Steering {

TokenResolver::Resolution TokenResolver::resolve(
    const PacketView& packet, const std::vector<ServiceIndex>& services, const FlowRecord* opening) const
{
    if (!packet.token.isValid())
        return { .server = std::nullopt, .refusal = Refusal::NoToken };
    if (!packet.token.isTentative()) {
        const auto index = servers_.resolve(packet.token, services);
        return { .server = index, .refusal = index ? Refusal::None : Refusal::UnknownToken };
    }
    // After the start of a flow that is still awaited here, the caller has opened it through another node, and a
    // tentative token tells nothing about its choice.
    const bool isStartOfFlow = opening != nullptr && packet.sequence == opening->firstSequence + 1;
    if (!isStartOfFlow)
        return { .server = std::nullopt, .refusal = Refusal::UnconfirmedToken };
    return resolveTentative(packet, *opening);
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
