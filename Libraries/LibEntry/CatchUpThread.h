#pragma once

#include <LibEntry/BeliefFeed.h>
#include <LibEntry/EntrySettings.h>
#include <LibEntry/Worker.h>

namespace Entry {

/// Fetches records from peers that hold newer ones than the store has told this entry VM: the store may turn away
/// single machines, and connections to it may go silent.
class CatchUpThread {
public:
    CatchUpThread(const EntrySettings&, BeliefFeed&);

    void start();
    void askToStop() { worker_.askToStop(); }
    void stop() { worker_.stop(); }

    /// A peer holds records up to a revision. Any thread.
    void notePeer(Base::EntryVmId, uint64_t revision);

private:
    void run();
    /// Whom to ask now; nobody: none.
    Base::EntryVmId nextPeer();
    /// Whether the peer's records have been taken over.
    bool fetchFrom(Base::EntryVmId);

    const EntrySettings& settings_;
    BeliefFeed& feed_;
    std::mutex mutex_;
    /// The peer that holds the newest records.
    Base::EntryVmId newestPeer_;
    uint64_t newestRevision_ { 0 };
    std::size_t nextSeed_ { 0 };
    Worker worker_;
};

}
