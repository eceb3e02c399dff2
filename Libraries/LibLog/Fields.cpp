#include <LibLog/Fields.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Log {

namespace {

    bool isPlain(std::string_view value)
    {
        return std::ranges::all_of(value, [](unsigned char character) {
            return character >= ' ' && character < 0x7F && character != '"' && character != '\\';
        });
    }

}

Fields& Fields::addRaw(std::string_view name, std::string_view json)
{
    if (!text_.empty())
        text_ += ',';
    text_.append("\"").append(name).append("\":").append(json);
    return *this;
}

Fields& Fields::add(std::string_view name, std::string_view value)
{
    if (isPlain(value))
        return addRaw(name, std::string("\"").append(value).append("\""));
    using Json = nlohmann::json;
    return addRaw(name, Json(std::string(value)).dump(-1, ' ', false, Json::error_handler_t::replace));
}

}
