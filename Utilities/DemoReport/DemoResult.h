#pragma once

#include "DemoInputs.h"

namespace DemoReport {

/// Number of established flows that did not finish, by cause.
struct BrokenFlows {
    uint64_t planned { 0 };
    uint64_t domainOut { 0 };
    uint64_t balancerLoss { 0 };
};

/// The outcome of one port class of one service.
struct ClassResult {
    std::string service;
    std::string portClass;
    uint64_t opened { 0 };
    uint64_t finished { 0 };
    BrokenFlows broken;
    uint64_t refused { 0 };
    uint64_t notEstablished { 0 };
    uint64_t falseRefusals { 0 };
    uint64_t requests { 0 };
    uint64_t answered { 0 };
    uint64_t late { 0 };
    uint64_t corrupt { 0 };
    double latencyMedianMilliseconds { 0 };
    double latency99thMilliseconds { 0 };
    /// Smallest fraction of requests answered in time in one second, from the removal of a failure domain to five
    /// seconds after its return; empty without requests in that period.
    std::optional<double> worstSecondAnswered;
};

/// The outcome of one service, over all of its backend servers.
struct ServiceResult {
    std::string service;
    unsigned peakSlots { 0 };
    unsigned slotLimit { 0 };
    unsigned peakConnections { 0 };
    unsigned connectionLimit { 0 };
    /// Highest number of flows on one backend server divided by the mean, over the servers that no event of the demo
    /// concerned.
    double imbalance { 0 };
    uint64_t shed { 0 };
};

/// The outcome of the whole demo.
struct DemoResult {
    std::vector<ClassResult> classes;
    std::vector<ServiceResult> services;
    uint64_t doubled { 0 };
    uint64_t wrongService { 0 };
    std::map<std::string, double> counters;

    /// Returns one line for each violated invariant.
    std::vector<std::string> brokenInvariants() const;
};

/// Computes the result from the reports of callers and backend servers, the events and the counters.
DemoResult evaluate(const DemoInputs&);

}
