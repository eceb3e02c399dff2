#pragma once

#include <LibBase/Ipv4Endpoint.h>
#include <LibBase/Time.h>
#include <LibSettings/Schema.h>
#include <string>
#include <vector>

namespace Prober {

/// The settings of proberd.
struct ProberSettings {
    struct Balancer {
        Base::Ipv4Endpoint endpoint;
        std::vector<std::string> keys;
        Base::milliseconds timeout { 1000 };
    } balancer;

    struct Probe {
        Base::milliseconds interval { 500 };
        Base::milliseconds timeout { 1000 };
        uint16_t maximumConcurrent { 64 };
        Base::milliseconds reportInterval { 100 };
    } probe;

    struct Metrics {
        Base::Ipv4Endpoint endpoint { .address = { 0x7F000001 }, .port = 0 };
    } metrics;
};

/// Declares all settings of proberd and binds them to the struct.
void declareSettings(Settings::Schema&, ProberSettings&);

}
