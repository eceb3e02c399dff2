#include <LibSteering/Request/ServerChoice.h>

#include <algorithm>
#include <limits>

namespace Steering {

namespace {

    /// Costs are in service times of the median server of a service, the time that one request in flight per slot
    /// takes. A server in another failure domain must be better by this. Just under 0.5, one of two slots: among equal
    /// servers, another domain is used as soon as the own one has no free slot left.
    constexpr double otherDomainCost = 0.45;
    /// Servers whose load is not known here are used once those with a known load have no free slot.
    constexpr double unknownLoadCost = 1.0;

    /// Selects the candidate with the lowest cost, and each of several equal ones with the same probability.
    class LowestCost {
    public:
        explicit LowestCost(Base::Random& random)
            : random_(random)
        {
        }

        void consider(ServerIndex index, double cost)
        {
            if (cost > cost_)
                return;
            equalCount_ = cost < cost_ ? 1 : equalCount_ + 1;
            cost_ = cost;
            if (random_.below(equalCount_) == 0)
                index_ = index;
        }

        bool isFound() const { return equalCount_ > 0; }
        ServerIndex index() const { return index_; }

    private:
        Base::Random& random_;
        double cost_ { std::numeric_limits<double>::infinity() };
        uint64_t equalCount_ { 0 };
        ServerIndex index_ { 0 };
    };

}

std::string_view toString(ChoiceTier tier)
{
    switch (tier) {
    case ChoiceTier::Sound:
        return "sound";
    case ChoiceTier::Suspect:
        return "suspect";
    case ChoiceTier::Cold:
        return "cold";
    }
    return "unknown";
}

ServerChoice::ServerChoice(
    const Options& options, ServerTable& servers, DomainReachability& reachability, WarmUpAllowance& allowance)
    : servers_(servers)
    , reachability_(reachability)
    , allowance_(allowance)
    , ownDomain_(servers.domainIndex(options.failureDomain))
    , isLoadKnown_(options.isLoadKnown)
    , random_(options.seed)
{
}

void ServerChoice::setEvacuated(const std::string& failureDomain, bool isEvacuated)
{
    const auto domain = servers_.domainIndex(failureDomain);
    if (isEvacuated)
        evacuated_.insert(domain);
    else
        evacuated_.erase(domain);
}

bool ServerChoice::isUsable(const Server& server) const
{
    const bool isPresent = server.presence == Presence::Listed || server.presence == Presence::Unconfirmed;
    return isPresent && server.entry.state == ServerState::Ready && !server.isShadowed && !server.hasEnded
        && !evacuated_.contains(server.domain);
}

bool ServerChoice::isSound(Base::TimePoint now, const Server& server) const
{
    return isUsable(server) && !server.isCold(now) && now >= server.suspectUntil
        && !reachability_.isSuspect(now, server.domain);
}

double ServerChoice::cost(const Server& server) const
{
    const auto slots = static_cast<double>(std::max<uint32_t>(1, server.entry.slots));
    const bool isOwnDomain = server.domain == ownDomain_;
    const bool isKnown = !isLoadKnown_ || isLoadKnown_(server.entry.number, isOwnDomain);
    const double load = static_cast<double>(server.inFlight()) / slots;
    // The time to finish the requests in flight, in service times of a median server.
    return load * server.relativeServiceTime + (isOwnDomain ? 0 : otherDomainCost) + (isKnown ? 0 : unknownLoadCost);
}

std::optional<Choice> ServerChoice::choose(Base::TimePoint now, const Requirements& requirements)
{
    LowestCost sound(random_);
    LowestCost suspect(random_);
    bool anyCold = false;
    for (const auto index : servers_.serversOf(requirements.service)) {
        const auto& server = servers_.at(index);
        if (!isUsable(server) || (requirements.isExcluded && requirements.isExcluded(server)))
            continue;
        if (server.isCold(now)) {
            anyCold = true;
            continue;
        }
        const auto suspectUntil = std::max(server.suspectUntil, reachability_.suspectUntil(server.domain));
        if (now >= suspectUntil)
            sound.consider(index, cost(server));
        else
            suspect.consider(index, Base::toSeconds(suspectUntil.time_since_epoch()));
    }
    if (sound.isFound())
        return Choice { .server = sound.index(), .tier = ChoiceTier::Sound };
    if (anyCold) {
        if (const auto cold = chooseCold(now, requirements))
            return cold;
    }
    if (suspect.isFound())
        return Choice { .server = suspect.index(), .tier = ChoiceTier::Suspect };
    return std::nullopt;
}

std::optional<Choice> ServerChoice::chooseCold(Base::TimePoint now, const Requirements& requirements)
{
    std::vector<ServerIndex> cold;
    for (const auto index : servers_.serversOf(requirements.service)) {
        const auto& server = servers_.at(index);
        if (isUsable(server) && server.isCold(now) && !(requirements.isExcluded && requirements.isExcluded(server))
            && !reachability_.isSuspect(now, server.domain) && now >= server.suspectUntil)
            cold.push_back(index);
    }
    std::ranges::sort(cold, {}, [&](ServerIndex index) { return cost(servers_.at(index)); });
    for (const auto index : cold) {
        const auto& server = servers_.at(index);
        if (allowance_.tryConsume(now, server.entry.number, requirements.warmUpRequestsPerSecond, *requirements.peers))
            return Choice { .server = index, .tier = ChoiceTier::Cold };
    }
    return std::nullopt;
}

}
