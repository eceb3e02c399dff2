#pragma once

/// Reads a record encoded as a positional array. Missing trailing fields get their defaults and unknown trailing fields
/// are ignored, so that versions of the program can be mixed during an upgrade.

#include <LibBase/Error.h>
#include <chrono>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Configuration {

/// Reads the fields of a record in order. After a field with a wrong type or range, every read returns its fallback and
/// finish() returns an error.
class RecordReader {
public:
    /// The record must be an array of at least requiredFields elements.
    RecordReader(const nlohmann::json& record, std::size_t requiredFields);

    /// Reads the next field as a number of at most maximum.
    uint64_t number(uint64_t fallback, uint64_t maximum = std::numeric_limits<uint64_t>::max());
    /// Reads the next field as a boolean.
    bool flag(bool fallback);
    /// Reads the next field as a string of at most maximumBytes.
    std::string text(std::size_t maximumBytes);
    /// Reads the next field as an array; empty if it is missing.
    const nlohmann::json& array();
    /// Returns the next field, or nullptr if it is missing or nil.
    const nlohmann::json* optional();
    /// Reads the next field as a number of milliseconds.
    std::chrono::milliseconds milliseconds(std::chrono::milliseconds fallback);
    /// Reads the next field as an enumerator of at most last.
    template <typename Enumeration>
    Enumeration enumerator(Enumeration fallback, Enumeration last)
    {
        return static_cast<Enumeration>(number(static_cast<uint64_t>(fallback), static_cast<uint64_t>(last)));
    }
    /// Marks the record as malformed, for checks made by the caller.
    void markMalformed() { isValid_ = false; }
    /// Whether every field read so far had the right type and range.
    bool isValid() const { return isValid_; }
    /// Fails with Malformed, naming the record, if any read failed.
    Base::ErrorOr<void> finish(const char* recordName) const;

private:
    const nlohmann::json* next();

    const nlohmann::json& record_;
    std::size_t position_ { 0 };
    bool isValid_ { true };
};

}
