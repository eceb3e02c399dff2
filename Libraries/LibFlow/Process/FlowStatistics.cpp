#include <LibBase/Verify.h>
#include <LibFlow/Process/FlowStatistics.h>

namespace Flow {

std::string_view toString(ControlKind kind)
{
    switch (kind) {
    case ControlKind::LimitClaim:
        return "limit_claim";
    case ControlKind::LimitGrant:
        return "limit_grant";
    case ControlKind::Holding:
        return "holding";
    case ControlKind::LoadDigest:
        return "load_digest";
    case ControlKind::Exceptions:
        return "exceptions";
    case ControlKind::Leaving:
        return "leaving";
    }
    VERIFY_NOT_REACHED();
}

}
