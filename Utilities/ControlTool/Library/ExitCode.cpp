#include "ExitCode.h"

namespace ControlTool {

namespace Wire = eelgrasshatch::operators;

ExitCode exitCodeOf(Wire::Outcome outcome)
{
    switch (outcome) {
    case Wire::ACCEPTED:
        return ExitCode::Success;
    case Wire::CONFLICT:
        return ExitCode::Conflict;
    case Wire::PROTECTED:
        return ExitCode::Protected;
    case Wire::INVALID:
        return ExitCode::Invalid;
    case Wire::NOT_FOUND:
        return ExitCode::NotFound;
    case Wire::UNAVAILABLE:
        return ExitCode::Unavailable;
    default:
        return ExitCode::Unknown;
    }
}

}
