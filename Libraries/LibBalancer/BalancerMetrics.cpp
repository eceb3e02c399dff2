#include <LibBalancer/BalancerMetrics.h>

#include <LibBalancer/Events.h>
#include <LibBalancer/StatusFigures.h>
#include <LibLog/Log.h>

namespace Balancer {

namespace {

    constexpr std::array<std::string_view, Control::messageKindCount> messageKindNames { "membership", "dissemination",
        "anti_entropy", "catch_up", "acknowledgement", "flow_control" };

    uint64_t sumOverWorkers(
        DataPath::DataPath& path, const std::function<uint64_t(const DataPath::WorkerCounters&)>& read)
    {
        uint64_t sum = 0;
        for (const auto& worker : path.workers())
            sum += read(worker->counters());
        return sum;
    }

}

BalancerMetrics::BalancerMetrics(Metrics::Registry& registry, const SharedState& shared, DataPath::DataPath& path)
    : registry_(registry)
    , shared_(shared)
    , path_(path)
{
    addFlowReasons();
    addFlowStatistics();
    addControl();
    addTransport();
    addDataPath();
    addWorkers();
}

void BalancerMetrics::addCounter(
    const std::string& name, const std::string& help, const Metrics::Labels& labels, Read read)
{
    auto& counter = registry_.counter("eelgrasshatch_" + name + "_total", help, labels);
    updates_.emplace_back([&counter, read = std::move(read)] { Metrics::raiseTo(counter, read()); });
}

void BalancerMetrics::addGauge(
    const std::string& name, const std::string& help, const Metrics::Labels& labels, Read read)
{
    auto& gauge = registry_.gauge("eelgrasshatch_" + name, help, labels);
    updates_.emplace_back([&gauge, read = std::move(read)] { gauge.Set(read()); });
}

void BalancerMetrics::addFlowReasons()
{
    const auto add
        = [this]<typename Reason>(Reason, const std::string& name, const std::string& help, const auto& counts) {
              for (std::size_t index = 0; index < counts.size(); ++index) {
                  const std::string reason(toString(static_cast<Reason>(index)));
                  addCounter(name, help, { { "reason", reason } },
                      [&counts, index] { return static_cast<double>(counts[index]); });
              }
          };
    const auto& statistics = flow_.statistics;
    add(Flow::RefusalReason {}, "flows_refused", "Flows refused, by reason.", statistics.refusals);
    add(Flow::DropReason {}, "packets_dropped", "Packets dropped by flow decisions, by reason.", statistics.drops);
    add(Flow::RetryReason {}, "flows_retried", "First packets sent to another backend server, by reason.",
        statistics.retries);
    add(Flow::HandOverReason {}, "packets_handed_over", "Packets handed to other balancers, by reason.",
        statistics.handOvers);
    add(Flow::ControlKind {}, "flow_control_bytes", "Bytes of messages between flow decisions, by kind.",
        statistics.controlBytesSent);
}

void BalancerMetrics::addFlowStatistics()
{
    const auto counter = [this](const std::string& name, const std::string& help, const uint64_t& value) {
        addCounter(name, help, {}, [&value] { return static_cast<double>(value); });
    };
    const auto gauge = [this](const std::string& name, const std::string& help, const uint64_t& value) {
        addGauge(name, help, {}, [&value] { return static_cast<double>(value); });
    };
    const auto& statistics = flow_.statistics;
    counter("flows_admitted", "First packets sent to a backend server.", statistics.flowsAdmitted);
    counter("flows_spilled", "Of these, to another one than the bucket table names.", statistics.flowsSpilled);
    counter("flows_adopted", "Flows recorded from a packet in their middle.", statistics.flowsAdopted);
    counter("flows_given_up", "Flows given up with their backend server or failure domain.", statistics.flowsGivenUp);
    counter("half_open_evicted", "Half-open flows evicted for newer ones.", statistics.halfOpenEvicted);
    counter("peer_messages_refused", "Flow messages of peers that were refused.", statistics.peerMessagesRefused);
    counter("reports_refused", "Reports of the prober that were refused.", statistics.reportsRefused);
    gauge("flows", "Flow records held.", statistics.flowsHeld);
    gauge("flows_half_open", "Of these, not yet answered by their backend server.", statistics.halfOpen);
    gauge("flow_exceptions", "Flows elsewhere than the bucket table says.", statistics.exceptions);
    gauge("flow_exceptions_unprotected", "Of these, not yet copied to another balancer.",
        statistics.unprotectedExceptions);
    gauge("queue_packets", "First packets waiting for room.", statistics.queueLength);
    gauge("flow_bytes", "Bytes of flow records and their index.", statistics.flowBytes);
}

void BalancerMetrics::addControl()
{
    for (std::size_t kind = 0; kind < Control::messageKindCount; ++kind) {
        addCounter("control_bytes_sent", "Bytes of control messages sent, by kind.",
            { { "kind", std::string(messageKindNames[kind]) } },
            [this, kind] { return static_cast<double>(control_.statistics.sentBytes[kind]); });
        addCounter("control_messages_held_back", "Control messages that the byte budget held back, by kind.",
            { { "kind", std::string(messageKindNames[kind]) } },
            [this, kind] { return static_cast<double>(control_.statistics.overBudgetMessages[kind]); });
    }
    addGauge("configuration_revision", "The revision in force here; 0: none, nothing is served.", {},
        [this] { return static_cast<double>(control_.revision.value); });
    addGauge("configuration_evidence_age_seconds", "Since when the configuration in force has not been confirmed.", {},
        [this] { return Base::toSeconds(control_.evidenceAge); });
    addGauge("members", "Entry VMs known.", {}, [this] { return static_cast<double>(control_.members); });
    addGauge("members_reachable", "Entry VMs reachable.", {},
        [this] { return static_cast<double>(control_.reachableMembers); });
    addCounter("store_calls", "Calls to the store.", { { "kind", "read" } },
        [this] { return static_cast<double>(control_.statistics.storeReads); });
    addCounter("store_calls", "Calls to the store.", { { "kind", "write" } },
        [this] { return static_cast<double>(control_.statistics.storeWrites); });
    addCounter("store_timeouts", "Store calls without an answer in time.", {},
        [this] { return static_cast<double>(control_.statistics.storeTimeouts); });
    addCounter("store_calls_refused", "Store calls not started since too many were in flight.", {},
        [this] { return static_cast<double>(control_.storeCallsRefused); });
}

void BalancerMetrics::addTransport()
{
    const auto refused = [this](const std::string& reason, const uint64_t& value) {
        addCounter("peer_frames_refused", "Frames of peers refused or lost, by reason.", { { "reason", reason } },
            [&value] { return static_cast<double>(value); });
    };
    const auto& transport = control_.transport;
    refused("stranger", transport.unauthenticatedFrames);
    refused("replay", transport.replays);
    refused("malformed", transport.malformed);
    refused("too_large", transport.tooLarge);
    refused("queue_full", transport.queueFull);
    refused("connection_lost", transport.connectionsLost);
    refused("too_many_connections", transport.connectionsRefused);
    addCounter("peer_connect_failures", "Failed attempts to connect to a peer.", {},
        [&transport] { return static_cast<double>(transport.connectFailures); });
    addCounter("peer_bytes", "Bytes exchanged with peers.", { { "direction", "sent" } },
        [&transport] { return static_cast<double>(transport.bytesSent); });
    addCounter("peer_bytes", "Bytes exchanged with peers.", { { "direction", "received" } },
        [&transport] { return static_cast<double>(transport.bytesReceived); });
}

void BalancerMetrics::addDataPath()
{
    const auto lost = [this](const std::string& reason, const DataPath::Total& total) {
        addCounter("decide_refused", "Inputs and outputs of the decide thread refused, by reason.",
            { { "reason", reason } }, [&total] { return static_cast<double>(total.value()); });
    };
    const auto& counters = path_.decideThread().counters();
    lost("invalid_token", counters.invalidTokens);
    lost("no_destination", counters.noDestination);
    lost("command_delayed", counters.commandsDelayed);
    lost("message_ring_full", counters.droppedMessages);
    lost("input", counters.rejectedInputs);
    addCounter("data_path_processor_seconds", "Processor time of the packet and decide threads.", {},
        [this] { return Base::toSeconds(path_.processorTime()); });
    addCounter("packets_decided", "Packets decided.", {},
        [&counters] { return static_cast<double>(counters.packets.value()); });
}

void BalancerMetrics::addWorkers()
{
    using Counters = DataPath::WorkerCounters;
    const auto sum = [this](const std::string& name, const std::string& help, const Metrics::Labels& labels,
                         const std::function<uint64_t(const Counters&)>& read) {
        addCounter(name, help, labels, [this, read] { return static_cast<double>(sumOverWorkers(path_, read)); });
    };
    sum("packets_received", "Datagrams received.", {}, [](const Counters& each) { return each.received.value(); });
    sum("packets_sent", "Datagrams sent.", {}, [](const Counters& each) { return each.sent.value(); });
    sum("refusals_sent", "Refusals sent to callers.", {},
        [](const Counters& each) { return each.sentRefusals.value(); });
    const std::string lostHelp = "Datagrams lost in the workers, by reason.";
    sum("packets_lost", lostHelp, { { "reason", "too_large" } },
        [](const Counters& each) { return each.tooLarge.value(); });
    sum("packets_lost", lostHelp, { { "reason", "no_buffer" } },
        [](const Counters& each) { return each.noBuffer.value(); });
    sum("packets_lost", lostHelp, { { "reason", "ring_full" } },
        [](const Counters& each) { return each.ringFull.value(); });
    sum("packets_lost", lostHelp, { { "reason", "send_failed" } },
        [](const Counters& each) { return each.sendFailed.value(); });
    for (std::size_t index = 0; index < Packet::packetErrorCount; ++index) {
        sum("packets_malformed", "Packets that failed a check, by reason.",
            { { "reason", std::string(toString(static_cast<Packet::PacketError>(index))) } },
            [index](const Counters& each) { return each.malformed[index].value(); });
    }
    for (std::size_t index = 0; index < Packet::handOverErrorCount; ++index) {
        sum("hand_overs_refused", "Hand-overs that failed a check, by reason.",
            { { "reason", std::string(toString(static_cast<Packet::HandOverError>(index))) } },
            [index](const Counters& each) { return each.invalidHandOvers[index].value(); });
    }
}

void BalancerMetrics::update()
{
    flow_ = shared_.flow();
    control_ = shared_.control();
    for (const auto& update : updates_)
        update();
    logDroppedPackets();
}

void BalancerMetrics::logDroppedPackets()
{
    const auto noBuffer = sumOverWorkers(path_, [](const auto& each) { return each.noBuffer.value(); });
    const auto ringFull = sumOverWorkers(path_, [](const auto& each) { return each.ringFull.value(); });
    if (noBuffer + ringFull > loggedLosses_) {
        loggedLosses_ = noBuffer + ringFull;
        Log::write(Events::packetsLost, Log::Fields().add("no_buffer", noBuffer).add("ring_full", ringFull));
    }
    const auto messages = control_.transport.unauthenticatedFrames;
    const auto handOvers = sumOverWorkers(path_, [](const auto& each) {
        return each.invalidHandOvers[static_cast<std::size_t>(Packet::HandOverError::BadHash)].value();
    });
    if (messages + handOvers > loggedUnauthenticated_) {
        loggedUnauthenticated_ = messages + handOvers;
        Log::write(
            Events::unauthenticatedMessages, Log::Fields().add("messages", messages).add("hand_overs", handOvers));
    }
}

}
