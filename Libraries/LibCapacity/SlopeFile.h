#pragma once

#include <LibCapacity/Expression.h>

namespace Capacity {

/// Parses lines of the form "FIGURE <name> <value> <unit>" into variables; empty lines and lines that start with '#'
/// are ignored. Returns ErrorCode::Malformed for any other line, with the line in the detail.
Base::ErrorOr<Variables> parseSlopes(std::string_view text);

}
