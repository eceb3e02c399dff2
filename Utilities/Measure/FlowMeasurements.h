#pragma once

#include "Measurement.h"

namespace Measure {

/// Drain, weight change, scale-out, and a balancer that leaves and joins: no established flow may break.
Measurement continuity();
/// Crash of one balancer of four and its restart without flow state.
Measurement balancerLoss();
/// Distribution of load over backend servers relative to their weights in steady state.
Measurement imbalance();
/// Share of requests answered in time, per port class, while a failure domain is taken out of service and returned.
Measurement domainMove();
/// Load on new backend servers and on backend servers restarted without notice.
Measurement coldStart();
/// Share of requests answered in time, per port class, under a load above capacity.
Measurement overload();
/// Connection attempts at backend servers per flow while the servers shed load and slow down.
Measurement retryStorm();
/// Network partition between one failure domain and the others.
Measurement partition();
/// Reuse of five-tuples immediately after their flow ended.
Measurement flowReuse();
/// Rolling replacement of all balancers, one at a time.
Measurement rollingReplacement();
/// Control traffic at the flow rates that the users specify.
Measurement controlBytes();

/// Returns the measurements of flow decisions, in the order of "measure list".
std::vector<Measurement> flowMeasurements();

}
