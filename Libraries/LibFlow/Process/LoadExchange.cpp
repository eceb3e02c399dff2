#include <LibFlow/Process/LoadExchange.h>
#include <algorithm>
#include <map>
#include <set>

namespace Flow {

namespace {

    constexpr Base::milliseconds digestInterval { 250 };
    /// Maximum number of peers that receive the digest of one service.
    constexpr std::size_t maximumRecipients = 8;
    constexpr std::size_t digestFields = 8;

    void append(std::vector<uint64_t>& values, const LoadDigest& digest)
    {
        for (uint64_t value : { digest.service.value, digest.best.value, digest.freeSlots, digest.freeConnections,
                 digest.connections, digest.weight, digest.servers, digest.unhealthy })
            values.push_back(value);
    }

}

void LoadExchange::handleTick(TimePoint now, ActionWriter& writer)
{
    if (now < nextDigestAt_)
        return;
    nextDigestAt_ = now + digestInterval;
    sendDigests(now, writer);
}

void LoadExchange::sendDigests(TimePoint now, ActionWriter& writer)
{
    std::map<EntryVmId, std::vector<uint64_t>> messages;
    std::set<ServiceId> reported;
    for (const auto& [id, runtime] : state_.runtimes) {
        const auto* entry = state_.routing.findServer(id);
        if (!entry || !placement_.isOwnedHere(id) || !reported.insert(entry->service->id).second)
            continue;
        std::set<EntryVmId> recipients;
        for (const auto& server : entry->service->backendServers) {
            auto owner = placement_.actingOwner(server.id);
            if (owner != state_.options.self && owner.isValid() && recipients.size() < maximumRecipients)
                recipients.insert(owner);
        }
        if (recipients.empty())
            continue;
        auto digest = admission_.digest(now, *entry->service);
        for (auto recipient : recipients)
            append(messages[recipient], digest);
    }
    for (auto& [peer, values] : messages)
        link_.send(peer, ControlKind::LoadDigest, std::move(values), writer);
}

Base::ErrorOr<void> LoadExchange::handleMessage(TimePoint now, EntryVmId sender, const PeerMessage& message)
{
    const auto& values = message.values;
    bool fits = values.size() % digestFields == 0
        && std::all_of(values.begin(), values.end(), [](uint64_t value) { return value <= UINT32_MAX / 64; });
    if (!fits)
        return Base::makeError(Base::ErrorCode::Malformed, "load digest is truncated or has a value out of range");
    auto at = [&](std::size_t i) { return static_cast<uint32_t>(values[i]); };
    for (std::size_t i = 0; i < values.size(); i += digestFields) {
        LoadDigest digest { .service = { at(i) },
            .best = { at(i + 1) },
            .freeSlots = at(i + 2),
            .freeConnections = at(i + 3),
            .connections = at(i + 4),
            .weight = at(i + 5),
            .servers = at(i + 6),
            .unhealthy = at(i + 7) };
        if (state_.routing.hasService(digest.service))
            loadView_.update(now, sender, digest);
    }
    return {};
}

}
