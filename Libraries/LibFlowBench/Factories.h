#pragma once

#include <LibFlowBench/BalancerHost.h>

namespace FlowBench {

/// Returns a factory of NaiveDecider.
DeciderFactory naiveFactory();
/// Returns a factory of ReferenceDecider whose deciders share one table; call it once for each bench.
DeciderFactory referenceFactory();

}
