#include <LibSteering/Process/LoadReport.h>

#include <LibPeer/MsgpackReader.h>
#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace Steering {

namespace {

    using Json = nlohmann::json;
    using Base::ErrorCode;

    /// Reports of earlier releases end after the counts.
    constexpr std::size_t minimumFieldCount = 6;
    constexpr std::size_t demandsField = 6;
    constexpr std::size_t speedsField = 7;
    constexpr std::size_t restartsField = 8;
    constexpr std::size_t eraField = 9;
    /// More requests in flight than any server can handle; a report with a larger count is malformed.
    constexpr uint64_t maximumInFlight = 100'000;

    /// Estimates are cut off far below; a report with a larger one is malformed.
    constexpr uint64_t maximumRelativeThousandths = 1'000'000;

    bool isUnsigned(const Json& value) { return value.is_number_unsigned(); }

    /// Calls add(first, second) for each of the alternating elements of an optional field.
    template <typename Add>
    Base::ErrorOr<void> readPairs(const Json& report, std::size_t field, uint64_t maximumSecond, const Add& add)
    {
        if (report.size() <= field)
            return {};
        const auto& values = report[field];
        if (!values.is_array() || values.size() % 2 != 0 || !std::all_of(values.begin(), values.end(), isUnsigned))
            return Base::makeError(ErrorCode::Malformed, "expected pairs of unsigned integers");
        for (std::size_t index = 0; index < values.size(); index += 2) {
            if (values[index + 1].get<uint64_t>() > maximumSecond)
                return Base::makeError(ErrorCode::Malformed, "a reported value is out of range");
            add(values[index].get<uint64_t>(), values[index + 1].get<uint64_t>());
        }
        return {};
    }

    Base::ErrorOr<void> readOptionalFields(const Json& value, LoadReport& report)
    {
        TRY(readPairs(value, demandsField, maximumInFlight, [&](uint64_t service, uint64_t requests) {
            report.demands.push_back({ { service }, static_cast<uint32_t>(requests) });
        }));
        TRY(readPairs(value, speedsField, maximumRelativeThousandths, [&](uint64_t number, uint64_t thousandths) {
            report.speeds.push_back({ { number }, static_cast<uint32_t>(thousandths) });
        }));
        if (value.size() <= restartsField)
            return {};
        const auto& restarts = value[restartsField];
        if (!restarts.is_array() || !std::all_of(restarts.begin(), restarts.end(), isUnsigned))
            return Base::makeError(ErrorCode::Malformed, "expected the numbers of restarted servers");
        for (const auto& number : restarts)
            report.possiblyRestarted.push_back({ number.get<uint64_t>() });
        if (value.size() <= eraField)
            return {};
        if (!isUnsigned(value[eraField]))
            return Base::makeError(ErrorCode::Malformed, "expected the store's era");
        report.position.era = value[eraField].get<uint64_t>();
        return {};
    }

}

std::vector<std::byte> encodeLoadReport(const LoadReport& report)
{
    auto numbers = Json::array();
    auto counts = Json::array();
    for (const auto& load : report.loads) {
        numbers.push_back(load.number.value);
        counts.push_back(load.inFlight);
    }
    auto demands = Json::array();
    for (const auto& demand : report.demands) {
        demands.push_back(demand.service.value);
        demands.push_back(demand.requests);
    }
    auto speeds = Json::array();
    for (const auto& speed : report.speeds) {
        speeds.push_back(speed.number.value);
        speeds.push_back(speed.relativeThousandths);
    }
    auto restarts = Json::array();
    for (const auto number : report.possiblyRestarted)
        restarts.push_back(number.value);
    auto fields = Json::array(
        { report.sender.value, report.sequence, report.position.revision, static_cast<uint64_t>(report.store),
            std::move(numbers), std::move(counts), std::move(demands), std::move(speeds), std::move(restarts) });
    if (report.position.era != 0)
        fields.push_back(report.position.era);
    // Earlier releases reject reports with further fields, and would take this entry VM for silent.
    while (fields.size() > minimumFieldCount && fields.back().is_array() && fields.back().empty())
        fields.erase(fields.size() - 1);
    return Peer::writeMsgpack(fields);
}

Base::ErrorOr<LoadReport> decodeLoadReport(std::span<const std::byte> bytes)
{
    TRY_ASSIGN(value, Peer::readMsgpack(bytes));
    const bool isReport = value.is_array() && value.size() >= minimumFieldCount
        && std::all_of(value.begin(), value.begin() + 4, isUnsigned)
        && value[3].get<uint64_t>() <= static_cast<uint64_t>(StoreView::Overdue) && value[4].is_array()
        && value[5].is_array() && value[4].size() == value[5].size();
    if (!isReport)
        return Base::makeError(ErrorCode::Malformed, "expected [sender, sequence, revision, store, numbers, counts]");
    LoadReport report { .sender = { value[0].get<uint64_t>() },
        .sequence = value[1].get<uint64_t>(),
        .position = { .revision = value[2].get<uint64_t>() },
        .store = static_cast<StoreView>(value[3].get<uint64_t>()) };
    for (std::size_t index = 0; index < value[4].size(); ++index) {
        const auto& number = value[4][index];
        const auto& count = value[5][index];
        if (!isUnsigned(number) || !isUnsigned(count) || count.get<uint64_t>() > maximumInFlight)
            return Base::makeError(ErrorCode::Malformed, "expected a number and a count for each server");
        report.loads.push_back({ { number.get<uint64_t>() }, static_cast<uint32_t>(count.get<uint64_t>()) });
    }
    TRY(readOptionalFields(value, report));
    return report;
}

}
