#pragma once

#include <LibBase/Identifiers.h>
#include <LibBase/Random.h>
#include <LibBase/StorePosition.h>
#include <LibBase/Time.h>
#include <optional>
#include <unordered_map>

namespace Steering {

/// Selects the peer from which this entry VM fetches the records that it lacks, and when. A connection between entry
/// VMs may fall silent like that to the store: after a failed fetch another peer that holds the records is asked at
/// once.
class RelayChoice {
public:
    struct Options {
        uint64_t seed { 0 };
    };

    struct Fetch {
        Base::EntryVmId peer;
        Base::TimePoint dueAt;
    };

    explicit RelayChoice(Options options)
        : random_(options.seed)
    {
    }

    /// A peer holds records up to the given position. isUrgent: neither the store nor a nearer peer will send the
    /// records, so they are fetched without delay. Returns whether the next fetch may have changed.
    bool handleReport(Base::TimePoint now, Base::EntryVmId peer, Base::StorePosition position, bool isUrgent,
        Base::StorePosition own);
    /// The next fetch, due now or later; nothing while no peer is known to hold newer records.
    std::optional<Fetch> next(Base::TimePoint now, Base::StorePosition own);

    void handleSuccess(Base::EntryVmId peer) { failures_.erase(peer); }
    void handleFailure(Base::TimePoint now, Base::EntryVmId peer);

private:
    struct Candidate {
        Base::StorePosition position;
        bool isUrgent { false };
        /// The position that was newer than the own one since the given time.
        Base::StorePosition lackedPosition;
        Base::TimePoint lackedSince {};
        Base::TimePoint reportedAt {};
    };
    struct Failure {
        uint32_t count { 0 };
        Base::TimePoint at {};
    };

    void discardOld(Base::TimePoint now, Base::StorePosition own);
    Base::TimePoint dueAt(Base::EntryVmId, const Candidate&) const;

    Base::Random random_;
    std::unordered_map<Base::EntryVmId, Candidate> candidates_;
    std::unordered_map<Base::EntryVmId, Failure> failures_;
};

}
