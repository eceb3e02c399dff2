#pragma once

#include <LibControl/ControlNode.h>
#include <LibFlow/Process/FlowStatistics.h>
#include <map>
#include <string>
#include <string_view>

namespace Balancer {

/// Returns the stable lower-case name of a kind of evidence, as in logs and status responses.
std::string_view toText(Control::Evidence);

/// Returns the statistics of the flow decisions by name, for status responses: "flows", "refused.no_room",
/// "dropped.no_flow".
std::map<std::string, uint64_t> flowStatisticsByName(const Flow::FlowStatistics&);

}
