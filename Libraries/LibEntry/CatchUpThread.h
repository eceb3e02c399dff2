#pragma once

#include <LibEntry/EntrySettings.h>
#include <LibEntry/StateFeed.h>
#include <LibEntry/Worker.h>
#include <LibPeer/QueryClient.h>
#include <LibSteering/Process/RelayChoice.h>
#include <optional>

namespace Entry {

/// Fetches records from peers at a newer position than this entry VM, since the store may reject calls of single
/// machines and connections to it may stop responding.
class CatchUpThread {
public:
    CatchUpThread(const EntrySettings&, StateFeed&);

    void start();
    void requestStop() { worker_.requestStop(); }
    void stop() { worker_.stop(); }

    /// Peers to fetch from until the first complete state is received. Any thread.
    void setSeeds(std::vector<Base::Ipv4Endpoint>);
    /// Peers that are asked in place of the seeds until the first complete state is received. Any thread.
    void askInitially(std::vector<Base::EntryVmId>);
    /// Makes the peer a candidate to fetch from if its position is newer. isUrgent: neither the store nor a nearer peer
    /// will send the records, so they are fetched without delay. Any thread.
    void updateCandidatePeer(Base::TimePoint now, Base::EntryVmId, Base::StorePosition, bool isUrgent);

private:
    void run();
    /// The next fetch, due now or later; nothing if there is no peer to fetch from.
    std::optional<Steering::RelayChoice::Fetch> selectFetch(Base::TimePoint now);
    Base::ErrorOr<void> fetchAll(Base::EntryVmId, const std::string& source);
    /// Whether the position advanced.
    bool fetchFrom(Base::EntryVmId);

    const EntrySettings& settings_;
    StateFeed& feed_;
    std::mutex mutex_;
    Steering::RelayChoice relayChoice_;
    std::vector<Base::Ipv4Endpoint> seeds_;
    std::size_t nextSeed_ { 0 };
    std::vector<Base::EntryVmId> initialPeers_;
    std::size_t nextInitialPeer_ { 0 };
    /// Connection to the peer of the last fetch.
    std::optional<Peer::QueryClient> client_;
    Base::EntryVmId clientPeer_;
    Worker worker_;
};

}
