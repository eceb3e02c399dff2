#include <LibSteering/FlowDecision.h>

namespace Steering {

std::string_view toString(FlowDecision::Kind kind)
{
    switch (kind) {
    case FlowDecision::Kind::Placed:
        return "placed";
    case FlowDecision::Kind::Retransmitted:
        return "copied";
    case FlowDecision::Kind::Hedged:
        return "reoffered";
    case FlowDecision::Kind::Opened:
        return "opened";
    case FlowDecision::Kind::Refused:
        return "refused";
    case FlowDecision::Kind::NeverOpened:
        return "never_opened";
    case FlowDecision::Kind::ShortResponse:
        return "short_answer";
    }
    return "unknown";
}

}
