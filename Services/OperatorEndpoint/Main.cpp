/// operatord: the operators' gRPC endpoint on an entry VM.

#include "EndpointMetrics.h"
#include "EndpointSettings.h"
#include <LibMetrics/ServedRegistry.h>
#include <LibOperator/Events.h>
#include <LibPeer/QueryClient.h>
#include <LibProgram/Program.h>
#include <random>

namespace {

using OperatorEndpoint::EndpointMetrics;
using OperatorEndpoint::EndpointSettings;

constexpr Base::milliseconds signalPollInterval { 200 };

Base::ErrorOr<Peer::NodeStatus> queryBalancer(const EndpointSettings& settings)
{
    TRY_ASSIGN(client,
        Peer::QueryClient::create({ .endpoint = settings.balancerEndpoint,
            .keys = settings.balancerKeys,
            .timeout = settings.balancerQueryTimeout }));
    TRY_ASSIGN(payload, client.sendRequest(Peer::Channel::Query, {}));
    return Peer::decodeNodeStatus(payload);
}

Operator::OperatorServer::Options serverOptions(const EndpointSettings& settings, EndpointMetrics& metrics)
{
    Operator::OperatorServer::Options options { .listen = settings.listen };
    options.maximumThreads = static_cast<int>(settings.maximumThreads);
    options.acceptor.store = settings.storeEndpoint;
    options.acceptor.storeCallDeadline = settings.storeCallDeadline;
    options.acceptor.queueCapacity = settings.maximumQueuedCalls;
    options.acceptor.acceptor.maximumQueuedCalls = settings.maximumQueuedCalls;
    options.acceptor.acceptor.operatorCallTimeout = settings.changeTimeout;
    options.acceptor.acceptor.snapshots.interval = settings.snapshotInterval;
    options.acceptor.acceptor.snapshots.retention = settings.historyRetention;
    options.acceptor.acceptor.seed = std::random_device {}();
    options.acceptor.onStatistics
        = [&metrics](const auto& statistics, auto revision) { metrics.update(statistics, revision); };
    options.service.onChangeCompleted = [&metrics](auto duration) { metrics.observeSubmitDuration(duration); };
    if (settings.balancerEndpoint.port != 0)
        options.service.queryBalancer = [&settings] { return queryBalancer(settings); };
    return options;
}

Base::ErrorOr<int> run(const EndpointSettings& settings, Program::Signals& signals)
{
    Metrics::ServedRegistry registry;
    EndpointMetrics metrics(registry);
    TRY_ASSIGN(metricsEndpoint, registry.serve(settings.metricsEndpoint));
    Program::announceListening("metrics", metricsEndpoint);
    auto options = serverOptions(settings, metrics);
    TRY_ASSIGN(tls, settings.readTls());
    options.tls = std::move(tls);
    TRY_ASSIGN(server, Operator::OperatorServer::create(options));
    Program::announceListening("operator", server->endpoint());
    while (!signals.waitForStop(signalPollInterval)) { }
    return Program::Success;
}

}

int main(int argc, char** argv)
{
    EndpointSettings settings;
    return Program::runMain(argc, argv,
        { .name = "operatord",
            .version = EELGRASSHATCH_VERSION,
            .summary = "The operators' endpoint: accepts changes of the configuration through the platform's store",
            .events = { Operator::Events::all.begin(), Operator::Events::all.end() },
            .declareSettings = [&](Settings::Schema& schema) { settings.declare(schema); },
            .checkSettings = [&] { return settings.check(); },
            .run = [&](Program::Signals& signals) { return run(settings, signals); } });
}
