#pragma once

#include <LibSteering/Request/ServerChoice.h>
#include <LibSteering/Version/RouteTable.h>
#include <array>
#include <functional>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

namespace Steering {

/// Why a new flow went to another service of its route than that of its share.
enum class ShareDiversion : uint8_t {
    None,
    /// The share's service has no sound server, and no cold one within its warm-up allowance.
    NoServer,
    /// All sound servers of the share's service hold as many requests as they can.
    NoRoom,
};
constexpr std::size_t shareDiversionCount = 3;
std::string_view toString(ShareDiversion);

/// Chooses the service of a new flow among those of its route, and a backend server of it.
///
/// The flow's hash determines the service of its share, so that the weights hold on each node alone. While that service
/// has no usable server or no room, its flows are divided among the route's other services by their weights, again by
/// hash. Services of weight 0 get none. A service that had no room gets its flows back once a part of its room is free.
/// Routes with a single service of a weight above 0 are not affected.
class ShareChoice {
public:
    struct Options {
        /// Whether the server can hold a further request. Empty: judged by the requests in flight for each slot.
        std::function<bool(Base::TimePoint, const Server&)> hasPlace {};
    };

    struct ShareResult {
        Choice choice;
        ServiceIndex asked { 0 };
        ServiceIndex given { 0 };
        ShareDiversion diversion { ShareDiversion::None };
    };

    /// What the choice needs to know about a flow, beyond its share.
    struct Requirements {
        /// Whether the route does not allow the server; may be empty.
        std::function<bool(const Server&)> isForbidden;
        /// Whether this flow must not go to the server now, for example since an attempt was made there; may be empty.
        std::function<bool(const Server&)> isExcluded;
        const std::vector<Base::EntryVmId>* peers { nullptr };
    };

    ShareChoice(Options options, ServerTable& servers, ServerChoice& choice)
        : options_(std::move(options))
        , servers_(servers)
        , choice_(choice)
    {
    }

    std::optional<ShareResult> choose(
        Base::TimePoint now, const Packet::FlowKey&, const RouteTable::CompiledRoute&, const Requirements&);
    /// Forgets which services had no room. Called when the routes are replaced.
    void reset() { withoutRoom_.clear(); }

private:
    enum class Condition : uint8_t {
        HasRoom,
        Full,
        NoSoundServer,
    };
    using ServiceOfRoute = std::pair<Base::Ipv4Endpoint, ServiceIndex>;

    struct ServerCounts {
        uint32_t soundServers { 0 };
        uint32_t serversWithPlace { 0 };
    };

    Condition condition(Base::TimePoint now, const ServiceOfRoute&, const Requirements&);
    /// Counts sound servers, up to this many with a place.
    ServerCounts countServers(Base::TimePoint now, ServiceIndex, const Requirements&, uint32_t maximumWithPlace) const;
    bool hasPlace(Base::TimePoint now, const Server&) const;
    std::optional<Choice> chooseServer(Base::TimePoint now, const RouteTable::Share&, const Requirements&);
    std::optional<ShareResult> divert(Base::TimePoint now, const Packet::FlowKey&, const RouteTable::CompiledRoute&,
        const RouteTable::Share& own, Condition ownCondition, const Requirements&);

    Options options_;
    ServerTable& servers_;
    ServerChoice& choice_;
    /// The services without room, by route, and when each may be examined again.
    std::map<ServiceOfRoute, Base::TimePoint> withoutRoom_;
};

}
