#include <LibEntry/FlowLog.h>

#include <LibEntry/Events.h>
#include <LibLog/Log.h>
#include <cmath>

namespace Entry {

namespace {

    const Log::Event& eventFor(Steering::FlowDecision::Kind kind)
    {
        switch (kind) {
        case Steering::FlowDecision::Kind::Placed:
            return Events::flowPlaced;
        case Steering::FlowDecision::Kind::Retransmitted:
        case Steering::FlowDecision::Kind::Hedged:
            return Events::flowAttemptedAgain;
        case Steering::FlowDecision::Kind::Opened:
            return Events::flowOpenedLate;
        case Steering::FlowDecision::Kind::Refused:
            return Events::flowRefused;
        case Steering::FlowDecision::Kind::NeverOpened:
            return Events::flowNeverOpened;
        case Steering::FlowDecision::Kind::ShortResponse:
            return Events::responseShort;
        }
        return Events::flowRefused;
    }

}

void logFlowDecision(const Steering::FlowDecision& decision)
{
    Log::Fields fields;
    fields.add("caller", decision.flow.caller.toString())
        .add("service", decision.flow.service.toString())
        .add("sequence", decision.sequence)
        .add("what", Steering::toString(decision.kind));
    if (decision.refusal != Steering::Refusal::None) {
        fields.add("reason", Steering::toString(decision.refusal));
        if (decision.refusal == Steering::Refusal::NoRoom) {
            fields.add("priority", decision.priority)
                .add("places", decision.room.places)
                .add("in_progress", decision.room.inFlight)
                .add("unserved", decision.room.unserved)
                .add("room_age_ms", decision.roomAge.count())
                .add("age_us", decision.age.count());
        }
    } else if (decision.kind == Steering::FlowDecision::Kind::ShortResponse) {
        fields.add("server", decision.server.toString())
            .add("answer_bytes", decision.responseBytes)
            .add("usual_bytes", decision.usualResponseBytes)
            .add("held_ms", decision.backOffTime.count())
            .add("age_us", decision.age.count());
    } else {
        fields.add("server", decision.server.toString())
            .add("tier", Steering::toString(decision.tier))
            .add("own_in_progress", decision.ownInFlight)
            .add("peers_in_progress", decision.peersInFlight)
            .add("service_time_percent", std::lround(decision.relativeServiceTime * 100))
            .add("age_us", decision.age.count());
        if (decision.diversion != Steering::ShareDiversion::None) {
            fields.add("share_asked", decision.serviceAsked)
                .add("share_given", decision.serviceGiven)
                .add("diverted", Steering::toString(decision.diversion));
        }
    }
    fields.add("version", decision.configurationVersion);
    Log::write(eventFor(decision.kind), fields);
}

void logContestedServer(const Steering::BackendServerEntry& entry, const Steering::BackendServerEntry& inUse)
{
    Log::write(Events::serverContested,
        Log::Fields()
            .add("server", entry.number.toString())
            .add("id", entry.id)
            .add("service", entry.service)
            .add("address", entry.address.toString())
            .add("id_in_use", inUse.id)
            .add("service_in_use", inUse.service)
            .add("address_in_use", inUse.address.toString()));
}

void logRequest(
    std::string_view requestId, const Steering::PacketView& packet, const Steering::Verdict& verdict, uint64_t revision)
{
    const bool isForwarded = verdict.kind == Steering::VerdictKind::Forward;
    Log::Fields fields;
    fields.add("request", requestId)
        .add("caller", packet.flow.caller.toString())
        .add("service", packet.flow.service.toString())
        .add("outcome", isForwarded ? "forwarded" : "dropped")
        .add("reason", Steering::toString(verdict.refusal))
        .add("server", verdict.number.toString())
        .add("address", verdict.server.toString())
        .add("token", packet.token.value)
        .add("revision", revision);
    Log::write(Events::requestSeen, fields);
}

}
