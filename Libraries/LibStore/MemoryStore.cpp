#include <LibStore/MemoryStore.h>

namespace Store {

Answer MemoryStore::handle(Base::TimePoint now, const Request& request)
{
    expireLeases(now);
    return std::visit([&](const auto& alternative) { return execute(now, alternative); }, request);
}

void MemoryStore::expireLeases(Base::TimePoint now)
{
    for (auto lease = leases_.begin(); lease != leases_.end();) {
        const auto id = lease->first;
        const bool isExpired = lease->second.end <= now;
        ++lease;
        if (isExpired)
            endLease(id);
    }
}

Answer MemoryStore::staleAnswer(const std::string& key) const
{
    auto found = previousEntries_.find(key);
    if (found == previousEntries_.end() || found->second.version == 0)
        return { .status = Status::NotFound };
    return { .status = Status::Ok, .version = found->second.version, .value = found->second.value };
}

Answer MemoryStore::execute(Base::TimePoint, const Get& request)
{
    auto found = entries_.find(request.key);
    if (found == entries_.end())
        return { .status = Status::NotFound };
    return { .status = Status::Ok, .version = found->second.version, .value = found->second.value };
}

Answer MemoryStore::execute(Base::TimePoint, const CompareAndSwap& request)
{
    if (request.value.size() > maximumValueBytes)
        return { .status = Status::TooLarge };
    if (request.lease != 0 && !leases_.contains(request.lease))
        return { .status = Status::NotFound };
    auto found = entries_.find(request.key);
    const auto current = found == entries_.end() ? 0 : found->second.version;
    if (current != request.expected)
        return versionMismatch(request.key);
    previousEntries_[request.key] = found == entries_.end() ? Entry {} : found->second;
    if (found != entries_.end() && found->second.lease != 0)
        leases_[found->second.lease].keys.erase(request.key);
    const auto version = ++lastVersions_[request.key];
    entries_[request.key] = { .version = version, .value = request.value, .lease = request.lease };
    if (request.lease != 0)
        leases_[request.lease].keys.insert(request.key);
    return { .status = Status::Ok, .version = version };
}

Answer MemoryStore::execute(Base::TimePoint, const CompareAndDelete& request)
{
    auto found = entries_.find(request.key);
    const auto current = found == entries_.end() ? 0 : found->second.version;
    if (current != request.expected)
        return versionMismatch(request.key);
    erase(request.key);
    return { .status = Status::Ok };
}

Answer MemoryStore::execute(Base::TimePoint now, const Watch& request)
{
    auto answer = execute(now, Get { request.key });
    if (answer.version == request.known)
        return { .status = Status::Unchanged, .version = answer.version };
    return answer;
}

Answer MemoryStore::execute(Base::TimePoint now, const GrantLease& request)
{
    const auto id = nextLease_++;
    leases_[id] = { .duration = request.duration, .end = now + request.duration, .keys = {} };
    return { .status = Status::Ok, .lease = id };
}

Answer MemoryStore::execute(Base::TimePoint now, const RenewLease& request)
{
    auto found = leases_.find(request.lease);
    if (found == leases_.end())
        return { .status = Status::NotFound };
    found->second.end = now + found->second.duration;
    return { .status = Status::Ok, .lease = request.lease };
}

Answer MemoryStore::execute(Base::TimePoint, const RevokeLease& request)
{
    if (!leases_.contains(request.lease))
        return { .status = Status::NotFound };
    endLease(request.lease);
    return { .status = Status::Ok };
}

Answer MemoryStore::versionMismatch(const std::string& key) const
{
    auto found = entries_.find(key);
    if (found == entries_.end())
        return { .status = Status::VersionMismatch };
    return { .status = Status::VersionMismatch, .version = found->second.version, .value = found->second.value };
}

void MemoryStore::erase(const std::string& key)
{
    auto found = entries_.find(key);
    if (found == entries_.end())
        return;
    previousEntries_[key] = found->second;
    if (found->second.lease != 0)
        leases_[found->second.lease].keys.erase(key);
    entries_.erase(found);
}

void MemoryStore::endLease(LeaseId id)
{
    const auto keys = leases_[id].keys;
    for (const auto& key : keys)
        erase(key);
    leases_.erase(id);
}

}
