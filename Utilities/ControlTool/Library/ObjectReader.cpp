#include "ObjectReader.h"

namespace ControlTool {

ObjectReader::ObjectReader(const nlohmann::json& object, std::string path)
    : object_(object)
    , path_(std::move(path))
{
    if (!object_.is_object())
        error_ = path_ + ": expected an object";
}

const nlohmann::json* ObjectReader::find(const char* key)
{
    readKeys_.insert(key);
    if (!error_.empty())
        return nullptr;
    auto found = object_.find(key);
    return found == object_.end() ? nullptr : &*found;
}

void ObjectReader::setError(const std::string& key, const std::string& expected)
{
    if (error_.empty())
        error_ = path_ + "." + key + ": expected " + expected;
}

void ObjectReader::read(const char* key, std::string& target)
{
    const auto* value = find(key);
    if (value == nullptr)
        return;
    if (value->is_string())
        target = value->get<std::string>();
    else
        setError(key, "text");
}

void ObjectReader::read(const char* key, bool& target)
{
    const auto* value = find(key);
    if (value == nullptr)
        return;
    if (value->is_boolean())
        target = value->get<bool>();
    else
        setError(key, "true or false");
}

void ObjectReader::read(const char* key, uint32_t& target, uint64_t maximum)
{
    const auto* value = find(key);
    if (value == nullptr)
        return;
    if (value->is_number_unsigned() && value->get<uint64_t>() <= maximum)
        target = value->get<uint32_t>();
    else
        setError(key, "a whole number from 0 to " + std::to_string(maximum));
}

void ObjectReader::read(const char* key, uint16_t& target)
{
    uint32_t wide = target;
    read(key, wide, UINT16_MAX);
    target = static_cast<uint16_t>(wide);
}

void ObjectReader::read(const char* key, std::chrono::milliseconds& target)
{
    auto count = static_cast<uint32_t>(target.count());
    read(key, count);
    target = std::chrono::milliseconds(count);
}

void ObjectReader::readParsed(const char* key, const std::function<std::string(const std::string&)>& parse)
{
    const auto* value = find(key);
    if (value == nullptr)
        return;
    if (!value->is_string()) {
        setError(key, "text");
        return;
    }
    const auto expected = parse(value->get<std::string>());
    if (!expected.empty())
        setError(key, expected);
}

void ObjectReader::readEach(
    const char* key, const std::function<Base::ErrorOr<void>(const nlohmann::json&, const std::string&)>& element)
{
    const auto* value = find(key);
    if (value == nullptr)
        return;
    if (!value->is_array()) {
        setError(key, "a list");
        return;
    }
    for (std::size_t i = 0; i < value->size() && error_.empty(); ++i) {
        const auto path = path_ + "." + key + "[" + std::to_string(i) + "]";
        if (const auto error = Base::captureError([&] { return element((*value)[i], path); }))
            error_ = error->detail;
    }
}

Base::ErrorOr<void> ObjectReader::finish()
{
    if (error_.empty()) {
        for (const auto& [key, value] : object_.items()) {
            if (!readKeys_.contains(key)) {
                error_ = path_ + "." + key + ": unknown key";
                break;
            }
        }
    }
    if (error_.empty())
        return {};
    return Base::makeError(Base::ErrorCode::InvalidArgument, error_);
}

}
