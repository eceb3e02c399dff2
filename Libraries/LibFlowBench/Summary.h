#pragma once

#include <LibFlowBench/Bench.h>
#include <string>

namespace FlowBench {

/// Formats the counts of a run in one line, for messages of failed tests and for traces.
std::string summarize(const Counts&);

/// Returns the names of the violated invariants, separated by spaces; empty if all hold. These invariants hold under
/// every disturbance, except that `mayOverRamp` allows more load than the warm-up permits: balancers cannot detect the
/// silent restart of a backend server at once.
std::string brokenInvariants(const Counts&, bool mayOverRamp);

}
