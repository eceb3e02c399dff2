/// Encodes a snapshot as parts: [format, revision, index, number of parts, items]. An item is [kind, record]. The items
/// are in the order in which a joining node needs them: counters, failure domains, services, protections, tombstones,
/// requests.

#include <LibConfiguration/Change.h>
#include <LibConfiguration/ModelCodec.h>
#include <LibConfiguration/Msgpack.h>
#include <LibConfiguration/RecordReader.h>
#include <LibStore/Store.h>
#include <algorithm>

namespace Configuration {

using Base::ErrorCode;
using Base::ErrorOr;
using Base::makeError;
using nlohmann::json;

namespace {

    constexpr uint64_t snapshotFormat = 1;
    constexpr uint64_t maximumParts = 10'000;
    constexpr std::size_t maximumPathBytes = 4096;
    constexpr std::size_t partHeaderBytes = 64;
    /// Limit for decoding. A part exceeds partBytes only if a single item does, and no item is much larger than the
    /// largest value of the store.
    constexpr std::size_t maximumPartBytes = 2 * Store::maximumValueBytes;

    /// Item kinds as stored. Values must not be renumbered.
    enum class ItemKind : uint64_t {
        Counters = 1,
        FailureDomain = 2,
        Service = 3,
        Protection = 4,
        Tombstone = 5,
        Request = 6,
        /// [service name, backend server records]: backend servers beyond the first backendServersPerItem of a service.
        BackendServers = 7,
    };

    /// Maximum number of backend servers per item, which keeps items much smaller than a part.
    constexpr std::size_t backendServersPerItem = 64;

    json item(ItemKind kind, json record) { return json::array({ static_cast<uint64_t>(kind), std::move(record) }); }

    void appendService(std::vector<json>& items, const Service& service)
    {
        auto first = service;
        const auto& servers = service.backendServers;
        const auto firstCount = std::min(servers.size(), backendServersPerItem);
        first.backendServers.resize(firstCount);
        items.push_back(item(ItemKind::Service, toRecord(first)));
        for (std::size_t start = firstCount; start < servers.size(); start += backendServersPerItem) {
            auto records = json::array();
            for (std::size_t i = start; i < std::min(start + backendServersPerItem, servers.size()); ++i)
                records.push_back(toRecord(servers[i]));
            items.push_back(item(ItemKind::BackendServers, json::array({ service.name, std::move(records) })));
        }
    }

    std::vector<json> itemsOf(const Snapshot& snapshot)
    {
        std::vector<json> items;
        items.push_back(item(ItemKind::Counters,
            json::array(
                { snapshot.nextServiceId, snapshot.nextBackendServerId, toMilliseconds(snapshot.acceptedAt) })));
        for (const auto& [name, failureDomain] : snapshot.failureDomains)
            items.push_back(item(ItemKind::FailureDomain, toRecord(failureDomain)));
        for (const auto& [name, service] : snapshot.services)
            appendService(items, service);
        for (const auto& protection : snapshot.protections)
            items.push_back(item(ItemKind::Protection, toRecord(protection)));
        for (const auto& [path, revision] : snapshot.tombstones)
            items.push_back(item(ItemKind::Tombstone, json::array({ path, revision.value })));
        for (const auto& request : snapshot.requests)
            items.push_back(item(ItemKind::Request, toRecord(request)));
        return items;
    }

    std::vector<json> packItems(std::vector<json> items, std::size_t partBytes)
    {
        std::vector<json> parts;
        auto part = json::array();
        std::size_t bytes = partHeaderBytes;
        for (auto& entry : items) {
            const auto entryBytes = encodeMsgpack(entry).size();
            if (!part.empty() && bytes + entryBytes > partBytes) {
                parts.push_back(std::move(part));
                part = json::array();
                bytes = partHeaderBytes;
            }
            bytes += entryBytes;
            part.push_back(std::move(entry));
        }
        parts.push_back(std::move(part));
        return parts;
    }

    ErrorOr<void> addCounters(Snapshot& snapshot, const json& record)
    {
        constexpr uint64_t maximum = std::numeric_limits<uint32_t>::max();
        RecordReader reader(record, 3);
        snapshot.nextServiceId = static_cast<uint32_t>(reader.number(1, maximum));
        snapshot.nextBackendServerId = static_cast<uint32_t>(reader.number(1, maximum));
        snapshot.acceptedAt = fromMilliseconds(reader.milliseconds({}));
        return reader.finish("counters");
    }

    ErrorOr<void> addBackendServers(Snapshot& snapshot, const json& record)
    {
        RecordReader reader(record, 2);
        auto found = snapshot.services.find(reader.text(maximumPathBytes));
        const auto& servers = reader.array();
        TRY(reader.finish("backend servers"));
        if (found == snapshot.services.end())
            return makeError(ErrorCode::Malformed, "backend servers of a service that does not precede them");
        for (const auto& server : servers) {
            TRY_ASSIGN(backendServer, backendServerFromRecord(server));
            found->second.backendServers.push_back(std::move(backendServer));
        }
        return {};
    }

    ErrorOr<void> addTombstone(Snapshot& snapshot, const json& record)
    {
        RecordReader reader(record, 2);
        auto path = reader.text(maximumPathBytes);
        snapshot.tombstones[path] = { reader.number(0) };
        return reader.finish("tombstone");
    }

    ErrorOr<void> addItem(Snapshot& snapshot, uint64_t kind, const json& record)
    {
        switch (static_cast<ItemKind>(kind)) {
        case ItemKind::Counters:
            return addCounters(snapshot, record);
        case ItemKind::FailureDomain: {
            TRY_ASSIGN(failureDomain, failureDomainFromRecord(record));
            snapshot.failureDomains[failureDomain.name] = failureDomain;
            return {};
        }
        case ItemKind::Service: {
            TRY_ASSIGN(service, serviceFromRecord(record));
            snapshot.services[service.name] = service;
            return {};
        }
        case ItemKind::Protection: {
            TRY_ASSIGN(protection, protectionFromRecord(record));
            snapshot.protections.push_back(std::move(protection));
            return {};
        }
        case ItemKind::Tombstone:
            return addTombstone(snapshot, record);
        case ItemKind::Request: {
            TRY_ASSIGN(request, acceptedRequestFromRecord(record));
            snapshot.requests.push_back(std::move(request));
            return {};
        }
        case ItemKind::BackendServers:
            return addBackendServers(snapshot, record);
        }
        return {};
    }

    /// A decoded part: header and items.
    struct Part {
        Revision revision;
        uint64_t index { 0 };
        uint64_t count { 0 };
        json items;
    };

    ErrorOr<Part> decodePart(const std::string& bytes)
    {
        TRY_ASSIGN(record, decodeMsgpack(bytes, maximumPartBytes));
        RecordReader reader(record, 5);
        if (reader.number(0) < snapshotFormat)
            reader.markMalformed();
        Part part;
        part.revision = { reader.number(0) };
        part.index = reader.number(0, maximumParts);
        part.count = reader.number(0, maximumParts);
        part.items = reader.array();
        TRY(reader.finish("snapshot part"));
        return part;
    }

    ErrorOr<std::vector<Part>> decodeParts(const std::vector<std::string>& encodedParts)
    {
        std::vector<Part> parts;
        for (const auto& bytes : encodedParts) {
            TRY_ASSIGN(part, decodePart(bytes));
            parts.push_back(std::move(part));
        }
        std::sort(
            parts.begin(), parts.end(), [](const Part& left, const Part& right) { return left.index < right.index; });
        for (std::size_t i = 0; i < parts.size(); ++i) {
            const auto& part = parts[i];
            if (part.index != i || part.count != parts.size() || part.revision != parts.front().revision)
                return makeError(ErrorCode::Malformed, "snapshot parts missing, repeated or of different revisions");
        }
        return parts;
    }

}

std::vector<std::string> encodeSnapshot(const Snapshot& snapshot, std::size_t partBytes)
{
    const auto parts = packItems(itemsOf(snapshot), partBytes);
    std::vector<std::string> encodedParts;
    for (std::size_t i = 0; i < parts.size(); ++i)
        encodedParts.push_back(
            encodeMsgpack(json::array({ snapshotFormat, snapshot.revision.value, i, parts.size(), parts[i] })));
    return encodedParts;
}

ErrorOr<Snapshot> decodeSnapshot(const std::vector<std::string>& encodedParts)
{
    TRY_ASSIGN(parts, decodeParts(encodedParts));
    if (parts.empty())
        return makeError(ErrorCode::Malformed, "no snapshot parts");
    Snapshot snapshot;
    snapshot.revision = parts.front().revision;
    for (const auto& part : parts) {
        for (const auto& entry : part.items) {
            RecordReader reader(entry, 2);
            const auto kind = reader.number(0);
            const auto* record = reader.optional();
            TRY(reader.finish("snapshot item"));
            if (record != nullptr)
                TRY(addItem(snapshot, kind, *record));
        }
    }
    return snapshot;
}

}
