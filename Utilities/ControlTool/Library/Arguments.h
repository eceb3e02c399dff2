#pragma once

#include <LibBase/Time.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ControlTool {

/// The parsed command line.
struct Arguments {
    /// The command and its operands.
    std::vector<std::string> positionals;
    std::vector<std::string> endpoints;
    std::string author;
    std::string reason;
    std::vector<std::string> overrides;
    /// Newest revision known to the operator; later changes of the object are conflicts.
    std::optional<uint64_t> baseRevision;
    /// If empty, a random id is generated.
    std::string requestId;
    bool json { false };
    Base::milliseconds callTimeout { 10'000 };
    /// Time limit for repeating a change whose outcome is unknown or that no endpoint responds to.
    Base::milliseconds retryTimeout { 20'000 };
    Base::milliseconds waitTimeout { 30'000 };
    uint32_t limit { 0 };
    std::optional<Base::milliseconds> expiresIn;
    std::string authoritiesFile;
    std::string certificateFile;
    std::string privateKeyFile;
    /// Fields of backend servers and failure domains; empty if the option was not given.
    std::optional<std::string> failureDomain;
    std::optional<std::string> region;
    std::optional<std::string> tunnel;
    std::optional<std::string> management;
    std::optional<uint32_t> weight;
    std::optional<uint32_t> slots;
    std::optional<uint32_t> connections;
    std::optional<uint64_t> warmUpMs;

    /// The positional argument at an index, or an empty string.
    std::string positional(std::size_t index) const
    {
        return index < positionals.size() ? positionals[index] : std::string {};
    }
};

}
