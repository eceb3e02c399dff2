#pragma once

#include <LibBase/Ipv4Endpoint.h>
#include <LibBase/Time.h>
#include <LibOperator/OperatorServer.h>
#include <LibSettings/Schema.h>
#include <string>
#include <vector>

namespace OperatorEndpoint {

/// The settings of operatord.
struct EndpointSettings {
    Base::Ipv4Endpoint listen;
    /// By default 127.0.0.1 and a port assigned by the kernel.
    Base::Ipv4Endpoint metricsEndpoint { { 0x7F000001 }, 0 };
    Base::Ipv4Endpoint storeEndpoint;
    Base::milliseconds storeCallDeadline { 1000 };
    Base::milliseconds changeTimeout { 5000 };
    uint32_t maximumQueuedCalls { 256 };
    uint32_t maximumThreads { 64 };
    uint32_t snapshotInterval { 256 };
    uint32_t historyRetention { 100'000 };
    /// With port 0 no balancer is queried.
    Base::Ipv4Endpoint balancerEndpoint;
    std::vector<std::string> balancerKeys;
    Base::milliseconds balancerQueryTimeout { 1000 };
    std::string certificateFile;
    std::string privateKeyFile;
    std::string callerAuthoritiesFile;

    /// Registers the settings keys and binds them to the fields.
    void declare(Settings::Schema&);
    /// Validates combinations of keys. The error detail has the form "key.path: expected ...".
    Base::ErrorOr<void> check() const;
    /// Reads the configured TLS files. Returns ErrorCode::NotFound with the settings key if a file cannot be read.
    Base::ErrorOr<Operator::TlsMaterial> readTls() const;
};

}
