#pragma once

/// Configuration files of operators: JSON with comments that describes services and failure domains.

#include <LibBase/Error.h>
#include <LibConfiguration/Change.h>
#include <Operator.pb.h>
#include <string>
#include <string_view>
#include <vector>

namespace ControlTool {

/// The operations that apply a file to the current configuration. A field missing from the file keeps its value;
/// backend servers and port classes missing from a service's list are removed; objects missing from the file are
/// unchanged. Returns ErrorCode::InvalidArgument with the path of the key that is wrong.
Base::ErrorOr<std::vector<Configuration::Operation>> operationsFromFile(
    std::string_view fileText, const eelgrasshatch::operators::Configuration& current);

}
