#pragma once

#include <LibBase/Ipv4Endpoint.h>
#include <LibBase/Time.h>
#include <LibSettings/Schema.h>
#include <string>
#include <vector>

namespace Balancer {

/// The settings of balancerd.
struct BalancerSettings {
    std::string failureDomain;
    std::string region;

    struct Control {
        Base::Ipv4Endpoint endpoint;
        std::vector<Base::Ipv4Endpoint> seeds;
        std::vector<std::string> keys;
        uint32_t bytesPerSecond { 20'000 };
        uint32_t watchersPerDomain { 2 };
    } control;

    struct Data {
        Base::Ipv4Endpoint endpoint;
        Base::Ipv4Endpoint fabric;
        uint16_t threads { 2 };
        uint32_t buffersPerThread { 8192 };
        bool verifyChecksums { true };
    } data;

    struct Store {
        Base::Ipv4Endpoint endpoint;
        Base::milliseconds callDeadline { 2000 };
        Base::milliseconds vmListInterval { 15'000 };
    } store;

    struct Limits {
        uint32_t maximumFlows { 500'000 };
        uint32_t maximumQueued { 1024 };
        uint32_t flowControlBytesPerSecond { 4096 };
    } limits;

    struct Metrics {
        Base::Ipv4Endpoint endpoint { .address = { 0x7F000001 }, .port = 0 };
    } metrics;

    struct Stop {
        Base::milliseconds timeout { 30'000 };
        Base::milliseconds linger { 1000 };
    } stop;
};

/// Declares all settings of balancerd and binds them to the struct.
void declareSettings(Settings::Schema&, BalancerSettings&);

/// Validates settings that depend on each other. The error detail has the form "key.path: expected ...".
Base::ErrorOr<void> checkSettings(const BalancerSettings&);

}
