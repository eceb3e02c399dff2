#include <ControlFakes/FakeStore.h>

#include <algorithm>

namespace ControlFakes {

using Base::TimePoint;
using Store::Answer;
using Store::Status;

namespace {

    int64_t secondOf(TimePoint now)
    {
        return std::chrono::duration_cast<Base::seconds>(now.time_since_epoch()).count();
    }

}

void FakeStore::closeLoadSecond()
{
    peakLoad_.reads = std::max(peakLoad_.reads, currentLoad_.reads);
    peakLoad_.writes = std::max(peakLoad_.writes, currentLoad_.writes);
    currentLoad_ = { .reads = pendingWatches_.size(), .writes = 0 };
}

void FakeStore::count(TimePoint now, const Store::Request& request)
{
    if (secondOf(now) != currentSecond_) {
        closeLoadSecond();
        currentSecond_ = secondOf(now);
    }
    const bool isRead = std::holds_alternative<Store::Get>(request) || std::holds_alternative<Store::Watch>(request);
    ++(isRead ? currentLoad_.reads : currentLoad_.writes);
}

FakeStore::Load FakeStore::peakLoad(TimePoint now)
{
    closeLoadSecond();
    currentSecond_ = secondOf(now);
    return peakLoad_;
}

void FakeStore::resetLoad(TimePoint now)
{
    closeLoadSecond();
    currentSecond_ = secondOf(now);
    currentLoad_ = {};
    peakLoad_ = {};
}

void FakeStore::handle(TimePoint now, const Store::Request& request, Reply reply)
{
    count(now, request);
    if (faults.isDown)
        return;
    if (faults.isRefusing) {
        reply(now + faults.responseDelay, Answer { .status = Status::Unavailable });
        return;
    }
    const bool isLost = random_.chance(faults.responseLossProbability);
    if (const auto* watchRequest = std::get_if<Store::Watch>(&request)) {
        if (!isLost)
            watch(now, *watchRequest, std::move(reply));
        return;
    }
    const auto answer = std::visit(
        [&](const auto& call) -> Answer {
            if constexpr (std::is_same_v<std::decay_t<decltype(call)>, Store::Watch>)
                return {};
            else
                return execute(now, call);
        },
        request);
    if (!isLost)
        reply(now + faults.responseDelay, answer);
}

Answer FakeStore::execute(TimePoint, const Store::Get& get)
{
    const auto found = values_.find(get.key);
    if (found == values_.end() || !found->second.isPresent)
        return { .status = Status::NotFound };
    return { .status = Status::Ok, .version = found->second.version, .value = found->second.text };
}

Answer FakeStore::execute(TimePoint now, const Store::CompareAndSwap& swap)
{
    if (swap.value.size() > Store::maximumValueBytes)
        return { .status = Status::TooLarge };
    if (swap.lease != 0 && !leases_.contains(swap.lease))
        return { .status = Status::NotFound };
    const auto& value = values_[swap.key];
    const auto current = value.isPresent ? value.version : 0;
    if (current != swap.expected)
        return { .status = Status::VersionMismatch, .version = current, .value = value.text };
    put(now, swap.key, swap.value, swap.lease);
    return { .status = Status::Ok, .version = values_[swap.key].version };
}

Answer FakeStore::execute(TimePoint now, const Store::CompareAndDelete& deletion)
{
    const auto& value = values_[deletion.key];
    const auto current = value.isPresent ? value.version : 0;
    if (current != deletion.expected)
        return { .status = Status::VersionMismatch, .version = current, .value = value.text };
    remove(now, deletion.key);
    return { .status = Status::Ok };
}

Answer FakeStore::execute(TimePoint now, const Store::GrantLease& grant)
{
    leases_[++lastLease_] = { .expiresAt = now + grant.duration, .duration = grant.duration };
    return { .status = Status::Ok, .lease = lastLease_ };
}

Answer FakeStore::execute(TimePoint now, const Store::RenewLease& renewal)
{
    const auto found = leases_.find(renewal.lease);
    if (found == leases_.end())
        return { .status = Status::NotFound };
    found->second.expiresAt = now + found->second.duration;
    return { .status = Status::Ok, .lease = renewal.lease };
}

Answer FakeStore::execute(TimePoint now, const Store::RevokeLease& revocation)
{
    if (!leases_.contains(revocation.lease))
        return { .status = Status::NotFound };
    expireLease(now, revocation.lease);
    return { .status = Status::Ok };
}

void FakeStore::put(TimePoint now, const std::string& key, std::string text, Store::LeaseId lease)
{
    auto& value = values_[key];
    ++value.version;
    value.isPresent = true;
    value.text = std::move(text);
    value.lease = lease;
    notify(now, key);
}

void FakeStore::remove(TimePoint now, const std::string& key)
{
    auto& value = values_[key];
    ++value.version;
    value.isPresent = false;
    value.text.clear();
    notify(now, key);
}

void FakeStore::expireLease(TimePoint now, Store::LeaseId lease)
{
    leases_.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, value] : values_) {
        if (value.isPresent && value.lease == lease)
            keys.push_back(key);
    }
    for (const auto& key : keys)
        remove(now, key);
}

void FakeStore::watch(TimePoint now, const Store::Watch& watchRequest, Reply reply)
{
    const auto answer = execute(now, Store::Get { .key = watchRequest.key });
    if (answer.version != watchRequest.known) {
        reply(now + faults.responseDelay, answer);
        return;
    }
    pendingWatches_.push_back(
        { .watch = watchRequest, .deadline = now + watchRequest.timeout, .reply = std::move(reply) });
}

void FakeStore::notify(TimePoint now, const std::string& key)
{
    if (faults.losesWatchNotifications || faults.isDown)
        return;
    std::erase_if(pendingWatches_, [&](PendingWatch& pendingWatch) {
        if (pendingWatch.watch.key != key)
            return false;
        pendingWatch.reply(now + faults.responseDelay, execute(now, Store::Get { .key = key }));
        return true;
    });
}

void FakeStore::tick(TimePoint now)
{
    std::erase_if(pendingWatches_, [&](PendingWatch& pendingWatch) {
        if (now < pendingWatch.deadline)
            return false;
        if (!faults.isDown)
            pendingWatch.reply(now + faults.responseDelay, Answer { .status = Status::Unchanged });
        return true;
    });
    std::vector<Store::LeaseId> ended;
    for (const auto& [lease, granted] : leases_) {
        if (now >= granted.expiresAt)
            ended.push_back(lease);
    }
    for (const auto lease : ended)
        expireLease(now, lease);
}

void FakeStore::write(TimePoint now, const std::string& key, std::string value) { put(now, key, std::move(value), 0); }

std::optional<std::string> FakeStore::read(const std::string& key) const
{
    const auto found = values_.find(key);
    if (found == values_.end() || !found->second.isPresent)
        return std::nullopt;
    return found->second.text;
}

}
