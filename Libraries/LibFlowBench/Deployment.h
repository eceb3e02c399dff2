#pragma once

#include <LibBase/Time.h>
#include <LibConfiguration/Snapshot.h>
#include <cstdint>
#include <string>
#include <vector>

namespace FlowBench {

/// Load that the callers of one port class generate.
struct ClassLoad {
    std::string service;
    std::string portClass;
    /// New flows per second at load factor 1, over all balancers.
    double flowsPerSecond { 100 };
    /// Mean number of requests of a short flow; the number is uniformly distributed between 1 and twice the mean.
    uint32_t meanRequests { 2 };
    /// Mean time between a response and the next request.
    Base::milliseconds thinkTime { 50 };
    /// Fraction of flows that stay open until the end of the run.
    double longLivedShare { 0.05 };
    /// Mean time between a response and the next request of a long-lived flow.
    Base::milliseconds longThinkTime { 3000 };
    /// Mean time that a warm backend server needs for one request.
    Base::milliseconds serviceTime { 20 };
};

/// A customer's deployment: configuration, placement of the balancers, one-way network delays and load.
struct Deployment {
    std::string name;
    Configuration::Snapshot snapshot;
    std::vector<std::string> failureDomains;
    /// The failure domain of each balancer, as an index into failureDomains.
    std::vector<std::size_t> balancerDomains { 0, 1, 2, 0 };
    Base::microseconds withinDomain { 100 };
    Base::microseconds betweenDomains { 500 };
    Base::microseconds toCallers { 3000 };
    std::vector<ClassLoad> loads;
};

/// Midshires: service rota (claims have priority over views) on 14 backend servers and sheets on 4, in the failure
/// domains brum, notts and leic.
Deployment midshires();

/// Kiprono: service shim-desk (wobble logs have priority over shim charts) on 14 backend servers and guide-vault on 4,
/// in the failure domains nyeri-a, nyeri-b and nyeri-c.
Deployment kiprono();

/// Adds a backend server with default limits and the next free identifier to a service of a snapshot.
Configuration::BackendServer& addBackendServer(
    Configuration::Snapshot&, const std::string& service, const std::string& failureDomain);

}
