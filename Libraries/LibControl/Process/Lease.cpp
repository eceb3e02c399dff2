#include <LibControl/Process/Lease.h>

#include <nlohmann/json.hpp>

namespace Control {

using Base::TimePoint;
using Store::Answer;
using Store::Status;

std::string encodeLeaseHolder(const LeaseHolder& holder)
{
    std::string bytes;
    nlohmann::json::to_msgpack(nlohmann::json::array({ holder.id.value, holder.incarnation }), bytes);
    return bytes;
}

Base::ErrorOr<LeaseHolder> decodeLeaseHolder(std::string_view bytes)
{
    constexpr std::size_t maximumBytes = 64;
    const auto value = bytes.size() <= maximumBytes
        ? nlohmann::json::from_msgpack(bytes.begin(), bytes.end(), true, false)
        : nlohmann::json {};
    if (!value.is_array() || value.size() < 2 || !value[0].is_number_unsigned() || !value[1].is_number_unsigned())
        return Base::makeError(Base::ErrorCode::Malformed, "value does not encode a lease holder");
    return LeaseHolder { .id = { value[0].get<uint64_t>() }, .incarnation = value[1].get<uint64_t>() };
}

Lease::Lease(const Options& options, StoreGateway& store)
    : options_(options)
    , store_(store)
{
}

void Lease::acquire(TimePoint now)
{
    if (state_ != State::Idle)
        return;
    const bool isSent = store_.tryCall(now, Store::GrantLease { .duration = options_.duration },
        [this, now](TimePoint respondedAt, const Answer& answer) { handleGranted(now, answer, respondedAt); });
    if (isSent)
        state_ = State::Granting;
}

void Lease::handleGranted(TimePoint requestedAt, const Answer& answer, TimePoint now)
{
    if (answer.status != Status::Ok) {
        resetToIdle();
        return;
    }
    lease_ = answer.lease;
    validUntil_ = requestedAt + options_.duration - options_.safetyMargin;
    nextRenewalAt_ = requestedAt + options_.renewInterval;
    claim(now);
}

void Lease::claim(TimePoint now)
{
    const bool isSent = store_.tryCall(now,
        Store::CompareAndSwap {
            .key = options_.key, .expected = 0, .value = encodeLeaseHolder(options_.self), .lease = lease_ },
        [this](TimePoint respondedAt, const Answer& answer) { handleClaimed(respondedAt, answer); });
    if (isSent)
        state_ = State::Claiming;
    else
        resetToIdle();
}

void Lease::handleClaimed(TimePoint now, const Answer& answer)
{
    if (answer.status == Status::Ok) {
        markHeld(answer.version);
        return;
    }
    if (answer.status == Status::Unknown) {
        readBack(now);
        return;
    }
    if (answer.status == Status::VersionMismatch)
        reportOtherHolder(answer);
    resetToIdle();
}

void Lease::readBack(TimePoint now)
{
    const bool isSent = store_.tryCall(
        now, Store::Get { .key = options_.key }, [this](TimePoint, const Answer& answer) { handleReadBack(answer); });
    if (isSent)
        state_ = State::ReadingBack;
    else
        resetToIdle();
}

void Lease::handleReadBack(const Answer& answer)
{
    const auto holder = answer.status == Status::Ok ? Base::capture([&] { return decodeLeaseHolder(answer.value); })
                                                    : Base::Outcome<LeaseHolder> {};
    if (holder.isOk() && *holder.value == options_.self) {
        markHeld(answer.version);
        return;
    }
    if (holder.isOk())
        reportOtherHolder(answer);
    resetToIdle();
}

void Lease::reportOtherHolder(const Answer& answer)
{
    const auto holder = Base::capture([&] { return decodeLeaseHolder(answer.value); });
    if (holder.isOk() && options_.onHeldByOther)
        options_.onHeldByOther(*holder.value, answer.version);
}

void Lease::markHeld(uint64_t epoch)
{
    state_ = State::Held;
    epoch_ = epoch;
    if (options_.onAcquired)
        options_.onAcquired(epoch);
}

void Lease::resetToIdle()
{
    state_ = State::Idle;
    lease_ = 0;
    isRenewing_ = false;
}

void Lease::markLost()
{
    resetToIdle();
    if (options_.onLost)
        options_.onLost(epoch_);
}

void Lease::tick(TimePoint now)
{
    if (state_ != State::Held)
        return;
    if (now >= validUntil_) {
        markLost();
        return;
    }
    if (!isRenewing_ && now >= nextRenewalAt_)
        renew(now);
}

void Lease::renew(TimePoint now)
{
    constexpr Base::milliseconds retryDelay { 500 };
    const auto lease = lease_;
    const bool isSent = store_.tryCall(
        now, Store::RenewLease { .lease = lease }, [this, now, lease](TimePoint, const Answer& answer) {
            if (state_ != State::Held || lease != lease_)
                return;
            isRenewing_ = false;
            if (answer.status == Status::Ok) {
                validUntil_ = now + options_.duration - options_.safetyMargin;
                nextRenewalAt_ = now + options_.renewInterval;
            } else if (answer.status == Status::NotFound) {
                markLost();
            }
        });
    isRenewing_ = isSent;
    nextRenewalAt_ = now + retryDelay;
}

void Lease::release(TimePoint now)
{
    if (state_ != State::Held)
        return;
    store_.tryCall(now, Store::RevokeLease { .lease = lease_ }, [](TimePoint, const Answer&) {});
    markLost();
}

}
