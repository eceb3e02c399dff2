#pragma once

#include "../Measurement.h"

namespace Measure::PacketPath {

/// "packet-path": compares throughput and latency of the packet path with a forwarder without flow decisions and with
/// a naive balancer, in one run on loopback. The figures are wall-clock measurements and differ from run to run.
Measurement packetPathMeasurement();

}
