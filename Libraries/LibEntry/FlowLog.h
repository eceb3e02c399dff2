#pragma once

#include <LibSteering/SteeringDecider.h>

namespace Entry {

/// Writes the log line of one decision about a flow.
void logFlowDecision(const Steering::FlowDecision&);

}
