#pragma once

/// Settings files: JSON with comments. Each program declares its keys once, with unit, range, default and
/// documentation; the same declaration reads the file, checks it and writes the reference page.

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

/// What a key is documented with, and how it is checked beyond its type.
struct Notes {
    /// One or two sentences.
    std::string documentation;
    /// The unit of a number; the key's name ends in it where that is usual ("timeout_ms").
    std::string unit;
    /// Whether the file must hold the key.
    bool required { false };
    /// For an endpoint: the program listens there, so no other listening endpoint may be the same (port 0: any).
    bool listens { false };
};

/// The bounds of a number, both allowed.
struct Range {
    uint64_t minimum { 0 };
    uint64_t maximum { std::numeric_limits<uint64_t>::max() };
};

/// The bounds of a number that need not be whole, both allowed.
struct RealRange {
    double minimum { 0 };
    double maximum { 0 };
};

/// The keys of one program, bound to the fields of its settings struct. A field's value at the time of declaration is
/// the key's default. The bound fields must outlive the schema.
class Schema {
public:
    /// A whole number. path: snake_case keys joined by dots, for example "limits.maximum_flows".
    template <std::unsigned_integral Integer>
    void addInteger(const std::string& path, Integer& target, Range range, const Notes& notes);
    /// A number of milliseconds.
    void addMilliseconds(const std::string& path, Base::milliseconds& target, Range, Notes);
    /// A number that need not be whole.
    void addReal(const std::string& path, double& target, RealRange, Notes);
    void addBoolean(const std::string& path, bool& target, Notes);
    /// Text of minimum to maximum bytes.
    void addText(const std::string& path, std::string& target, Range lengthRange, Notes);
    /// "ADDRESS:PORT"; port 0 only where the program listens.
    void addEndpoint(const std::string& path, Base::Ipv4Endpoint& target, Notes);
    /// A list of distinct "ADDRESS:PORT".
    void addEndpointList(const std::string& path, std::vector<Base::Ipv4Endpoint>& target, Range lengthRange, Notes);
    /// A list of texts.
    void addTextList(
        const std::string& path, std::vector<std::string>& target, Range lengthRange, Range textRange, Notes);

    /// Reads a settings text into the bound fields. Malformed, InvalidArgument, OutOfRange, AlreadyExists or NotFound;
    /// the detail is "key.path: expected ...". The bound fields are to be discarded then.
    Base::ErrorOr<void> readText(std::string_view);
    /// Like readText on a file's content; the detail starts with the file's name.
    Base::ErrorOr<void> readFile(const std::string& path);

    /// A Markdown table of all keys: key, type and range, unit, default, meaning.
    std::string reference() const;

private:
    using Json = nlohmann::json;

    struct Field {
        std::string path;
        std::string type;
        std::string defaultText;
        Notes notes;
        std::function<Base::ErrorOr<void>(const Json&)> read;
        /// The endpoint the program listens on, for the check on duplicates.
        std::function<std::optional<Base::Ipv4Endpoint>()> listening;
    };

    void addField(Field);
    void addNumber(const std::string& path, Range, Notes, uint64_t defaultValue, std::function<void(uint64_t)> assign);
    Base::ErrorOr<void> readObject(const Json& object, const std::string& prefix, std::vector<std::string>& seen);
    Base::ErrorOr<void> checkRequired(const std::vector<std::string>& seen) const;
    Base::ErrorOr<void> checkListening() const;
    const Field* findField(const std::string& path) const;
    bool isSection(const std::string& path) const;

    std::vector<Field> fields_;
};

template <std::unsigned_integral Integer>
void Schema::addInteger(const std::string& path, Integer& target, Range range, const Notes& notes)
{
    range.maximum = std::min<uint64_t>(range.maximum, std::numeric_limits<Integer>::max());
    addNumber(path, range, notes, target, [&target](uint64_t value) { target = static_cast<Integer>(value); });
}

}
