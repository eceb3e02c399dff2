#pragma once

#include <LibBase/Random.h>
#include <LibEntry/BeliefFeed.h>
#include <LibEntry/EntrySettings.h>
#include <LibEntry/Worker.h>
#include <LibPeer/QueryClient.h>
#include <optional>

namespace Entry {

/// Fetches records from peers that hold newer ones than the store has told this entry VM: the store may turn away
/// single machines, and connections to it may go silent.
class CatchUpThread {
public:
    CatchUpThread(const EntrySettings&, BeliefFeed&);

    void start();
    void askToStop() { worker_.askToStop(); }
    void stop() { worker_.stop(); }

    /// Whom to ask while nothing is known. Any thread.
    void setSeeds(std::vector<Base::Ipv4Endpoint>);
    /// A peer holds records up to a revision. isUrgent: neither the store nor a nearer peer will tell them, so that
    /// there is nothing to wait for. Any thread.
    void notePeer(Base::EntryVmId, uint64_t revision, bool isUrgent);

private:
    void run();
    struct Candidate {
        /// None: there is nobody to ask.
        Base::EntryVmId peer;
        bool isUrgent { false };
    };

    /// Whom to ask now.
    Candidate nextPeer();
    Base::ErrorOr<void> fetchAll(Base::EntryVmId, const std::string& source);
    /// Whether the peer's records have been taken over.
    bool fetchFrom(Base::EntryVmId);

    const EntrySettings& settings_;
    BeliefFeed& feed_;
    std::mutex mutex_;
    /// The peer that holds the newest records.
    Base::EntryVmId newestPeer_;
    uint64_t newestRevision_ { 0 };
    bool isUrgent_ { false };
    /// Peers heard of that hold the newest revision.
    uint64_t newestCount_ { 0 };
    Base::Random random_;
    std::vector<Base::Ipv4Endpoint> seeds_;
    std::size_t nextSeed_ { 0 };
    /// The connection to the peer that was asked last.
    std::optional<Peer::QueryClient> client_;
    Base::EntryVmId clientPeer_;
    Worker worker_;
};

}
