#include <LibSteering/Process/LoadReport.h>

#include <LibPeer/MsgpackReader.h>
#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace Steering {

namespace {

    using Json = nlohmann::json;
    using Base::ErrorCode;

    constexpr std::size_t reportFieldCount = 6;
    /// More requests in flight than any server can handle; a report with a larger count is malformed.
    constexpr uint64_t maximumInFlight = 100'000;

    bool isUnsigned(const Json& value) { return value.is_number_unsigned(); }

}

std::vector<std::byte> encodeLoadReport(const LoadReport& report)
{
    auto numbers = Json::array();
    auto counts = Json::array();
    for (const auto& load : report.loads) {
        numbers.push_back(load.number.value);
        counts.push_back(load.inFlight);
    }
    return Peer::writeMsgpack(Json::array({ report.sender.value, report.sequence, report.revision,
        static_cast<uint64_t>(report.store), std::move(numbers), std::move(counts) }));
}

Base::ErrorOr<LoadReport> decodeLoadReport(std::span<const std::byte> bytes)
{
    TRY_ASSIGN(value, Peer::readMsgpack(bytes));
    const bool isReport = value.is_array() && value.size() == reportFieldCount
        && std::all_of(value.begin(), value.begin() + 4, isUnsigned)
        && value[3].get<uint64_t>() <= static_cast<uint64_t>(StoreView::Unresponsive) && value[4].is_array()
        && value[5].is_array() && value[4].size() == value[5].size();
    if (!isReport)
        return Base::makeError(ErrorCode::Malformed, "expected [sender, sequence, revision, store, numbers, counts]");
    LoadReport report { .sender = { value[0].get<uint64_t>() },
        .sequence = value[1].get<uint64_t>(),
        .revision = value[2].get<uint64_t>(),
        .store = static_cast<StoreView>(value[3].get<uint64_t>()) };
    for (std::size_t index = 0; index < value[4].size(); ++index) {
        const auto& number = value[4][index];
        const auto& count = value[5][index];
        if (!isUnsigned(number) || !isUnsigned(count) || count.get<uint64_t>() > maximumInFlight)
            return Base::makeError(ErrorCode::Malformed, "expected a number and a count for each server");
        report.loads.push_back({ { number.get<uint64_t>() }, static_cast<uint32_t>(count.get<uint64_t>()) });
    }
    return report;
}

}
