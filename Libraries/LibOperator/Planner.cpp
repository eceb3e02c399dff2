#include <LibOperator/Planner.h>
#include <algorithm>

namespace Operator {

using namespace Configuration;
using Base::ErrorCode;

namespace {

    Outcome outcomeForError(const Base::Error& error)
    {
        switch (error.code) {
        case ErrorCode::Conflict:
            return Outcome::Conflict;
        case ErrorCode::Protected:
            return Outcome::Protected;
        case ErrorCode::NotFound:
            return Outcome::NotFound;
        default:
            return Outcome::Invalid;
        }
    }

    /// A plan may be requested without author and reason, but applying a change requires both.
    std::string valueOrPlaceholder(const std::string& text) { return text.empty() ? "plan" : text; }

}

std::vector<PlannedOperation> plan(const Snapshot& snapshot, Base::WallTime now,
    const std::vector<Configuration::Operation>& operations, const PlanAttribution& attribution)
{
    auto plannedState = snapshot;
    std::vector<PlannedOperation> planned;
    for (const auto& operation : operations) {
        const auto path = objectPath(operation);
        PlannedOperation entry { .path = path,
            .baseRevision = currentRevision(snapshot, path),
            .differences = differences(plannedState, operation) };
        const Change change { .revision = { plannedState.revision.value + 1 },
            .requestId = "plan",
            .author = valueOrPlaceholder(attribution.author),
            .reason = valueOrPlaceholder(attribution.reason),
            .acceptedAt = std::max(now, plannedState.acceptedAt),
            .base = currentRevision(plannedState, path),
            .overrides = attribution.overrides,
            .operation = operation };
        if (const auto error = Base::captureError([&] { return applyTo(plannedState, change); })) {
            entry.outcome = outcomeForError(*error);
            entry.detail = error->detail;
        }
        planned.push_back(std::move(entry));
    }
    return planned;
}

}
