#include <LibSettings/Schema.h>

#include <LibBase/Verify.h>
#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

namespace Settings {

using Base::ErrorCode;
using Base::ErrorOr;
using Base::Ipv4Endpoint;
using Base::makeError;

namespace {

    std::string joinPath(const std::string& prefix, const std::string& key)
    {
        std::string path = prefix;
        if (!path.empty())
            path += '.';
        path += key;
        return path;
    }

    std::string describeRange(Range range)
    {
        if (range.maximum == std::numeric_limits<uint64_t>::max())
            return "at least " + std::to_string(range.minimum);
        return std::to_string(range.minimum) + " to " + std::to_string(range.maximum);
    }

    bool contains(Range range, uint64_t value) { return value >= range.minimum && value <= range.maximum; }

    std::string quoteJson(const std::string& text) { return nlohmann::json(text).dump(); }

    ErrorOr<Ipv4Endpoint> readEndpoint(const nlohmann::json& value)
    {
        if (!value.is_string())
            return makeError(ErrorCode::InvalidArgument, "expected text \"ADDRESS:PORT\"");
        const auto text = value.get<std::string>();
        auto endpoint = Base::capture([&] { return Ipv4Endpoint::parse(text); });
        if (!endpoint.isOk())
            return makeError(ErrorCode::Malformed, "expected \"ADDRESS:PORT\", found " + quoteJson(text));
        return *endpoint.value;
    }

    ErrorOr<std::string> readBoundedText(const nlohmann::json& value, Range lengthRange)
    {
        if (!value.is_string())
            return makeError(ErrorCode::InvalidArgument, "expected text");
        auto text = value.get<std::string>();
        if (!contains(lengthRange, text.size()))
            return makeError(ErrorCode::OutOfRange, "expected text of " + describeRange(lengthRange) + " bytes");
        return text;
    }

    ErrorOr<void> checkList(const nlohmann::json& value, Range lengthRange)
    {
        if (!value.is_array())
            return makeError(ErrorCode::InvalidArgument, "expected a list");
        if (!contains(lengthRange, value.size()))
            return makeError(ErrorCode::OutOfRange, "expected a list of " + describeRange(lengthRange) + " entries");
        return {};
    }

}

void Schema::addField(Field field)
{
    VERIFY(findField(field.path) == nullptr);
    fields_.push_back(std::move(field));
}

void Schema::addNumber(const std::string& path, Range range, KeyAttributes attributes, uint64_t defaultValue,
    std::function<void(uint64_t)> assign)
{
    auto read = [range, assign = std::move(assign)](const Json& value) -> ErrorOr<void> {
        if (!value.is_number_unsigned())
            return makeError(ErrorCode::InvalidArgument, "expected a whole number, " + describeRange(range));
        const auto number = value.get<uint64_t>();
        if (!contains(range, number)) {
            return makeError(ErrorCode::OutOfRange,
                "expected a whole number, " + describeRange(range) + ", found " + std::to_string(number));
        }
        assign(number);
        return {};
    };
    addField({ .path = path,
        .type = "whole number, " + describeRange(range),
        .defaultText = std::to_string(defaultValue),
        .attributes = std::move(attributes),
        .read = std::move(read),
        .listenEndpoint = {} });
}

void Schema::addMilliseconds(const std::string& path, Base::milliseconds& target, Range range, KeyAttributes attributes)
{
    if (attributes.unit.empty())
        attributes.unit = "ms";
    addNumber(path, range, std::move(attributes), static_cast<uint64_t>(target.count()),
        [&target](uint64_t value) { target = Base::milliseconds(value); });
}

void Schema::addSeconds(const std::string& path, Base::milliseconds& target, RealRange range, KeyAttributes attributes)
{
    if (attributes.unit.empty())
        attributes.unit = "s";
    addRealField(path, range, std::move(attributes), Base::toSeconds(target), [&target](double value) {
        target = std::chrono::round<Base::milliseconds>(std::chrono::duration<double>(value));
    });
}

void Schema::addReal(const std::string& path, double& target, RealRange range, KeyAttributes attributes)
{
    addRealField(path, range, std::move(attributes), target, [&target](double value) { target = value; });
}

void Schema::addRealField(const std::string& path, RealRange range, KeyAttributes attributes, double defaultValue,
    std::function<void(double)> assign)
{
    std::ostringstream bounds;
    bounds << range.minimum << " to " << range.maximum;
    std::ostringstream defaultText;
    defaultText << defaultValue;
    auto read = [range, assign = std::move(assign), bounds = bounds.str()](const Json& value) -> ErrorOr<void> {
        if (!value.is_number())
            return makeError(ErrorCode::InvalidArgument, "expected a number, " + bounds);
        const auto number = value.get<double>();
        if (number < range.minimum || number > range.maximum)
            return makeError(ErrorCode::OutOfRange, "expected a number, " + bounds + ", found " + value.dump());
        assign(number);
        return {};
    };
    addField({ .path = path,
        .type = "number, " + bounds.str(),
        .defaultText = defaultText.str(),
        .attributes = std::move(attributes),
        .read = std::move(read),
        .listenEndpoint = {} });
}

void Schema::addBoolean(const std::string& path, bool& target, KeyAttributes attributes)
{
    auto read = [&target](const Json& value) -> ErrorOr<void> {
        if (!value.is_boolean())
            return makeError(ErrorCode::InvalidArgument, "expected true or false");
        target = value.get<bool>();
        return {};
    };
    addField({ .path = path,
        .type = "true or false",
        .defaultText = target ? "true" : "false",
        .attributes = std::move(attributes),
        .read = std::move(read),
        .listenEndpoint = {} });
}

void Schema::addText(const std::string& path, std::string& target, Range lengthRange, KeyAttributes attributes)
{
    auto read = [&target, lengthRange](const Json& value) -> ErrorOr<void> {
        TRY_ASSIGN(text, readBoundedText(value, lengthRange));
        target = std::move(text);
        return {};
    };
    addField({ .path = path,
        .type = "text of " + describeRange(lengthRange) + " bytes",
        .defaultText = quoteJson(target),
        .attributes = std::move(attributes),
        .read = std::move(read),
        .listenEndpoint = {} });
}

void Schema::addEndpoint(const std::string& path, Ipv4Endpoint& target, KeyAttributes attributes)
{
    const bool listens = attributes.listens;
    auto read = [&target, listens](const Json& value) -> ErrorOr<void> {
        TRY_ASSIGN(endpoint, readEndpoint(value));
        if (endpoint.port == 0 && !listens)
            return makeError(ErrorCode::OutOfRange, "expected a port from 1 to 65535, found 0");
        target = endpoint;
        return {};
    };
    auto listenEndpoint = [&target, listens] { return listens ? std::optional(target) : std::nullopt; };
    addField({ .path = path,
        .type = "\"ADDRESS:PORT\"",
        .defaultText = quoteJson(target.toString()),
        .attributes = std::move(attributes),
        .read = std::move(read),
        .listenEndpoint = std::move(listenEndpoint) });
}

void Schema::addEndpointList(
    const std::string& path, std::vector<Ipv4Endpoint>& target, Range lengthRange, KeyAttributes attributes)
{
    auto read = [&target, lengthRange](const Json& value) -> ErrorOr<void> {
        TRY(checkList(value, lengthRange));
        target.clear();
        for (const auto& entry : value) {
            TRY_ASSIGN(endpoint, readEndpoint(entry));
            if (std::find(target.begin(), target.end(), endpoint) != target.end())
                return makeError(
                    ErrorCode::AlreadyExists, "expected distinct addresses, found " + endpoint.toString() + " twice");
            target.push_back(endpoint);
        }
        return {};
    };
    addField({ .path = path,
        .type = "list of " + describeRange(lengthRange) + " distinct \"ADDRESS:PORT\"",
        .defaultText = "[]",
        .attributes = std::move(attributes),
        .read = std::move(read),
        .listenEndpoint = {} });
}

void Schema::addTextList(const std::string& path, std::vector<std::string>& target, Range lengthRange, Range textRange,
    KeyAttributes attributes)
{
    auto read = [&target, lengthRange, textRange](const Json& value) -> ErrorOr<void> {
        TRY(checkList(value, lengthRange));
        target.clear();
        for (const auto& entry : value) {
            TRY_ASSIGN(text, readBoundedText(entry, textRange));
            target.push_back(std::move(text));
        }
        return {};
    };
    addField({ .path = path,
        .type = "list of " + describeRange(lengthRange) + " texts, each of " + describeRange(textRange) + " bytes",
        .defaultText = "[]",
        .attributes = std::move(attributes),
        .read = std::move(read),
        .listenEndpoint = {} });
}

const Schema::Field* Schema::findField(const std::string& path) const
{
    const auto found
        = std::find_if(fields_.begin(), fields_.end(), [&](const Field& field) { return field.path == path; });
    return found == fields_.end() ? nullptr : &*found;
}

bool Schema::isSection(const std::string& path) const
{
    return std::any_of(
        fields_.begin(), fields_.end(), [&](const Field& field) { return field.path.starts_with(path + "."); });
}

ErrorOr<void> Schema::readObject(const Json& object, const std::string& prefix, std::vector<std::string>& presentKeys)
{
    for (const auto& item : object.items()) {
        const auto& value = item.value();
        const auto path = joinPath(prefix, item.key());
        if (const auto* field = findField(path)) {
            if (const auto error = Base::captureError([&] { return field->read(value); }))
                return makeError(error->code, path + ": " + error->detail);
            presentKeys.push_back(path);
            continue;
        }
        if (!isSection(path))
            return makeError(ErrorCode::NotFound, path + ": expected a known key (see --settings-reference)");
        if (!value.is_object())
            return makeError(ErrorCode::InvalidArgument, path + ": expected an object");
        TRY(readObject(value, path, presentKeys));
    }
    return {};
}

ErrorOr<void> Schema::checkRequired(const std::vector<std::string>& presentKeys) const
{
    for (const auto& field : fields_) {
        if (field.attributes.required
            && std::find(presentKeys.begin(), presentKeys.end(), field.path) == presentKeys.end())
            return makeError(
                ErrorCode::InvalidArgument, field.path + ": expected " + field.type + ", found no such key");
    }
    return {};
}

ErrorOr<void> Schema::checkListenEndpoints() const
{
    std::vector<std::pair<Ipv4Endpoint, std::string>> listenEndpoints;
    for (const auto& field : fields_) {
        const auto endpoint = field.listenEndpoint ? field.listenEndpoint() : std::nullopt;
        if (!endpoint || endpoint->port == 0)
            continue;
        for (const auto& [other, otherPath] : listenEndpoints) {
            if (other == *endpoint) {
                return makeError(ErrorCode::AlreadyExists,
                    field.path + ": expected an address of its own, " + endpoint->toString() + " is also " + otherPath);
            }
        }
        listenEndpoints.emplace_back(*endpoint, field.path);
    }
    return {};
}

namespace {

    /// Parses JSON with comments. A repeated key in an object is an error, which the JSON library alone does not
    /// report.
    ErrorOr<nlohmann::json> parseStrictly(std::string_view text)
    {
        std::vector<std::set<std::string>> keys;
        std::string repeated;
        const auto trackKeys = [&](int, nlohmann::json::parse_event_t event, nlohmann::json& parsed) {
            if (event == nlohmann::json::parse_event_t::object_start)
                keys.emplace_back();
            else if (event == nlohmann::json::parse_event_t::object_end)
                keys.pop_back();
            else if (event == nlohmann::json::parse_event_t::key
                && !keys.back().insert(parsed.get<std::string>()).second)
                repeated = parsed.get<std::string>();
            return true;
        };
        try {
            auto document = nlohmann::json::parse(text.begin(), text.end(), trackKeys, true, true);
            if (!repeated.empty())
                return makeError(ErrorCode::AlreadyExists, repeated + ": expected the key once in its object");
            return document;
        } catch (const nlohmann::json::exception& exception) {
            return makeError(ErrorCode::Malformed, std::string("expected JSON: ") + exception.what());
        }
    }

}

ErrorOr<void> Schema::readText(std::string_view text)
{
    TRY_ASSIGN(document, parseStrictly(text));
    if (!document.is_object())
        return makeError(ErrorCode::InvalidArgument, "expected an object");
    std::vector<std::string> presentKeys;
    TRY(readObject(document, "", presentKeys));
    TRY(checkRequired(presentKeys));
    return checkListenEndpoints();
}

ErrorOr<void> Schema::readFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return makeError(ErrorCode::NotFound, path + ": expected a readable file");
    std::ostringstream content;
    content << file.rdbuf();
    if (const auto error = Base::captureError([&] { return readText(content.str()); }))
        return makeError(error->code, path + ": " + error->detail);
    return {};
}

std::string Schema::reference() const
{
    std::string page = "| Key | Value | Unit | Default | Meaning |\n| --- | --- | --- | --- | --- |\n";
    for (const auto& field : fields_) {
        page += "| `" + field.path + "` | " + field.type + " | " + field.attributes.unit + " | "
            + (field.attributes.required ? std::string("required") : "`" + field.defaultText + "`") + " | "
            + field.attributes.documentation + " |\n";
    }
    return page;
}

}
