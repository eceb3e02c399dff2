#pragma once

#include <LibBase/Time.h>
#include <LibSteering/Version/Configuration.h>
#include <algorithm>
#include <boost/unordered/unordered_flat_map.hpp>
#include <optional>
#include <string>
#include <vector>

namespace Steering {

/// Indexes into the tables of one process; never sent to other nodes.
using ServiceIndex = uint32_t;
using DomainIndex = uint32_t;
using ServerIndex = uint32_t;

/// Whether a backend server's entry is in the store.
enum class Presence : uint8_t {
    Listed,
    /// The entry disappeared while the store was unreachable; the server stays usable until the grace period ends.
    Unconfirmed,
    /// The entry was removed: no new flows, but open flows still reach the server.
    Retired,
    /// The index is unused.
    Free,
};

/// What is known about a restart of a backend server that the store could not tell; see RestartSuspicion.
struct RestartEvidence {
    /// The server completes handshakes although it refuses probes, which therefore show nothing.
    bool ignoresProbes { false };
    /// Probes found no process while the store was unreachable, and none has found one since.
    bool isAbsent { false };
    /// When probes found no process; the epoch if they always found one.
    Base::TimePoint absentAt {};
    /// When the first of consecutive probes was not answered; the epoch if the last one was.
    Base::TimePoint unansweredSince {};
    /// Those of them that were not answered while the server's failure domain responded.
    uint32_t unansweredProbes { 0 };
    /// How long the server counts as cold because of this node's probes, and because of the reports of peers.
    Base::TimePoint ownColdUntil {};
    Base::TimePoint peersColdUntil {};
    /// The server registered after the store's return; reports of peers are out of date until then.
    Base::TimePoint confirmedUntil {};
};

/// State of one backend server in this process.
struct Server {
    BackendServerEntry entry;
    FlowToken confirmedToken;
    ServiceIndex service { 0 };
    DomainIndex domain { 0 };
    Presence presence { Presence::Free };
    /// Another server of the service has the same confirmed token and a smaller number.
    bool isShadowed { false };
    /// A configuration has named its service at some time since it was added. Until then the entry names no server to
    /// use, and says nothing about packets that carry its number.
    bool hasBeenConfigured { false };
    /// Another entry claims the same number; see ServerClaims.
    bool isContested { false };
    /// The address at which it responded last. Open flows stay there, whatever the entry says since.
    std::optional<Base::Ipv4Endpoint> confirmedAddress;
    /// When the entry's address became known, and the one before.
    Base::TimePoint addressKnownSince {};
    std::optional<Base::Ipv4Endpoint> previousAddress;
    /// A server of a configured service that started later is registered at the same address. Another writer may have
    /// made that entry by mistake, so that it alone does not show that this server has ended.
    bool isSuperseded { false };
    Base::TimePoint supersededAt {};
    /// This server was superseded, and packets have shown that it has ended.
    bool hasEnded { false };
    /// When nothing but silence has shown so, which a cut causes as well; the epoch otherwise.
    Base::TimePoint endShownBySilenceAt {};
    /// When an Unconfirmed server becomes Retired, or a Retired one is erased.
    Base::TimePoint presenceEndsAt {};
    Base::TimePoint coldUntil {};
    RestartEvidence restart;
    /// Consecutive first packets without a response.
    uint32_t consecutiveTimeouts { 0 };
    Base::TimePoint suspectUntil {};
    Base::TimePoint lastHandshakeAt {};
    /// When a caller last completed a handshake or acknowledged a part of a response, as seen by this node.
    Base::TimePoint lastResponseAt {};
    /// State of the probes; see StalledFlows.
    bool isProbePending { false };
    Base::TimePoint lastProbeAt {};
    /// When a probe last failed, if the server has not responded since.
    Base::TimePoint unreachableAt {};
    /// Requests in flight from this node, and from its peers as reported.
    uint32_t ownInFlight { 0 };
    uint32_t peersInFlight { 0 };
    /// The part of ownInFlight that stands for back-off periods; see ResponseQuality.
    uint32_t ownBackOffs { 0 };
    /// Moving average of the share of short responses that this node saw; see ResponseQuality.
    double shortResponseShare { 0 };
    /// Service time relative to the median server of its service; see ServiceTimes.
    double relativeServiceTime { 1 };

    bool isCold(Base::TimePoint now) const
    {
        return now < coldUntil || now < restart.ownColdUntil || now < restart.peersColdUntil;
    }
    uint32_t inFlight() const { return ownInFlight + peersInFlight; }
    /// Where packets of open flows are sent. First packets are sent to the entry's address.
    const Base::Ipv4Endpoint& flowAddress() const { return confirmedAddress ? *confirmedAddress : entry.address; }
    /// The server has responded to a packet that was sent to the entry's address at the given time.
    void confirmAddress(Base::TimePoint sentAt)
    {
        if (!previousAddress || sentAt > addressKnownSince)
            confirmedAddress = entry.address;
        else if (!confirmedAddress)
            confirmedAddress = previousAddress;
    }
    /// Whether the entry alone, of several with this number, says where the server is.
    bool isAddressUnproven() const { return isContested && !confirmedAddress; }
    void recordEndShownByPackets()
    {
        hasEnded = true;
        endShownBySilenceAt = {};
    }
    void withdrawEnd()
    {
        hasEnded = false;
        endShownBySilenceAt = {};
    }
    /// A later server is registered at its address. New flows avoid this one; when delayed responses are over, one
    /// first packet at a time tries it.
    void recordSuperseded(Base::TimePoint now)
    {
        supersededAt = now;
        suspectUntil = std::max(suspectUntil, now + delayedResponseTimeout);
        consecutiveTimeouts = std::max(consecutiveTimeouts, timeoutsOfSuspect);
    }
    /// Whether a later server is registered at its address, and this one has not responded since delayed responses are
    /// over.
    bool isReplaced() const
    {
        return hasEnded || (isSuperseded && lastResponseAt <= supersededAt + delayedResponseTimeout);
    }

    /// Callers may acknowledge a server's responses for this long after it has ended.
    static constexpr Base::milliseconds delayedResponseTimeout { 1000 };
    /// From this number of consecutive timeouts on, one first packet at a time is sent.
    static constexpr uint32_t timeoutsOfSuspect = 2;
    /// A server that has an entry and was silent this long ago may respond again.
    static constexpr Base::milliseconds silenceValidity { 1000 };
};

/// All backend servers known to this process, by number, by confirmed token and by service. Indexes stay valid until
/// the server is erased.
class ServerTable {
public:
    struct Options {
        /// How long a server stays resolvable after its entry was removed: the maximum lifetime of a flow.
        Base::milliseconds retention { 60'000 };
        /// How long a server without an entry stays usable once the store is reachable again. Running servers register
        /// again within two seconds.
        Base::milliseconds removalGracePeriod { 2300 };
    };

    explicit ServerTable(Options options)
        : options_(options)
    {
    }

    /// Adds or updates a server. Returns true if a new process runs under a known number.
    bool addOrUpdate(Base::TimePoint now, const BackendServerEntry&, Base::milliseconds serviceWarmUp);
    /// Whether the entry was written before what is known of its server, or by one that has gone since.
    bool isOutdated(const BackendServerEntry&) const;
    /// Handles the removal of a server's entry. Returns the new presence, or Free if the server is unknown.
    Presence removeEntry(Base::TimePoint now, BackendServerNumber);
    void setStoreReachable(Base::TimePoint now, bool isReachable);
    /// Sets the services that the configuration in force names. Entries of other services are kept, but say nothing
    /// about other servers at their address.
    void setConfiguredServices(Base::TimePoint now, std::vector<ServiceIndex>);
    /// Whether the configuration in force names the service.
    bool isConfigured(ServiceIndex) const;
    /// The server has completed a handshake, so that earlier ones at its address have ended.
    void confirmEndOfEarlierServers(ServerIndex);
    /// Ends grace periods and erases servers whose retention is over. Called every 250 ms.
    void expire(Base::TimePoint now);

    ServiceIndex serviceIndex(const std::string& name);
    const std::string& serviceName(ServiceIndex service) const { return services_[service]; }
    DomainIndex domainIndex(const std::string& name);
    const std::string& domainName(DomainIndex domain) const { return domains_[domain]; }
    std::size_t domainCount() const { return domains_.size(); }

    /// The service's servers, in no particular order.
    const std::vector<ServerIndex>& serversOf(ServiceIndex service) const { return serversByService_[service]; }
    Server& at(ServerIndex index) { return servers_[index]; }
    const Server& at(ServerIndex index) const { return servers_[index]; }
    /// A request of this node has ended, or no longer counts as in flight.
    void decrementOwnInFlight(BackendServerNumber);
    std::optional<ServerIndex> find(BackendServerNumber) const;
    /// The server that a confirmed token identifies, preferring those of the given services.
    std::optional<ServerIndex> resolve(FlowToken, const std::vector<ServiceIndex>& services) const;
    /// The store lost entries that running servers write again: servers stay usable without one for a while.
    void beginRemovalGrace(Base::TimePoint now);
    std::size_t size() const { return byNumber_.size(); }
    /// Calls function(index, server) for each server.
    template <typename Function>
    void forEach(Function&& function)
    {
        for (const auto& [number, index] : byNumber_)
            function(index, servers_[index]);
    }

private:
    ServerIndex allocate();
    void attach(Base::TimePoint now, ServerIndex);
    /// updateSuperseded must be called for the address afterwards.
    void detach(ServerIndex);
    void updateShadows(FlowToken);
    void updateSuperseded(Base::TimePoint now, const Base::Ipv4Endpoint& address);
    /// Whether the other server's entry shows that its process runs at the server's address.
    bool supersedes(const Server& other, const Server&) const;
    uint32_t indexOf(std::vector<std::string>& indexedNames, const std::string& name) const;

    Options options_;
    std::vector<Server> servers_;
    std::vector<ServerIndex> free_;
    boost::unordered_flat_map<BackendServerNumber, ServerIndex, std::hash<BackendServerNumber>> byNumber_;
    boost::unordered_flat_map<FlowToken, std::vector<ServerIndex>, std::hash<FlowToken>> byToken_;
    boost::unordered_flat_map<Base::Ipv4Endpoint, std::vector<ServerIndex>, std::hash<Base::Ipv4Endpoint>> byAddress_;
    std::vector<std::string> services_;
    std::vector<ServiceIndex> configuredServices_;
    std::vector<std::vector<ServerIndex>> serversByService_;
    std::vector<std::string> domains_;
    bool storeReachable_ { true };
    /// When servers whose entries disappeared during the store's last outage become Retired.
    Base::TimePoint removalGraceEndsAt_ {};
};

}
