#pragma once

#include <LibBase/Error.h>
#include <chrono>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace ControlTool {

/// Reads one object of an operator's JSON file into fields; a field whose key is missing keeps its value.
/// After the first error all reads do nothing; finish() returns that error with the path of the key.
class ObjectReader {
public:
    /// path: location of the object in the file, for error messages.
    ObjectReader(const nlohmann::json& object, std::string path);

    void read(const char* key, std::string& target);
    void read(const char* key, bool& target);
    void read(const char* key, uint32_t& target, uint64_t maximum = UINT32_MAX);
    void read(const char* key, uint16_t& target);
    void read(const char* key, std::chrono::milliseconds& target);
    /// Reads a string and passes it to a parser, which returns an empty string or a description of the expected value.
    void readParsed(const char* key, const std::function<std::string(const std::string&)>& parse);
    /// Calls a function for each element of an array with the path of the element. Stops at its first error.
    void readEach(
        const char* key, const std::function<Base::ErrorOr<void>(const nlohmann::json&, const std::string&)>& element);
    bool has(const char* key) const { return object_.is_object() && object_.contains(key); }
    /// Returns ErrorCode::InvalidArgument for the first error, or for a key of the object that was never read.
    Base::ErrorOr<void> finish();

private:
    const nlohmann::json* find(const char* key);
    void setError(const std::string& key, const std::string& expected);

    const nlohmann::json& object_;
    std::string path_;
    std::set<std::string> readKeys_;
    std::string error_;
};

}
