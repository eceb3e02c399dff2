#include "EndpointSettings.h"
#include <fstream>
#include <sstream>

namespace OperatorEndpoint {

using Base::ErrorCode;
using Base::ErrorOr;
using Base::makeError;

namespace {

    constexpr uint64_t maximumPathLength = 4096;

    ErrorOr<std::string> readFile(const std::string& key, const std::string& path)
    {
        if (path.empty())
            return std::string {};
        std::ifstream file(path);
        std::ostringstream content;
        content << file.rdbuf();
        if (!file || content.str().empty())
            return makeError(ErrorCode::NotFound, key + ": expected a readable PEM file, got '" + path + "'");
        return content.str();
    }

}

void EndpointSettings::declare(Settings::Schema& schema)
{
    schema.addEndpoint("listen", listen,
        { .documentation = "Where operators call, by gRPC. Port 0: the kernel chooses, and the program prints it.",
            .required = true,
            .listens = true });
    schema.addEndpoint("metrics.endpoint", metricsEndpoint,
        { .documentation = "HTTP address of the metrics (/metrics).", .listens = true });
    schema.addEndpoint("store.endpoint", storeEndpoint, { .documentation = "The platform's store.", .required = true });
    schema.addMilliseconds("store.call_deadline_ms", storeCallDeadline, { .minimum = 10, .maximum = 60'000 },
        { .documentation = "How long one call to the store may take." });
    schema.addMilliseconds("limits.patience_ms", changeTimeout, { .minimum = 100, .maximum = 60'000 },
        { .documentation
            = "How long one change is tried before its caller is told that it is unavailable or unknown." });
    schema.addInteger("limits.maximum_waiting", maximumQueuedCalls, { .minimum = 1, .maximum = 10'000 },
        { .documentation = "Calls that may wait; more are refused.", .unit = "calls" });
    schema.addInteger("limits.maximum_threads", maximumThreads, { .minimum = 4, .maximum = 1000 },
        { .documentation = "Threads that carry out calls.", .unit = "threads" });
    schema.addInteger("snapshots.interval", snapshotInterval, { .minimum = 1, .maximum = 100'000 },
        { .documentation = "Changes between two snapshots of the configuration in the store.", .unit = "changes" });
    schema.addInteger("snapshots.history_retention", historyRetention, { .minimum = 1000 },
        { .documentation = "Changes that stay readable as history.", .unit = "changes" });
    schema.addEndpoint("balancer.endpoint", balancerEndpoint,
        { .documentation = "The control endpoint of the balancer that is asked where a revision is in force." });
    schema.addTextList("balancer.keys", balancerKeys, { .minimum = 0, .maximum = 2 }, { .minimum = 16, .maximum = 256 },
        { .documentation = "The balancers' peer keys, as in their settings." });
    schema.addMilliseconds("balancer.timeout_ms", balancerQueryTimeout, { .minimum = 10, .maximum = 60'000 },
        { .documentation = "How long the balancer may take to answer." });
    const Settings::Range pathRange { .minimum = 1, .maximum = maximumPathLength };
    schema.addText("tls.certificate_file", certificateFile, pathRange,
        { .documentation = "PEM file of the endpoint's certificate chain. Without it calls are not encrypted." });
    schema.addText("tls.private_key_file", privateKeyFile, pathRange,
        { .documentation = "PEM file of the certificate's private key." });
    schema.addText("tls.caller_authorities_file", callerAuthoritiesFile, pathRange,
        { .documentation = "PEM file of the authorities whose certificates callers must show (mutual TLS)." });
}

ErrorOr<void> EndpointSettings::check() const
{
    if (certificateFile.empty() != privateKeyFile.empty())
        return makeError(
            ErrorCode::InvalidArgument, "tls.private_key_file: expected together with tls.certificate_file");
    if (certificateFile.empty() && !callerAuthoritiesFile.empty())
        return makeError(ErrorCode::InvalidArgument, "tls.certificate_file: expected with tls.caller_authorities_file");
    if (balancerEndpoint.port != 0 && balancerKeys.empty())
        return makeError(ErrorCode::InvalidArgument, "balancer.keys: expected with balancer.endpoint");
    return {};
}

ErrorOr<Operator::TlsMaterial> EndpointSettings::readTls() const
{
    TRY_ASSIGN(certificate, readFile("tls.certificate_file", certificateFile));
    TRY_ASSIGN(privateKey, readFile("tls.private_key_file", privateKeyFile));
    TRY_ASSIGN(callerAuthorities, readFile("tls.caller_authorities_file", callerAuthoritiesFile));
    return Operator::TlsMaterial { std::move(certificate), std::move(privateKey), std::move(callerAuthorities) };
}

}
