#include <LibEntry/EntryMetrics.h>

#include <LibLog/Log.h>

namespace Entry {

using Metrics::raiseTo;

namespace {

    std::vector<double> handshakeBuckets()
    {
        std::vector<double> bounds;
        bounds.reserve(Steering::handshakeBounds.size());
        for (const auto bound : Steering::handshakeBounds)
            bounds.push_back(Base::toSeconds(bound));
        return bounds;
    }

}

EntryMetrics::EntryMetrics()
    : handshakes_(registry_.histogram("eelgrasshatch_handshake_seconds",
        "Time from a flow's first packet to its completed handshake.", handshakeBuckets()))
    , forwarded_(registry_.counter("eelgrasshatch_packets_forwarded_total", "Packets sent to backend servers."))
    , firstPackets_(registry_.counter("eelgrasshatch_first_packets_total", "Flows that callers asked for."))
    , firstPacketCopies_(
          registry_.counter("eelgrasshatch_first_packet_copies_total", "Repeated first packets of callers."))
    , hedgedAttempts_(registry_.counter(
          "eelgrasshatch_reoffers_total", "First packets offered to a further backend server before the caller asked."))
    , hedgesDenied_(registry_.counter("eelgrasshatch_hedges_denied_total",
          "Hedged attempts not made, since the server that was attempted first responded to others."))
    , admittedWhileShort_(registry_.counter(
          "eelgrasshatch_admitted_while_short_total", "First packets that got a place while room was short."))
    , waitedForRoom_(registry_.counter("eelgrasshatch_waited_for_room_total", "First packets that waited for a place."))
    , opened_(registry_.counter("eelgrasshatch_flows_opened_total", "Flows whose handshake was completed."))
    , neverOpened_(registry_.counter("eelgrasshatch_flows_never_opened_total", "Flows without a completed handshake."))
    , resets_(registry_.counter("eelgrasshatch_resets_total", "Resets sent to callers."))
    , shortResponses_(registry_.counter("eelgrasshatch_short_answers_total",
          "Answers that look like failures by their length and hold their backend server back."))
    , probes_(registry_.counter(
          "eelgrasshatch_probes_total", "TCP connections opened to backend servers that stopped responding."))
    , failedProbes_(registry_.counter("eelgrasshatch_probes_failed_total", "Probes that the host did not answer."))
    , probesSkipped_(
          registry_.counter("eelgrasshatch_probes_skipped_total", "Probes not made since too many were waiting."))
    , malformed_(registry_.counter("eelgrasshatch_packets_malformed_total", "Datagrams that are no packet."))
    , discarded_(registry_.counter(
          "eelgrasshatch_packets_discarded_total", "Packets that waited while the process did not run."))
    , sendFailures_(registry_.counter("eelgrasshatch_send_failures_total", "Datagrams the kernel did not take."))
    , reportsSent_(registry_.counter("eelgrasshatch_load_reports_sent_total", "Load reports to peers."))
    , reportsIgnored_(registry_.counter("eelgrasshatch_load_reports_ignored_total",
          "Load reports of strangers, malformed or overtaken by a newer one."))
    , recordsRefused_(
          registry_.counter("eelgrasshatch_records_refused_total", "Records of the store that could not be read."))
    , batchesIgnored_(registry_.counter("eelgrasshatch_batches_ignored_total",
          "Batches of records that were not applied, as they end before the known position or start after it."))
    , logLinesDropped_(registry_.counter(
          "eelgrasshatch_log_lines_dropped_total", "Log lines left out because of an event's limit or a full queue."))
    , reportsReceived_(registry_.counter("eelgrasshatch_load_reports_received_total", "Load reports of peers."))
    , shortServices_(registry_.gauge("eelgrasshatch_services_short", "Services whose room is short."))
    , places_(registry_.gauge("eelgrasshatch_places", "Requests that the usable backend servers are meant to hold."))
    , placesTaken_(registry_.gauge(
          "eelgrasshatch_places_taken", "Requests in flight at these servers, from all entry VMs heard of."))
    , waiting_(registry_.gauge("eelgrasshatch_first_packets_waiting", "First packets that wait for a place."))
    , flows_(registry_.gauge("eelgrasshatch_flows", "Flows whose progress is followed."))
    , servers_(registry_.gauge("eelgrasshatch_backend_servers", "Backend servers known, departed ones included."))
    , contestingEntries_(registry_.gauge("eelgrasshatch_contesting_entries",
          "Backend servers' entries that are not in use, since another entry has the same number."))
    , peers_(registry_.gauge("eelgrasshatch_peers", "Other entry VMs known."))
    , revision_(registry_.gauge("eelgrasshatch_store_revision", "Revision of the store that is held."))
    , storeEra_(registry_.gauge(
          "eelgrasshatch_store_era", "Era of the records that are held; rises when the store comes back from a copy."))
    , storeReachable_(registry_.gauge("eelgrasshatch_store_reachable", "1 while the store answers."))
    , ready_(registry_.gauge("eelgrasshatch_ready", "1 while callers may be sent here."))
    , configurationVersion_(
          registry_.gauge("eelgrasshatch_configuration_version", "The operators' version that is in force here."))
{
    for (std::size_t index = 0; index < refused_.size(); ++index) {
        const auto reason = static_cast<Steering::Refusal>(index);
        refused_[index] = &registry_.counter("eelgrasshatch_packets_refused_total",
            "Packets that were not forwarded, by reason.", { { "reason", std::string(toString(reason)) } });
    }
    for (std::size_t index = 0; index < chosen_.size(); ++index) {
        const auto tier = static_cast<Steering::ChoiceTier>(index);
        chosen_[index] = &registry_.counter("eelgrasshatch_choices_total",
            "Backend servers chosen for first packets, by how good the choice was.",
            { { "tier", std::string(toString(tier)) } });
    }
    for (std::size_t index = 0; index < noRoom_.size(); ++index) {
        noRoom_[index] = &registry_.counter("eelgrasshatch_no_room_total",
            "First packets rejected for want of room, by the priority of their route (3: 3 and above).",
            { { "priority", std::to_string(index) } });
    }
    for (std::size_t index = 0; index < shareDiversions_.size(); ++index) {
        const auto diversion = static_cast<Steering::ShareDiversion>(index);
        shareDiversions_[index] = &registry_.counter("eelgrasshatch_share_diversions_total",
            "Backend servers chosen, by why they are of another service than the flow's share.",
            { { "reason", std::string(toString(diversion)) } });
    }
    for (std::size_t call = 0; call < storeCallCount; ++call) {
        for (std::size_t outcome = 0; outcome < Platform::storeOutcomeCount; ++outcome) {
            storeCalls_[call][outcome] = &registry_.counter("eelgrasshatch_store_calls_total", "Calls to the store.",
                { { "call", std::string(toString(static_cast<StoreCall>(call))) },
                    { "outcome", std::string(toString(static_cast<Platform::StoreOutcome>(outcome))) } });
        }
    }
}

void EntryMetrics::update(const PacketStatistics& statistics, const StoreCounters& store, const StateFeed& feed)
{
    const auto& steering = statistics.steering;
    std::vector<double> increments;
    increments.reserve(steering.handshakes.size());
    for (std::size_t bucket = 0; bucket < steering.handshakes.size(); ++bucket)
        increments.push_back(static_cast<double>(steering.handshakes[bucket] - lastSteering_.handshakes[bucket]));
    handshakes_.ObserveMultiple(increments, Base::toSeconds(steering.handshakeSum - lastSteering_.handshakeSum));
    lastSteering_ = steering;
    raiseTo(forwarded_, static_cast<double>(steering.forwarded));
    raiseTo(firstPackets_, static_cast<double>(steering.firstPackets));
    raiseTo(firstPacketCopies_, static_cast<double>(steering.retransmissions));
    raiseTo(hedgedAttempts_, static_cast<double>(steering.hedgedAttempts));
    raiseTo(hedgesDenied_, static_cast<double>(steering.hedgesDenied));
    raiseTo(admittedWhileShort_, static_cast<double>(steering.admittedWhileShort));
    raiseTo(waitedForRoom_, static_cast<double>(steering.waitedForRoom));
    raiseTo(opened_, static_cast<double>(steering.opened));
    raiseTo(neverOpened_, static_cast<double>(steering.neverOpened));
    raiseTo(resets_, static_cast<double>(steering.resets));
    raiseTo(shortResponses_, static_cast<double>(steering.shortResponses));
    raiseTo(probes_, static_cast<double>(statistics.probes));
    raiseTo(failedProbes_, static_cast<double>(steering.failedProbes));
    raiseTo(probesSkipped_, static_cast<double>(statistics.probesSkipped));
    raiseTo(malformed_, static_cast<double>(statistics.malformed));
    raiseTo(discarded_, static_cast<double>(statistics.discarded));
    raiseTo(sendFailures_, static_cast<double>(statistics.sendFailures));
    raiseTo(reportsSent_, static_cast<double>(statistics.reportsSent));
    raiseTo(reportsIgnored_, static_cast<double>(statistics.reportsIgnored));
    raiseTo(recordsRefused_, static_cast<double>(feed.refusedRecords()));
    raiseTo(batchesIgnored_, static_cast<double>(feed.ignoredBatches()));
    for (std::size_t index = 0; index < refused_.size(); ++index)
        raiseTo(*refused_[index], static_cast<double>(steering.refused[index]));
    for (std::size_t index = 0; index < chosen_.size(); ++index)
        raiseTo(*chosen_[index], static_cast<double>(steering.chosen[index]));
    for (std::size_t index = 0; index < shareDiversions_.size(); ++index)
        raiseTo(*shareDiversions_[index], static_cast<double>(steering.shareDiversions[index]));
    for (std::size_t call = 0; call < storeCallCount; ++call) {
        for (std::size_t outcome = 0; outcome < Platform::storeOutcomeCount; ++outcome) {
            const auto total = store.total(static_cast<StoreCall>(call), static_cast<Platform::StoreOutcome>(outcome));
            raiseTo(*storeCalls_[call][outcome], static_cast<double>(total));
        }
    }
    raiseTo(logLinesDropped_, static_cast<double>(Log::droppedLines()));
    raiseTo(reportsReceived_, static_cast<double>(statistics.reportsReceived));
    for (std::size_t index = 0; index < noRoom_.size(); ++index)
        raiseTo(*noRoom_[index], static_cast<double>(steering.noRoomByPriority[index]));
    shortServices_.Set(static_cast<double>(statistics.shortServices));
    places_.Set(statistics.room.places);
    placesTaken_.Set(statistics.room.inFlight);
    waiting_.Set(static_cast<double>(statistics.waiting));
    ready_.Set(statistics.isReady ? 1 : 0);
    configurationVersion_.Set(static_cast<double>(statistics.configurationVersion));
    flows_.Set(static_cast<double>(statistics.flows));
    servers_.Set(static_cast<double>(statistics.servers));
    contestingEntries_.Set(static_cast<double>(statistics.contestingEntries));
    peers_.Set(static_cast<double>(statistics.peers));
    const auto position = feed.position();
    revision_.Set(static_cast<double>(position.revision));
    storeEra_.Set(static_cast<double>(position.era));
    storeReachable_.Set(feed.isStoreReachable() ? 1 : 0);
}

}
