#include <LibSteering/Connection/FlowChoices.h>

#include <algorithm>

namespace Steering {

namespace {

    /// Limits the size of reports.
    constexpr std::size_t maximumTold = 1000;
    /// Limits the memory when many nodes leave; further choices are not kept.
    constexpr std::size_t maximumKept = 20'000;
    /// A server repeats its handshake response for ten seconds, and the caller's next request may follow much later.
    constexpr Base::milliseconds lateTokenTimeout { 25'000 };
    constexpr Base::milliseconds expiryInterval { 2000 };

    uint64_t keyOf(const Packet::FlowKey& flow, FlowToken token) { return Base::mix(flow.hash(), token.value); }

}

void FlowChoices::accept(Base::TimePoint now, std::span<const FlowChoice> choices)
{
    for (const auto& choice : choices) {
        if (choices_.size() < maximumKept || choices_.contains(choice.key))
            choices_[choice.key] = { .server = choice.server, .endsAt = now + options_.retention };
    }
}

std::optional<BackendServerNumber> FlowChoices::find(
    Base::TimePoint now, const Packet::FlowKey& flow, FlowToken token) const
{
    const auto found = choices_.empty() ? choices_.end() : choices_.find(keyOf(flow, token));
    if (found == choices_.end() || now >= found->second.endsAt)
        return std::nullopt;
    return found->second.server;
}

std::vector<FlowChoice> FlowChoices::known(Base::TimePoint now, const FlowTable& flows) const
{
    std::vector<FlowChoice> choices;
    flows.forEach([&](const Packet::FlowKey& flow, const FlowRecord& record) {
        const bool isHedged = record.state == FlowState::Open && record.attemptCount > 1;
        if (!isHedged || now - record.firstSeen > lateTokenTimeout || choices.size() >= maximumTold)
            return;
        for (const auto server : std::span(record.attemptedServers).first(record.attemptCount)) {
            const auto token = FlowToken::tentative(server, flow, record.firstSequence);
            choices.push_back({ .key = keyOf(flow, token), .server = record.server });
        }
    });
    for (const auto& [key, choice] : choices_) {
        if (now < choice.endsAt && choices.size() < maximumTold)
            choices.push_back({ .key = key, .server = choice.server });
    }
    return choices;
}

void FlowChoices::expire(Base::TimePoint now)
{
    if (now < nextExpiry_)
        return;
    nextExpiry_ = now + expiryInterval;
    boost::unordered::erase_if(choices_, [&](const auto& entry) { return now >= entry.second.endsAt; });
}

}
