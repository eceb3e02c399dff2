#include <LibControl/Process/StoreGateway.h>

#include <algorithm>
#include <utility>

namespace Control {

using Base::TimePoint;
using Store::Answer;
using Store::Status;

namespace {

    /// A new response time contributes one part in this many to the running mean.
    constexpr int64_t latencySmoothingDivisor = 4;

    bool isRead(const Store::Request& request)
    {
        return std::holds_alternative<Store::Get>(request) || std::holds_alternative<Store::Watch>(request);
    }

    Base::nanoseconds watchTimeoutOf(const Store::Request& request)
    {
        const auto* watch = std::get_if<Store::Watch>(&request);
        return watch ? Base::nanoseconds(watch->timeout) : Base::nanoseconds(0);
    }

}

StoreGateway::StoreGateway(const Options& options, ControlStatistics& statistics)
    : options_(options)
    , statistics_(statistics)
    , callBudget_(options.callsPerSecond, options.burst)
    , breaker_({ .seed = options.seed })
    , responseTimeout_(options.responseTimeout)
{
}

bool StoreGateway::tryCall(TimePoint now, Store::Request request, Handler handler)
{
    callBudget_.refill(now);
    if (!breaker_.tryAllowCall(now) || !callBudget_.tryConsume(1)) {
        ++statistics_.storeCallsRejected;
        return false;
    }
    ++(isRead(request) ? statistics_.storeReads : statistics_.storeWrites);
    const auto id = ++lastRequestId_;
    const auto watchTimeout = watchTimeoutOf(request);
    pendingCalls_.emplace(id,
        PendingCall { .sentAt = now,
            .deadline = now + watchTimeout + responseTimeout_,
            .isWatch = watchTimeout.count() > 0,
            .handler = std::move(handler) });
    outgoingCalls_.push_back({ .id = id, .request = std::move(request) });
    return true;
}

void StoreGateway::recordLatency(Base::nanoseconds latency)
{
    meanLatency_ += (latency - meanLatency_) / latencySmoothingDivisor;
    const bool isSlow = meanLatency_ > options_.slowResponseThreshold;
    setHealth(isSlow ? StoreHealth::Slow : StoreHealth::Healthy);
    if (!isSlow)
        responseTimeout_ = options_.responseTimeout;
}

void StoreGateway::setHealth(StoreHealth health)
{
    if (std::exchange(health_, health) != health && options_.onHealthChanged)
        options_.onHealthChanged(health);
}

Base::ErrorOr<void> StoreGateway::handleResponse(TimePoint now, Store::RequestId id, const Answer& answer)
{
    const auto found = pendingCalls_.find(id);
    if (found == pendingCalls_.end()) {
        if (id != 0 && id <= lastRequestId_ && answer.status != Status::Unavailable
            && answer.status != Status::Unknown) {
            responseTimeout_ = std::min<Base::nanoseconds>(responseTimeout_ * 2, options_.maximumResponseTimeout);
            breaker_.recordSuccess();
            setHealth(StoreHealth::Slow);
        }
        return Base::makeError(Base::ErrorCode::Stale, "response to a store call that is no longer pending");
    }
    const auto call = std::move(found->second);
    pendingCalls_.erase(found);
    if (answer.status == Status::Unavailable || answer.status == Status::Unknown) {
        breaker_.recordFailure(now);
        if (breaker_.isOpen())
            setHealth(StoreHealth::Unreachable);
    } else {
        breaker_.recordSuccess();
        if (!call.isWatch)
            recordLatency(now - call.sentAt);
        else if (health_ == StoreHealth::Unreachable)
            setHealth(StoreHealth::Healthy);
    }
    call.handler(now, answer);
    return {};
}

void StoreGateway::tick(TimePoint now)
{
    std::vector<Handler> timedOutHandlers;
    std::erase_if(pendingCalls_, [&](auto& entry) {
        if (now < entry.second.deadline)
            return false;
        timedOutHandlers.push_back(std::move(entry.second.handler));
        return true;
    });
    for (const auto& handler : timedOutHandlers) {
        ++statistics_.storeTimeouts;
        breaker_.recordFailure(now);
        if (breaker_.isOpen())
            setHealth(StoreHealth::Unreachable);
        handler(now, Answer { .status = Status::Unknown });
    }
}

}
