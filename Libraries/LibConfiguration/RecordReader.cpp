#include <LibConfiguration/RecordReader.h>

namespace Configuration {

RecordReader::RecordReader(const nlohmann::json& record, std::size_t requiredFields)
    : record_(record)
    , isValid_(record.is_array() && record.size() >= requiredFields)
{
}

const nlohmann::json* RecordReader::next()
{
    if (!isValid_ || position_ >= record_.size())
        return nullptr;
    return &record_[position_++];
}

uint64_t RecordReader::number(uint64_t fallback, uint64_t maximum)
{
    const auto* field = next();
    if (field == nullptr)
        return fallback;
    if (!field->is_number_unsigned() || field->get<uint64_t>() > maximum) {
        markMalformed();
        return fallback;
    }
    return field->get<uint64_t>();
}

bool RecordReader::flag(bool fallback)
{
    const auto* field = next();
    if (field == nullptr)
        return fallback;
    if (!field->is_boolean()) {
        markMalformed();
        return fallback;
    }
    return field->get<bool>();
}

std::string RecordReader::text(std::size_t maximumBytes)
{
    const auto* field = next();
    if (field == nullptr)
        return {};
    if (!field->is_string() || field->get_ref<const std::string&>().size() > maximumBytes) {
        markMalformed();
        return {};
    }
    return field->get<std::string>();
}

const nlohmann::json& RecordReader::array()
{
    static const auto empty = nlohmann::json::array();
    const auto* field = next();
    if (field == nullptr)
        return empty;
    if (!field->is_array()) {
        markMalformed();
        return empty;
    }
    return *field;
}

const nlohmann::json* RecordReader::optional()
{
    const auto* field = next();
    return field == nullptr || field->is_null() ? nullptr : field;
}

std::chrono::milliseconds RecordReader::milliseconds(std::chrono::milliseconds fallback)
{
    constexpr auto maximum = static_cast<uint64_t>(std::numeric_limits<int64_t>::max() / 1'000'000);
    return std::chrono::milliseconds(number(static_cast<uint64_t>(fallback.count()), maximum));
}

Base::ErrorOr<void> RecordReader::finish(const char* recordName) const
{
    if (isValid_)
        return {};
    return Base::makeError(Base::ErrorCode::Malformed, std::string(recordName) + ": a field has a wrong type or range");
}

}
