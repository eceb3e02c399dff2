/// Keys of the change log and the encoding of a change: [format, revision, request id, author, reason, accepted at,
/// base, overrides, operation kind, operation fields, differences, number of differences].

#include <LibConfiguration/Change.h>
#include <LibConfiguration/ModelCodec.h>
#include <LibConfiguration/Msgpack.h>
#include <LibConfiguration/RecordReader.h>
#include <LibStore/Store.h>

namespace Configuration {

using Base::ErrorCode;
using Base::ErrorOr;
using Base::makeError;
using nlohmann::json;

namespace {

    constexpr uint64_t changeFormat = 1;
    constexpr std::size_t maximumFieldBytes = 4096;

    /// Operation kinds as stored. Values must not be renumbered.
    enum class OperationKind : uint64_t {
        PutService = 1,
        RemoveService = 2,
        PutBackendServer = 3,
        RemoveBackendServer = 4,
        PutFailureDomain = 5,
        RemoveFailureDomain = 6,
        Protect = 7,
        Unprotect = 8,
    };

    json encodeOperation(OperationKind kind, json fields)
    {
        return json::array({ static_cast<uint64_t>(kind), std::move(fields) });
    }

    struct OperationEncoder {
        json operator()(const PutService& put) const
        {
            return encodeOperation(OperationKind::PutService, json::array({ toRecord(put.service) }));
        }
        json operator()(const RemoveService& remove) const
        {
            return encodeOperation(OperationKind::RemoveService, json::array({ remove.service }));
        }
        json operator()(const PutBackendServer& put) const
        {
            return encodeOperation(
                OperationKind::PutBackendServer, json::array({ put.service, toRecord(put.backendServer) }));
        }
        json operator()(const RemoveBackendServer& remove) const
        {
            return encodeOperation(
                OperationKind::RemoveBackendServer, json::array({ remove.service, remove.backendServer }));
        }
        json operator()(const PutFailureDomain& put) const
        {
            return encodeOperation(OperationKind::PutFailureDomain, json::array({ toRecord(put.failureDomain) }));
        }
        json operator()(const RemoveFailureDomain& remove) const
        {
            return encodeOperation(OperationKind::RemoveFailureDomain, json::array({ remove.failureDomain }));
        }
        json operator()(const Protect& protect) const
        {
            return encodeOperation(OperationKind::Protect, json::array({ toRecord(protect.protection) }));
        }
        json operator()(const Unprotect& unprotect) const
        {
            return encodeOperation(OperationKind::Unprotect, json::array({ unprotect.path }));
        }
    };

    ErrorOr<Operation> decodeNameOperation(OperationKind kind, const json& fields)
    {
        RecordReader reader(fields, kind == OperationKind::RemoveBackendServer ? 2 : 1);
        auto first = reader.text(maximumFieldBytes);
        Operation operation = Unprotect { first };
        if (kind == OperationKind::RemoveService)
            operation = RemoveService { first };
        if (kind == OperationKind::RemoveBackendServer)
            operation = RemoveBackendServer { first, reader.text(maximumFieldBytes) };
        if (kind == OperationKind::RemoveFailureDomain)
            operation = RemoveFailureDomain { first };
        TRY(reader.finish("operation"));
        return operation;
    }

    ErrorOr<Operation> decodePutBackendServer(const json& fields)
    {
        RecordReader reader(fields, 2);
        PutBackendServer put;
        put.service = reader.text(maximumFieldBytes);
        TRY(reader.finish("operation"));
        TRY_ASSIGN(backendServer, backendServerFromRecord(fields[1]));
        put.backendServer = std::move(backendServer);
        return Operation { std::move(put) };
    }

    ErrorOr<Operation> decodeOperation(uint64_t kind, const json& fields)
    {
        if (fields.empty())
            return makeError(ErrorCode::Malformed, "operation without fields");
        switch (static_cast<OperationKind>(kind)) {
        case OperationKind::PutService: {
            TRY_ASSIGN(service, serviceFromRecord(fields[0]));
            return Operation { PutService { std::move(service) } };
        }
        case OperationKind::PutBackendServer:
            return decodePutBackendServer(fields);
        case OperationKind::PutFailureDomain: {
            TRY_ASSIGN(failureDomain, failureDomainFromRecord(fields[0]));
            return Operation { PutFailureDomain { std::move(failureDomain) } };
        }
        case OperationKind::Protect: {
            TRY_ASSIGN(protection, protectionFromRecord(fields[0]));
            return Operation { Protect { std::move(protection) } };
        }
        case OperationKind::RemoveService:
        case OperationKind::RemoveBackendServer:
        case OperationKind::RemoveFailureDomain:
        case OperationKind::Unprotect:
            return decodeNameOperation(static_cast<OperationKind>(kind), fields);
        }
        return makeError(ErrorCode::Malformed, "unknown kind of operation " + std::to_string(kind));
    }

    json encodeValue(const std::optional<std::string>& value)
    {
        return value ? json(value->substr(0, maximumRecordedValueBytes)) : json(nullptr);
    }

    json encodeDifferences(const std::vector<Difference>& differences)
    {
        auto records = json::array();
        for (const auto& difference : differences) {
            if (records.size() == maximumRecordedDifferences)
                break;
            records.push_back(
                json::array({ difference.path, encodeValue(difference.before), encodeValue(difference.after) }));
        }
        return records;
    }

    std::optional<std::string> decodeValue(RecordReader& reader)
    {
        const auto* value = reader.optional();
        if (value == nullptr)
            return std::nullopt;
        if (value->is_string())
            return value->get<std::string>();
        reader.markMalformed();
        return std::nullopt;
    }

    ErrorOr<std::vector<Difference>> decodeDifferences(const json& records)
    {
        std::vector<Difference> differences;
        for (const auto& record : records) {
            RecordReader reader(record, 3);
            Difference difference;
            difference.path = reader.text(maximumFieldBytes);
            difference.before = decodeValue(reader);
            difference.after = decodeValue(reader);
            TRY(reader.finish("difference"));
            differences.push_back(std::move(difference));
        }
        return differences;
    }

    std::vector<std::string> decodeOverrides(RecordReader& reader)
    {
        std::vector<std::string> overrides;
        for (const auto& path : reader.array()) {
            if (path.is_string() && overrides.size() < maximumOverrides)
                overrides.push_back(path.get<std::string>());
            else
                reader.markMalformed();
        }
        return overrides;
    }

}

std::string changeKey(Revision revision) { return "config/change/" + std::to_string(revision.value); }

std::string snapshotManifestKey() { return "config/snapshot/manifest"; }

std::string snapshotPartKey(Revision revision, uint32_t index)
{
    return "config/snapshot/" + std::to_string(revision.value) + "/" + std::to_string(index);
}

std::string encodeChange(const Change& change)
{
    auto operation = std::visit(OperationEncoder {}, change.operation);
    return encodeMsgpack(json::array({ changeFormat, change.revision.value, change.requestId, change.author,
        change.reason, toMilliseconds(change.acceptedAt), change.base.value, change.overrides, operation[0],
        operation[1], encodeDifferences(change.differences), change.differenceCount }));
}

std::string compactedChangeMarker() { return encodeMsgpack(json::array({ changeFormat })); }

uint64_t digest(const Operation& operation)
{
    return Base::hashText(encodeMsgpack(std::visit(OperationEncoder {}, operation)));
}

ErrorOr<Change> decodeChange(std::string_view bytes)
{
    TRY_ASSIGN(record, decodeMsgpack(bytes, Store::maximumValueBytes));
    RecordReader reader(record, 10);
    Change change;
    if (reader.number(0) < changeFormat)
        reader.markMalformed();
    change.revision = { reader.number(0) };
    change.requestId = reader.text(maximumRequestIdBytes);
    change.author = reader.text(maximumAuthorBytes);
    change.reason = reader.text(maximumReasonBytes);
    change.acceptedAt = fromMilliseconds(reader.milliseconds({}));
    change.base = { reader.number(0) };
    change.overrides = decodeOverrides(reader);
    const auto kind = reader.number(0);
    const auto& fields = reader.array();
    const auto& differences = reader.array();
    change.differenceCount = static_cast<uint32_t>(reader.number(0, std::numeric_limits<uint32_t>::max()));
    TRY(reader.finish("change"));
    TRY_ASSIGN(decodedDifferences, decodeDifferences(differences));
    change.differences = std::move(decodedDifferences);
    TRY_ASSIGN(operation, decodeOperation(kind, fields));
    change.operation = std::move(operation);
    return change;
}

std::string encodeManifest(const SnapshotManifest& manifest)
{
    return encodeMsgpack(json::array({ manifest.revision.value, manifest.partCount, manifest.previousRevision.value,
        manifest.previousPartCount, manifest.compactedThrough.value }));
}

ErrorOr<SnapshotManifest> decodeManifest(std::string_view bytes)
{
    constexpr uint64_t maximumParts = 10'000;
    constexpr std::size_t maximumManifestBytes = 4096;
    TRY_ASSIGN(record, decodeMsgpack(bytes, maximumManifestBytes));
    RecordReader reader(record, 2);
    SnapshotManifest manifest;
    manifest.revision = { reader.number(0) };
    manifest.partCount = static_cast<uint32_t>(reader.number(0, maximumParts));
    manifest.previousRevision = { reader.number(0) };
    manifest.previousPartCount = static_cast<uint32_t>(reader.number(0, maximumParts));
    manifest.compactedThrough = { reader.number(0) };
    TRY(reader.finish("manifest"));
    return manifest;
}

}
