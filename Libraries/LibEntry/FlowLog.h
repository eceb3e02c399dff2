#pragma once

#include <LibSteering/SteeringDecider.h>

namespace Entry {

/// Writes the log line of one decision about a flow.
void logFlowDecision(const Steering::FlowDecision&);

/// Writes the log line of a packet that holds the head of a request.
void logRequest(std::string_view requestId, const Steering::PacketView&, const Steering::Verdict&, uint64_t revision);

}
