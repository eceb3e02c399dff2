#include <LibSteering/Request/ServerChoice.h>

#include <algorithm>
#include <limits>

namespace Steering {

namespace {

    /// Work in progress for each slot that a server in another failure domain must be better by. Just under half a
    /// slot's pair: another domain is taken as soon as the own one has no free slot left.
    constexpr double otherDomainCost = 0.45;
    /// Servers whose load is not known here are taken once those that are known have no slot free.
    constexpr double unknownLoadCost = 1.0;

    /// Keeps the best of several, and each of the equally best with the same probability.
    class Best {
    public:
        explicit Best(Base::Random& random)
            : random_(random)
        {
        }

        void offer(ServerIndex index, double cost)
        {
            if (cost > cost_)
                return;
            equals_ = cost < cost_ ? 1 : equals_ + 1;
            cost_ = cost;
            if (random_.below(equals_) == 0)
                index_ = index;
        }

        bool isFound() const { return equals_ > 0; }
        ServerIndex index() const { return index_; }

    private:
        Base::Random& random_;
        double cost_ { std::numeric_limits<double>::infinity() };
        uint64_t equals_ { 0 };
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
    const bool isPresent = server.presence == Presence::Listed || server.presence == Presence::Held;
    return isPresent && server.entry.state == ServerState::Ready && !server.isShadowed
        && !evacuated_.contains(server.domain);
}

double ServerChoice::cost(const Server& server) const
{
    const auto slots = static_cast<double>(std::max<uint32_t>(1, server.entry.slots));
    const bool isOwnDomain = server.domain == ownDomain_;
    const bool isKnown = !isLoadKnown_ || isLoadKnown_(server.entry.number, isOwnDomain);
    return static_cast<double>(server.inProgress()) / slots + (isOwnDomain ? 0 : otherDomainCost)
        + (isKnown ? 0 : unknownLoadCost);
}

std::optional<Choice> ServerChoice::choose(Base::TimePoint now, const Question& question)
{
    Best sound(random_);
    Best suspect(random_);
    bool anyCold = false;
    for (const auto index : servers_.serversOf(question.service)) {
        const auto& server = servers_.at(index);
        if (!isUsable(server) || (question.isExcluded && question.isExcluded(server)))
            continue;
        if (now < server.coldUntil) {
            anyCold = true;
            continue;
        }
        const auto suspectUntil = std::max(server.suspectUntil, reachability_.suspectUntil(server.domain));
        if (now >= suspectUntil)
            sound.offer(index, cost(server));
        else
            suspect.offer(index, Base::toSeconds(suspectUntil.time_since_epoch()));
    }
    if (sound.isFound())
        return Choice { .server = sound.index(), .tier = ChoiceTier::Sound };
    if (anyCold) {
        if (const auto cold = chooseCold(now, question))
            return cold;
    }
    if (suspect.isFound())
        return Choice { .server = suspect.index(), .tier = ChoiceTier::Suspect };
    return std::nullopt;
}

std::optional<Choice> ServerChoice::chooseCold(Base::TimePoint now, const Question& question)
{
    std::vector<ServerIndex> cold;
    for (const auto index : servers_.serversOf(question.service)) {
        const auto& server = servers_.at(index);
        if (isUsable(server) && now < server.coldUntil && !(question.isExcluded && question.isExcluded(server))
            && !reachability_.isSuspect(now, server.domain) && now >= server.suspectUntil)
            cold.push_back(index);
    }
    std::ranges::sort(cold, {}, [&](ServerIndex index) { return cost(servers_.at(index)); });
    for (const auto index : cold) {
        const auto& server = servers_.at(index);
        if (allowance_.tryTake(now, server.entry.number, question.warmUpRequestsPerSecond, *question.peers))
            return Choice { .server = index, .tier = ChoiceTier::Cold };
    }
    return std::nullopt;
}

}
