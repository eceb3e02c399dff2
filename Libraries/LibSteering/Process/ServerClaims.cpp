#include <LibSteering/Process/ServerClaims.h>

namespace Steering {

namespace {

    /// A single first packet may be lost on the way.
    constexpr uint32_t timeoutsOfWrongEntry = 2;

}

bool ServerClaims::isHolder(BackendServerNumber number, const std::string& id) const
{
    const auto index = servers_.find(number);
    return index && servers_.at(*index).entry.id == id;
}

bool ServerClaims::outranks(const BackendServerEntry& entry, const Server& holder) const
{
    // An entry of a service that no configuration names describes no server to use.
    if (!isConfigured(entry))
        return false;
    const bool isSilent = !holder.confirmedAddress && holder.consecutiveTimeouts >= timeoutsOfWrongEntry;
    return !holder.hasBeenConfigured || holder.entry.id == entry.id || isSilent;
}

bool ServerClaims::tryAccept(const BackendServerEntry& entry)
{
    claims_.erase(keyOf(entry));
    const auto index = servers_.find(entry.number);
    if (!index)
        return true;
    const auto& holder = servers_.at(*index);
    const bool isSameService = holder.entry.id == entry.id && holder.entry.service == entry.service;
    const bool isUnused = holder.entry.id == entry.id && !holder.hasBeenConfigured;
    const bool isAccepted = isSameService || isUnused || outranks(entry, holder);
    if (!isAccepted)
        claims_[keyOf(entry)] = entry;
    else
        keepHolder(holder, entry);
    updateContested(entry.number);
    return isAccepted;
}

void ServerClaims::keepHolder(const Server& holder, const BackendServerEntry& successor)
{
    // An entry that the store no longer has must not come back.
    if (holder.entry.id != successor.id && holder.presence == Presence::Listed)
        claims_[keyOf(holder.entry)] = holder.entry;
}

void ServerClaims::remove(BackendServerNumber number, const std::string& id)
{
    claims_.erase({ number, id });
    updateContested(number);
}

void ServerClaims::updateContested(BackendServerNumber number)
{
    const auto index = servers_.find(number);
    if (!index)
        return;
    const auto first = claims_.lower_bound({ number, {} });
    servers_.at(*index).isContested = first != claims_.end() && first->first.first == number;
}

std::vector<BackendServerEntry> ServerClaims::takeDue()
{
    std::vector<BackendServerEntry> due;
    for (const auto& [key, entry] : claims_) {
        const bool isNumberTaken = !due.empty() && due.back().number == entry.number;
        const auto index = servers_.find(entry.number);
        if (!isNumberTaken && (!index || outranks(entry, servers_.at(*index))))
            due.push_back(entry);
    }
    for (const auto& entry : due) {
        claims_.erase(keyOf(entry));
        if (const auto index = servers_.find(entry.number))
            keepHolder(servers_.at(*index), entry);
    }
    return due;
}

}
