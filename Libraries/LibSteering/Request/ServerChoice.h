#pragma once

#include <LibBase/Random.h>
#include <LibSteering/Process/DomainReachability.h>
#include <LibSteering/Process/PeerLoads.h>
#include <LibSteering/Process/ServerTable.h>
#include <LibSteering/Process/WarmUpAllowance.h>
#include <functional>
#include <string_view>
#include <unordered_set>

namespace Steering {

/// How good a choice is. ServerChoice prefers Sound to Cold, and Cold to Suspect.
enum class ChoiceTier : uint8_t {
    /// Warm and, as far as is known, reachable.
    Sound,
    /// Recent first packets to the server or its failure domain got no response.
    Suspect,
    /// Cold, within its warm-up allowance.
    Cold,
};
std::string_view toString(ChoiceTier);

struct Choice {
    ServerIndex server { 0 };
    ChoiceTier tier { ChoiceTier::Sound };
};

/// Chooses the backend server of a new flow: the one expected to finish its requests in flight soonest, by their number
/// per slot and its service time, preferring the own failure domain.
class ServerChoice {
public:
    struct Options {
        std::string failureDomain;
        uint64_t seed { 1 };
        /// Whether the server's load is known, since all entry VMs that use it report here. The second argument tells
        /// whether the server is in the own failure domain. Empty: always true.
        std::function<bool(BackendServerNumber, bool)> isLoadKnown {};
    };

    ServerChoice(const Options&, ServerTable&, DomainReachability&, WarmUpAllowance&);

    /// Requirements of one choice.
    struct Requirements {
        ServiceIndex service { 0 };
        double warmUpRequestsPerSecond { 0 };
        /// Whether the server must not be chosen, beyond what this class checks; may be empty.
        std::function<bool(const Server&)> isExcluded;
        const std::vector<Base::EntryVmId>* peers { nullptr };
    };

    std::optional<Choice> choose(Base::TimePoint now, const Requirements&);
    void setEvacuated(const std::string& failureDomain, bool isEvacuated);
    /// Whether new flows may go to the failure domain's servers.
    bool isDomainUsable(DomainIndex domain) const { return !evacuated_.contains(domain); }
    /// Whether new flows may go to the server at all.
    bool isUsable(const Server&) const;
    /// Whether new flows may go to the server, it is warm and not suspect.
    bool isSound(Base::TimePoint now, const Server&) const;

private:
    double cost(const Server&) const;
    std::optional<Choice> chooseCold(Base::TimePoint now, const Requirements&);

    ServerTable& servers_;
    DomainReachability& reachability_;
    WarmUpAllowance& allowance_;
    DomainIndex ownDomain_;
    std::function<bool(BackendServerNumber, bool)> isLoadKnown_;
    std::unordered_set<DomainIndex> evacuated_;
    Base::Random random_;
};

}
