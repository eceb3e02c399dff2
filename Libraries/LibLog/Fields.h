#pragma once

#include <concepts>
#include <string>
#include <string_view>

namespace Log {

/// Builds the fields of an event as members of a JSON object: "name":value,"name":value. Invalid UTF-8 is replaced, so
/// that every line is valid JSON.
class Fields {
public:
    Fields& add(std::string_view name, std::string_view value);
    Fields& add(std::string_view name, const char* value) { return add(name, std::string_view(value)); }
    Fields& add(std::string_view name, bool value) { return addRaw(name, value ? "true" : "false"); }
    template <std::integral Integer>
    Fields& add(std::string_view name, Integer value)
    {
        return addRaw(name, std::to_string(value));
    }

    /// The fields added so far.
    const std::string& text() const { return text_; }

private:
    Fields& addRaw(std::string_view name, std::string_view json);

    std::string text_;
};

}
