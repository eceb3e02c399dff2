#include <LibMirror/RelayMessage.h>

#include <LibMirror/Compression.h>
#include <LibPacket/ByteOrder.h>
#include <LibPeer/MsgpackReader.h>
#include <nlohmann/json.hpp>

namespace Mirror {

namespace {

    using Json = nlohmann::json;
    using Base::ErrorCode;

    constexpr std::size_t batchFields = 6;
    constexpr std::size_t recordFields = 4;
    /// The header's length field, in network byte order.
    constexpr std::size_t headerLengthBytes = 4;
    /// The complete state of 28,000 backend servers is about 10 MB.
    constexpr std::size_t maximumBatchBytes = std::size_t { 64 } * 1024 * 1024;

    /// Removes the next value from the bytes after the header and returns it.
    Base::ErrorOr<std::string> consumeValue(std::span<const std::byte>& values, uint64_t length)
    {
        if (length > values.size())
            return Base::makeError(ErrorCode::Malformed, "a record's value is truncated");
        std::string value(reinterpret_cast<const char*>(values.data()), length);
        values = values.subspan(length);
        return value;
    }

    Base::ErrorOr<Record> decodeRecord(const Json& row, std::span<const std::byte>& values)
    {
        const bool isRecord = row.is_array() && row.size() == recordFields && row[0].is_string()
            && row[1].is_number_unsigned() && row[2].is_boolean() && row[3].is_number_unsigned();
        if (!isRecord)
            return Base::makeError(ErrorCode::Malformed, "expected [key, revision, deletion, length]");
        TRY_ASSIGN(value, consumeValue(values, row[3].get<uint64_t>()));
        return Record { .key = row[0].get<std::string>(),
            .revision = row[1].get<uint64_t>(),
            .value = std::move(value),
            .isDeletion = row[2].get<bool>() };
    }

}

std::vector<std::byte> encodeRelayRequest(const RelayRequest& request)
{
    return Peer::writeMsgpack(Json::array({ request.after.era, request.after.revision }));
}

Base::ErrorOr<RelayRequest> decodeRelayRequest(std::span<const std::byte> bytes)
{
    TRY_ASSIGN(value, Peer::readMsgpack(bytes));
    if (!value.is_array() || value.size() != 2 || !value[0].is_number_unsigned() || !value[1].is_number_unsigned())
        return Base::makeError(ErrorCode::Malformed, "expected [era, revision]");
    return RelayRequest { .after = { .era = value[0].get<uint64_t>(), .revision = value[1].get<uint64_t>() } };
}

std::vector<std::byte> encodeBatch(const ChangeBatch& batch)
{
    auto rows = Json::array();
    std::size_t valueBytes = 0;
    for (const auto& record : batch.records) {
        rows.push_back(Json::array({ record.key, record.revision, record.isDeletion, record.value.size() }));
        valueBytes += record.value.size();
    }
    const auto header = Peer::writeMsgpack(
        Json::array({ batch.era, batch.after, batch.upTo, batch.isComplete, batch.hasMore, std::move(rows) }));
    // Values follow the header unencoded, since a configuration has hundreds of kilobytes.
    std::vector<std::byte> content(headerLengthBytes);
    content.reserve(headerLengthBytes + header.size() + valueBytes);
    Packet::store32(content.data(), static_cast<uint32_t>(header.size()));
    content.insert(content.end(), header.begin(), header.end());
    for (const auto& record : batch.records) {
        const auto value = std::as_bytes(std::span(record.value));
        content.insert(content.end(), value.begin(), value.end());
    }
    return compress(content);
}

Base::ErrorOr<ChangeBatch> decodeBatch(std::span<const std::byte> bytes)
{
    TRY_ASSIGN(content, decompress(bytes, maximumBatchBytes));
    const std::span<const std::byte> whole(content);
    if (whole.size() < headerLengthBytes || Packet::load32(whole.data()) > whole.size() - headerLengthBytes)
        return Base::makeError(ErrorCode::Malformed, "expected a header and its length");
    const auto headerBytes = Packet::load32(whole.data());
    auto values = whole.subspan(headerLengthBytes + headerBytes);
    TRY_ASSIGN(value, Peer::readMsgpack(whole.subspan(headerLengthBytes, headerBytes)));
    const bool isBatch = value.is_array() && value.size() == batchFields && value[0].is_number_unsigned()
        && value[1].is_number_unsigned() && value[2].is_number_unsigned() && value[3].is_boolean()
        && value[4].is_boolean() && value[5].is_array();
    if (!isBatch)
        return Base::makeError(ErrorCode::Malformed, "expected [era, after, up to, complete, more, records]");
    ChangeBatch batch { .era = value[0].get<uint64_t>(),
        .after = value[1].get<uint64_t>(),
        .upTo = value[2].get<uint64_t>(),
        .isComplete = value[3].get<bool>(),
        .hasMore = value[4].get<bool>() };
    for (const auto& row : value[5]) {
        TRY_ASSIGN(record, decodeRecord(row, values));
        if (!batch.isComplete && record.revision <= batch.after)
            return Base::makeError(ErrorCode::Malformed, "a record's revision is older than its batch");
        batch.records.push_back(std::move(record));
    }
    if (!values.empty())
        return Base::makeError(ErrorCode::Malformed, "unexpected bytes after the last value");
    return batch;
}

}
