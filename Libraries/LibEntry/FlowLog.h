#pragma once

#include <LibSteering/SteeringDecider.h>

namespace Entry {

/// Logs one decision about a flow.
void logFlowDecision(const Steering::FlowDecision&);

/// Logs an entry that was not put to use, since another one describes the server with its number.
void logContestedServer(const Steering::BackendServerEntry&, const Steering::BackendServerEntry& inUse);

/// Logs a packet that contains a request header. revision: the store revision in use.
void logRequest(std::string_view requestId, const Steering::PacketView&, const Steering::Verdict&, uint64_t revision);

}
