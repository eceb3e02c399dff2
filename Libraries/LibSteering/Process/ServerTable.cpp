#include <LibSteering/Process/ServerTable.h>

#include <algorithm>

namespace Steering {

uint32_t ServerTable::indexOf(std::vector<std::string>& indexedNames, const std::string& name) const
{
    const auto found = std::ranges::find(indexedNames, name);
    if (found != indexedNames.end())
        return static_cast<uint32_t>(found - indexedNames.begin());
    indexedNames.push_back(name);
    return static_cast<uint32_t>(indexedNames.size() - 1);
}

ServiceIndex ServerTable::serviceIndex(const std::string& name)
{
    const auto index = indexOf(services_, name);
    if (index >= serversByService_.size())
        serversByService_.resize(index + 1);
    return index;
}

DomainIndex ServerTable::domainIndex(const std::string& name) { return indexOf(domains_, name); }

std::optional<ServerIndex> ServerTable::find(BackendServerNumber number) const
{
    const auto found = byNumber_.find(number);
    if (found == byNumber_.end())
        return std::nullopt;
    return found->second;
}

void ServerTable::decrementOwnInFlight(BackendServerNumber number)
{
    const auto index = find(number);
    if (index && servers_[*index].ownInFlight > 0)
        --servers_[*index].ownInFlight;
}

std::optional<ServerIndex> ServerTable::resolve(FlowToken token, const std::vector<ServiceIndex>& services) const
{
    const auto found = byToken_.find(token);
    if (found == byToken_.end())
        return std::nullopt;
    std::optional<ServerIndex> best;
    for (const auto index : found->second) {
        const auto& server = servers_[index];
        if (!server.hasBeenConfigured)
            continue;
        if (std::ranges::find(services, server.service) != services.end() && !server.isShadowed)
            return index;
        if (!best || !server.isShadowed)
            best = index;
    }
    return best;
}

ServerIndex ServerTable::allocate()
{
    if (free_.empty()) {
        servers_.emplace_back();
        return static_cast<ServerIndex>(servers_.size() - 1);
    }
    const auto index = free_.back();
    free_.pop_back();
    return index;
}

void ServerTable::attach(Base::TimePoint now, ServerIndex index)
{
    const auto& server = servers_[index];
    serversByService_[server.service].push_back(index);
    byToken_[server.confirmedToken].push_back(index);
    updateShadows(server.confirmedToken);
    byAddress_[server.entry.address].push_back(index);
    updateSuperseded(now, server.entry.address);
}

void ServerTable::detach(ServerIndex index)
{
    const auto& server = servers_[index];
    std::erase(serversByService_[server.service], index);
    auto& serversWithToken = byToken_[server.confirmedToken];
    std::erase(serversWithToken, index);
    if (serversWithToken.empty())
        byToken_.erase(server.confirmedToken);
    else
        updateShadows(server.confirmedToken);
    auto& serversAtAddress = byAddress_[server.entry.address];
    std::erase(serversAtAddress, index);
    if (serversAtAddress.empty())
        byAddress_.erase(server.entry.address);
}

bool ServerTable::supersedes(const Server& other, const Server& server) const
{
    return other.presence != Presence::Retired && other.entry.startedAt > server.entry.startedAt
        && isConfigured(other.service);
}

bool ServerTable::isConfigured(ServiceIndex service) const
{
    return std::ranges::binary_search(configuredServices_, service);
}

void ServerTable::updateSuperseded(Base::TimePoint now, const Base::Ipv4Endpoint& address)
{
    const auto found = byAddress_.find(address);
    if (found == byAddress_.end())
        return;
    const auto& serversAtAddress = found->second;
    for (const auto index : serversAtAddress) {
        auto& server = servers_[index];
        const bool wasSuperseded = server.isSuperseded;
        server.isSuperseded = std::ranges::any_of(
            serversAtAddress, [&](ServerIndex other) { return supersedes(servers_[other], server); });
        if (server.isSuperseded && !wasSuperseded)
            server.recordSuperseded(now);
        // A server that was only cut off keeps its entry, while that of one that has ended goes.
        const bool isReleased = wasSuperseded && !server.isSuperseded && server.presence == Presence::Listed;
        if (isReleased && server.endShownBySilenceAt != Base::TimePoint {})
            server.withdrawEnd();
    }
}

void ServerTable::setConfiguredServices(Base::TimePoint now, std::vector<ServiceIndex> configured)
{
    std::ranges::sort(configured);
    configured.erase(std::unique(configured.begin(), configured.end()), configured.end());
    if (configured == configuredServices_)
        return;
    configuredServices_ = std::move(configured);
    forEach([&](ServerIndex, Server& server) { server.hasBeenConfigured |= isConfigured(server.service); });
    for (const auto& [address, serversAtAddress] : byAddress_) {
        if (serversAtAddress.size() > 1)
            updateSuperseded(now, address);
    }
}

void ServerTable::confirmEndOfEarlierServers(ServerIndex index)
{
    const auto& later = servers_[index];
    const auto& serversAtAddress = byAddress_[later.entry.address];
    if (serversAtAddress.size() == 1)
        return;
    for (const auto other : serversAtAddress) {
        auto& earlier = servers_[other];
        if (!earlier.isSuperseded || !supersedes(later, earlier))
            continue;
        earlier.recordEndShownByPackets();
    }
}

void ServerTable::updateShadows(FlowToken token)
{
    const auto& serversWithToken = byToken_[token];
    for (const auto index : serversWithToken) {
        auto& server = servers_[index];
        server.isShadowed = std::ranges::any_of(serversWithToken, [&](ServerIndex other) {
            return servers_[other].service == server.service
                && servers_[other].entry.number.value < server.entry.number.value;
        });
    }
}

bool ServerTable::addOrUpdate(Base::TimePoint now, const BackendServerEntry& entry, Base::milliseconds serviceWarmUp)
{
    const auto known = find(entry.number);
    const auto index = known.value_or(0);
    const bool isKnown = known.has_value();
    const bool isOther = isKnown && servers_[index].entry.id != entry.id;
    const bool isRestart = isKnown && (isOther || servers_[index].entry.startedAt != entry.startedAt);
    auto warmUp = entry.warmUpLeft;
    if (isRestart)
        warmUp = std::max(warmUp, serviceWarmUp);
    const auto targetIndex = isKnown ? index : allocate();
    const auto previousAddress = isKnown ? servers_[targetIndex].entry.address : entry.address;
    if (isKnown)
        detach(targetIndex);
    auto& server = servers_[targetIndex];
    if (!isKnown)
        server = {};
    if (!isKnown || server.entry.address != entry.address) {
        server.previousAddress = isKnown ? std::optional(server.entry.address) : std::nullopt;
        server.addressKnownSince = now;
    }
    if (isOther) {
        server.confirmedAddress.reset();
        server.previousAddress.reset();
    }
    server.entry = entry;
    server.confirmedToken = FlowToken::confirmed(entry.number);
    server.service = serviceIndex(entry.service);
    server.hasBeenConfigured = (server.hasBeenConfigured && !isOther) || isConfigured(server.service);
    server.domain = domainIndex(entry.failureDomain);
    server.presence = Presence::Listed;
    server.coldUntil = std::max(server.coldUntil, now + warmUp);
    if (isRestart) {
        server.consecutiveTimeouts = 0;
        server.suspectUntil = {};
        server.unreachableAt = {};
        server.isSuperseded = false;
        server.withdrawEnd();
        server.shortResponseShare = 0;
    }
    byNumber_[entry.number] = targetIndex;
    attach(now, targetIndex);
    // Once the entry is in place, so that an update of it does not supersede the others at its address anew.
    if (previousAddress != entry.address)
        updateSuperseded(now, previousAddress);
    return isRestart;
}

Presence ServerTable::removeEntry(Base::TimePoint now, BackendServerNumber number)
{
    const auto index = find(number);
    if (!index)
        return Presence::Free;
    auto& server = servers_[*index];
    // A draining server leaves on purpose; others may have lost their entry because the store was unreachable.
    const bool mayReturn = server.entry.state == ServerState::Ready && (!storeReachable_ || now < removalGraceEndsAt_);
    if (mayReturn) {
        server.presence = Presence::Unconfirmed;
        server.presenceEndsAt = storeReachable_ ? removalGraceEndsAt_ : Base::TimePoint::max();
    } else {
        server.presence = Presence::Retired;
        server.presenceEndsAt = now + options_.retention;
        updateSuperseded(now, server.entry.address);
    }
    return server.presence;
}

void ServerTable::setStoreReachable(Base::TimePoint now, bool isReachable)
{
    if (isReachable == storeReachable_)
        return;
    storeReachable_ = isReachable;
    if (isReachable)
        beginRemovalGrace(now);
}

bool ServerTable::isOutdated(const BackendServerEntry& entry) const
{
    const auto index = find(entry.number);
    if (!index)
        return false;
    const auto& known = servers_[*index];
    if (known.entry.id != entry.id)
        return false;
    return entry.isOlderThan(known.entry) || (known.presence == Presence::Retired && !known.entry.isOlderThan(entry));
}

void ServerTable::beginRemovalGrace(Base::TimePoint now)
{
    removalGraceEndsAt_ = now + options_.removalGracePeriod;
    for (auto& server : servers_) {
        if (server.presence == Presence::Unconfirmed && storeReachable_)
            server.presenceEndsAt = removalGraceEndsAt_;
    }
}

void ServerTable::expire(Base::TimePoint now)
{
    std::vector<ServerIndex> erasable;
    for (ServerIndex index = 0; index < servers_.size(); ++index) {
        auto& server = servers_[index];
        const bool isSilenceOld = server.endShownBySilenceAt != Base::TimePoint {}
            && now - server.endShownBySilenceAt >= Server::silenceValidity;
        if (isSilenceOld && server.presence != Presence::Retired)
            server.withdrawEnd();
        if ((server.presence != Presence::Unconfirmed && server.presence != Presence::Retired)
            || now < server.presenceEndsAt)
            continue;
        if (server.presence == Presence::Unconfirmed) {
            server.presence = Presence::Retired;
            server.presenceEndsAt = now + options_.retention;
            updateSuperseded(now, server.entry.address);
        } else {
            erasable.push_back(index);
        }
    }
    for (const auto index : erasable) {
        detach(index);
        updateSuperseded(now, servers_[index].entry.address);
        byNumber_.erase(servers_[index].entry.number);
        servers_[index] = {};
        free_.push_back(index);
    }
}

}
