#include <LibMirror/RelayMessage.h>

#include <LibMirror/Compression.h>
#include <LibPeer/MsgpackReader.h>
#include <nlohmann/json.hpp>

namespace Mirror {

namespace {

    using Json = nlohmann::json;
    using Base::ErrorCode;

    constexpr std::size_t batchFields = 5;
    constexpr std::size_t recordFields = 4;
    /// The whole state of 28,000 backend servers is about 10 MB.
    constexpr std::size_t maximumBatchBytes = std::size_t { 64 } * 1024 * 1024;

    Base::ErrorOr<Record> decodeRecord(const Json& row)
    {
        const bool isRecord = row.is_array() && row.size() == recordFields && row[0].is_string()
            && row[1].is_number_unsigned() && row[2].is_boolean() && row[3].is_binary();
        if (!isRecord)
            return Base::makeError(ErrorCode::Malformed, "expected [key, revision, deletion, value]");
        const auto& bytes = row[3].get_binary();
        return Record { .key = row[0].get<std::string>(),
            .revision = row[1].get<uint64_t>(),
            .value = std::string(bytes.begin(), bytes.end()),
            .isDeletion = row[2].get<bool>() };
    }

}

std::vector<std::byte> encodeQuestion(const RelayQuestion& question)
{
    return Peer::writeMsgpack(Json::array({ question.after }));
}

Base::ErrorOr<RelayQuestion> decodeQuestion(std::span<const std::byte> bytes)
{
    TRY_ASSIGN(value, Peer::readMsgpack(bytes));
    if (!value.is_array() || value.size() != 1 || !value[0].is_number_unsigned())
        return Base::makeError(ErrorCode::Malformed, "expected [revision]");
    return RelayQuestion { .after = value[0].get<uint64_t>() };
}

std::vector<std::byte> encodeBatch(const ChangeBatch& batch)
{
    auto rows = Json::array();
    for (const auto& record : batch.records) {
        auto bytes = Json::binary(std::vector<uint8_t>(record.value.begin(), record.value.end()));
        rows.push_back(Json::array({ record.key, record.revision, record.isDeletion, std::move(bytes) }));
    }
    return compress(
        Peer::writeMsgpack(Json::array({ batch.after, batch.upTo, batch.isComplete, batch.hasMore, std::move(rows) })));
}

Base::ErrorOr<ChangeBatch> decodeBatch(std::span<const std::byte> bytes)
{
    TRY_ASSIGN(content, decompress(bytes, maximumBatchBytes));
    TRY_ASSIGN(value, Peer::readMsgpack(content));
    const bool isBatch = value.is_array() && value.size() == batchFields && value[0].is_number_unsigned()
        && value[1].is_number_unsigned() && value[2].is_boolean() && value[3].is_boolean() && value[4].is_array();
    if (!isBatch)
        return Base::makeError(ErrorCode::Malformed, "expected [after, up to, complete, more, records]");
    ChangeBatch batch { .after = value[0].get<uint64_t>(),
        .upTo = value[1].get<uint64_t>(),
        .isComplete = value[2].get<bool>(),
        .hasMore = value[3].get<bool>() };
    for (const auto& row : value[4]) {
        TRY_ASSIGN(record, decodeRecord(row));
        if (!batch.isComplete && record.revision <= batch.after)
            return Base::makeError(ErrorCode::Malformed, "a record is older than its batch");
        batch.records.push_back(std::move(record));
    }
    return batch;
}

}
