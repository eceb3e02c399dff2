#pragma once

#include "PacketLoad.h"
#include <LibBase/Time.h>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace Measure::PacketPath {

/// One of the compared implementations: receives datagrams at an endpoint and forwards each to a backend server.
class Forwarder {
public:
    virtual ~Forwarder() = default;
    /// Returns the endpoint that receives packets.
    virtual Base::Ipv4Endpoint endpoint() const = 0;
    virtual void start() = 0;
    virtual void stop() = 0;
    /// Returns the number of datagrams forwarded since the start.
    virtual uint64_t forwarded() const = 0;
    /// Returns the processor time used by the forwarder's threads since the start.
    virtual Base::nanoseconds processorTime() const = 0;
};

/// Returns the total processor time used by running threads.
Base::nanoseconds processorTimeOf(const std::vector<std::thread>&);

/// Options common to all forwarders.
struct ForwarderOptions {
    std::size_t threads { 1 };
    /// Endpoints at which the backend servers receive packets.
    std::vector<Base::Ipv4Endpoint> backendServers;
    /// Flows that are established before the measurement starts.
    const PacketLoad* load { nullptr };
    uint64_t seed { 1 };
};

/// Receives and sends in batches without flow decisions: the upper limit for this machine and kernel.
std::unique_ptr<Forwarder> makeBareForwarder(const ForwarderOptions&);

/// Naive baseline: one packet per system call, flows in an unordered map behind one mutex.
std::unique_ptr<Forwarder> makeNaiveBalancer(const ForwarderOptions&);

/// The packet path and the flow decisions of balancerd.
std::unique_ptr<Forwarder> makeOwnBalancer(const ForwarderOptions&);

}
