#pragma once

/// Settings files: JSON with comments. Each program declares its keys once, with unit, range, default and
/// documentation; the declaration is used to read and validate the file and to generate the reference page.

#include <LibBase/Error.h>
#include <LibBase/Ipv4Endpoint.h>
#include <LibBase/Time.h>
#include <concepts>
#include <cstdint>
#include <functional>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Settings {

/// Documentation of a key and checks in addition to its type.
struct KeyAttributes {
    /// One or two sentences.
    std::string documentation;
    /// The unit of a number; the key usually ends in it ("timeout_ms").
    std::string unit;
    /// Whether the file must contain the key.
    bool required { false };
    /// For an endpoint: whether the program listens there, so that it must differ from the other listening endpoints
    /// (except for port 0).
    bool listens { false };
};

/// Inclusive bounds of a whole number.
struct Range {
    uint64_t minimum { 0 };
    uint64_t maximum { std::numeric_limits<uint64_t>::max() };
};

/// Inclusive bounds of a real number.
struct RealRange {
    double minimum { 0 };
    double maximum { 0 };
};

/// The keys of one program, bound to the fields of its settings struct. A field's value when its key is declared is the
/// key's default. The bound fields must outlive the schema.
class Schema {
public:
    /// Declares a whole number. path: keys in snake_case joined by dots, for example "limits.maximum_flows".
    template <std::unsigned_integral Integer>
    void addInteger(const std::string& path, Integer& target, Range range, const KeyAttributes& attributes);
    /// Declares a number of milliseconds.
    void addMilliseconds(const std::string& path, Base::milliseconds& target, Range, KeyAttributes);
    /// Declares a number of seconds, also with a fraction; rounded to milliseconds.
    void addSeconds(const std::string& path, Base::milliseconds& target, RealRange, KeyAttributes);
    /// Declares a real number.
    void addReal(const std::string& path, double& target, RealRange, KeyAttributes);
    void addBoolean(const std::string& path, bool& target, KeyAttributes);
    /// Declares a text; lengthRange is in bytes.
    void addText(const std::string& path, std::string& target, Range lengthRange, KeyAttributes);
    /// Declares an "ADDRESS:PORT"; port 0 is allowed only if the program listens there.
    void addEndpoint(const std::string& path, Base::Ipv4Endpoint& target, KeyAttributes);
    /// Declares a list of distinct "ADDRESS:PORT".
    void addEndpointList(
        const std::string& path, std::vector<Base::Ipv4Endpoint>& target, Range lengthRange, KeyAttributes);
    /// Declares a list of texts; textRange is the length of each in bytes.
    void addTextList(
        const std::string& path, std::vector<std::string>& target, Range lengthRange, Range textRange, KeyAttributes);

    /// Reads a settings text into the bound fields. Returns ErrorCode::Malformed, InvalidArgument, OutOfRange,
    /// AlreadyExists or NotFound with the detail "key.path: expected ..."; the bound fields must then be discarded.
    Base::ErrorOr<void> readText(std::string_view);
    /// Like readText() for the content of a file; the detail starts with the file's path.
    Base::ErrorOr<void> readFile(const std::string& path);

    /// A Markdown table of all keys: key, type and range, unit, default, meaning.
    std::string reference() const;

private:
    using Json = nlohmann::json;

    struct Field {
        std::string path;
        std::string type;
        std::string defaultText;
        KeyAttributes attributes;
        std::function<Base::ErrorOr<void>(const Json&)> read;
        /// Returns the endpoint the program listens on, if any, for the check for duplicates.
        std::function<std::optional<Base::Ipv4Endpoint>()> listenEndpoint;
    };

    void addField(Field);
    void addRealField(
        const std::string& path, RealRange, KeyAttributes, double defaultValue, std::function<void(double)> assign);
    void addNumber(
        const std::string& path, Range, KeyAttributes, uint64_t defaultValue, std::function<void(uint64_t)> assign);
    Base::ErrorOr<void> readObject(
        const Json& object, const std::string& prefix, std::vector<std::string>& presentKeys);
    Base::ErrorOr<void> checkRequired(const std::vector<std::string>& presentKeys) const;
    Base::ErrorOr<void> checkListenEndpoints() const;
    const Field* findField(const std::string& path) const;
    bool isSection(const std::string& path) const;

    std::vector<Field> fields_;
};

template <std::unsigned_integral Integer>
void Schema::addInteger(const std::string& path, Integer& target, Range range, const KeyAttributes& attributes)
{
    range.maximum = std::min<uint64_t>(range.maximum, std::numeric_limits<Integer>::max());
    addNumber(path, range, attributes, target, [&target](uint64_t value) { target = static_cast<Integer>(value); });
}

}
