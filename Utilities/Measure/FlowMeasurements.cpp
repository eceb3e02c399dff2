#include "FlowMeasurements.h"

namespace Measure {

std::vector<Measurement> flowMeasurements()
{
    return { continuity(), balancerLoss(), imbalance(), domainMove(), coldStart(), overload(), retryStorm(),
        partition(), flowReuse(), rollingReplacement(), controlBytes() };
}

}
