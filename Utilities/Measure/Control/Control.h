#pragma once

#include "../Measurement.h"

namespace Measure {

/// Time from acceptance of a change until it is in force, at several fleet sizes with ongoing failures, and control
/// bytes by message kind.
int runConfigPropagation(const Request&, Report&);

/// Compares algorithms that disseminate one change by messages, time and members missed.
int runDissemination(const Request&, Report&);

/// Calls to the store in the steady state, during a mass restart and when it recovers from an outage.
int runStoreCalls(const Request&, Report&);

/// Failure detection: detection time, false removals under message loss and pauses, and traffic in bytes.
int runMembership(const Request&, Report&);

/// Time and bytes until a new node has the whole configuration, at the target size.
int runNewcomer(const Request&, Report&);

/// Store outage of one hour with node restarts during the outage.
int runOutage(const Request&, Report&);

}
