#pragma once

#include <LibBase/Identifiers.h>
#include <LibBase/Time.h>
#include <LibControl/Process/StoreGateway.h>
#include <LibStore/Store.h>
#include <functional>
#include <string>

namespace Control {

/// The holder of a key, as stored in its value.
struct LeaseHolder {
    EntryVmId id;
    uint64_t incarnation { 0 };

    bool operator==(const LeaseHolder&) const = default;
};

/// Encodes a holder as msgpack.
std::string encodeLeaseHolder(const LeaseHolder&);
/// Returns Malformed if the bytes do not encode a holder.
Base::ErrorOr<LeaseHolder> decodeLeaseHolder(std::string_view);

/// Exclusive ownership of one key of the store, bound to a store lease. The fencing epoch is the key's version when it
/// was created: the store never reuses a version, so that each epoch has at most one holder. A holder that was paused
/// beyond the end of its lease no longer considers itself the holder, whatever the store would report.
class Lease {
public:
    struct Options {
        std::string key;
        LeaseHolder self;
        Base::milliseconds duration { 10'000 };
        Base::milliseconds renewInterval { 3000 };
        /// The lease ends this much earlier on this node than at the store.
        Base::milliseconds safetyMargin { 1000 };
        std::function<void(uint64_t epoch)> onAcquired;
        std::function<void(uint64_t epoch)> onLost;
        /// The key is held by another node, under this epoch.
        std::function<void(const LeaseHolder&, uint64_t epoch)> onHeldByOther;
    };

    Lease(const Options&, StoreGateway&);

    /// Tries to acquire the key. Has no effect while an attempt is in progress or the key is held.
    void acquire(Base::TimePoint now);
    /// Renews the lease and detects its end.
    void tick(Base::TimePoint now);
    /// Revokes the lease.
    void release(Base::TimePoint now);
    bool isHeld(Base::TimePoint now) const { return state_ == State::Held && now < validUntil_; }
    bool isAcquiring() const { return state_ != State::Idle && state_ != State::Held; }
    /// The fencing epoch of the current or last lease.
    uint64_t epoch() const { return epoch_; }
    /// Time until which this node is certain to hold the key.
    Base::TimePoint validUntil() const { return validUntil_; }

private:
    enum class State : uint8_t {
        Idle,
        Granting,
        Claiming,
        /// The result of the claim is unknown; the key is read back.
        ReadingBack,
        Held,
    };

    void handleGranted(Base::TimePoint requestedAt, const Store::Answer&, Base::TimePoint now);
    void claim(Base::TimePoint now);
    void handleClaimed(Base::TimePoint now, const Store::Answer&);
    void readBack(Base::TimePoint now);
    void handleReadBack(const Store::Answer&);
    void markHeld(uint64_t epoch);
    void reportOtherHolder(const Store::Answer&);
    void renew(Base::TimePoint now);
    void markLost();
    void resetToIdle();

    Options options_;
    StoreGateway& store_;
    State state_ { State::Idle };
    Store::LeaseId lease_ { 0 };
    uint64_t epoch_ { 0 };
    Base::TimePoint validUntil_ {};
    Base::TimePoint nextRenewalAt_ {};
    bool isRenewing_ { false };
};

}
