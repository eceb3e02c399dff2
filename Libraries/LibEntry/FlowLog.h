#pragma once

#include <LibSteering/SteeringDecider.h>

namespace Entry {

/// Logs one decision about a flow.
void logFlowDecision(const Steering::FlowDecision&);

/// Logs a packet that contains a request header. revision: the store revision in use.
void logRequest(std::string_view requestId, const Steering::PacketView&, const Steering::Verdict&, uint64_t revision);

}
