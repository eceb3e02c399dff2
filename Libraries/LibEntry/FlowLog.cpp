#include <LibEntry/FlowLog.h>

#include <LibEntry/Events.h>
#include <LibLog/Log.h>

namespace Entry {

namespace {

    const Log::Event& eventFor(Steering::FlowDecision::Kind kind)
    {
        switch (kind) {
        case Steering::FlowDecision::Kind::Placed:
            return Events::flowPlaced;
        case Steering::FlowDecision::Kind::Copied:
        case Steering::FlowDecision::Kind::Reoffered:
            return Events::flowOffered;
        case Steering::FlowDecision::Kind::Opened:
            return Events::flowOpened;
        case Steering::FlowDecision::Kind::Refused:
        case Steering::FlowDecision::Kind::NeverOpened:
            return Events::flowRefused;
        }
        return Events::flowRefused;
    }

}

void logFlowDecision(const Steering::FlowDecision& decision)
{
    const auto& event = eventFor(decision.kind);
    if (event.level == Log::Level::Debug && !Log::isDebugEnabled())
        return;
    Log::Fields fields;
    fields.add("caller", decision.flow.caller.toString())
        .add("service", decision.flow.service.toString())
        .add("sequence", decision.sequence)
        .add("what", Steering::toString(decision.kind));
    if (decision.refusal != Steering::Refusal::None) {
        fields.add("reason", Steering::toString(decision.refusal));
    } else {
        fields.add("server", decision.server.value)
            .add("tier", Steering::toString(decision.tier))
            .add("own_in_progress", decision.ownInProgress)
            .add("peers_in_progress", decision.peersInProgress)
            .add("age_us", decision.age.count());
    }
    fields.add("version", decision.configurationVersion);
    Log::write(event, fields);
}

}
