#pragma once

#include <LibBase/Time.h>
#include <LibSteering/Events.h>
#include <LibSteering/Process/ServerTable.h>
#include <functional>
#include <span>
#include <vector>

namespace Steering {

/// Finds backend servers that may have started again while the store could not tell, and that may be cold therefore.
/// They count as cold until the service's warm-up time is over or an entry shows the contrary.
///
/// A lost packet is no sign of a restart, and neither is a failure domain that falls silent as a whole. A server's
/// process is absent if its host refuses the connection of a probe, or if consecutive probes get no answer while
/// another server of the domain responds. An entry VM reports such servers to its peers, since those that sent the
/// server nothing meanwhile would go on with their full share.
class RestartSuspicion {
public:
    struct Options {
        /// The configured warm-up time of the server's service. Without one, its servers are never cold.
        std::function<Base::milliseconds(const Server&)> warmUpOf;
        /// A server whose entry has not changed this long after the store's return has not started again: running
        /// servers register within two seconds.
        Base::milliseconds confirmationTime { 2300 };
    };

    RestartSuspicion(Options options, ServerTable& servers)
        : options_(std::move(options))
        , servers_(servers)
    {
    }

    void setStoreReachable(Base::TimePoint now, bool isReachable);
    void recordProbe(Base::TimePoint now, const ServerProbed&);
    /// The server's entry was added or changed. isRestart: it names a new process.
    void recordEntry(Base::TimePoint now, BackendServerNumber, bool isRestart);
    /// Servers that a peer suspects from its own probes.
    void acceptReport(Base::TimePoint now, std::span<const BackendServerNumber>);
    /// Ends suspicions that the returned store has not confirmed. Called every 250 ms.
    void expire(Base::TimePoint now);

    /// Servers suspected because of this node's probes, to be reported to peers.
    std::vector<BackendServerNumber> ownSuspects(Base::TimePoint now);
    /// Increases with each server that is newly found absent; peers should be told at once.
    uint64_t suspicionCount() const { return suspicionCount_; }
    /// Servers to be probed again, since it is not known whether their process runs.
    std::vector<ServerIndex> serversToProbe();

private:
    void recordAbsence(Base::TimePoint now, Server&);
    void recordPresence(Base::TimePoint now, Server&);
    /// The server is cold from now on, until the warm-up time is over after its process was found again.
    void suspect(Server&);
    void recordUnanswered(Base::TimePoint now, Server&);
    bool hasDomainRespondedSince(Base::TimePoint, const Server& except);

    Options options_;
    ServerTable& servers_;
    bool isStoreReachable_ { true };
    /// End of the time in which running servers register again; the epoch if the store was never unreachable.
    Base::TimePoint confirmationEndsAt_ {};
    uint64_t suspicionCount_ { 0 };
};

}
