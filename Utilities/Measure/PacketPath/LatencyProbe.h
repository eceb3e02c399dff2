#pragma once

#include "Forwarder.h"
#include "Sockets.h"
#include <LibBase/Time.h>

namespace Measure::PacketPath {

/// Latency of packets through a forwarder.
struct Latency {
    Base::nanoseconds median { 0 };
    Base::nanoseconds percentile99 { 0 };
    uint64_t received { 0 };
};

/// Sends packets at a constant rate for the given duration and measures the latency of each from the sender through
/// the forwarder to the backend servers' sockets.
Latency measureLatency(Forwarder&, const PacketLoad&, const std::vector<LoopbackSocket>& backendServers,
    double packetsPerSecond, Base::milliseconds duration);

}
