#pragma once

/// Dry run of operations against a snapshot.

#include <LibConfiguration/Difference.h>
#include <LibConfiguration/Process/AcceptorTypes.h>
#include <string>
#include <vector>

namespace Operator {

/// The predicted result of one operation.
struct PlannedOperation {
    std::string path;
    /// The base revision with which to submit the operation; valid until another change modifies the object.
    Base::Revision baseRevision;
    std::vector<Configuration::Difference> differences;
    /// The outcome that submitting the operation now would have.
    Configuration::Outcome outcome { Configuration::Outcome::Accepted };
    std::string detail;
};

/// The author and reason of a plan, and the protected paths that it may override.
struct PlanAttribution {
    std::string author;
    std::string reason;
    std::vector<std::string> overrides;
};

/// Plans operations in order; each is applied to the state left by the preceding ones.
std::vector<PlannedOperation> plan(const Configuration::Snapshot&, Base::WallTime now,
    const std::vector<Configuration::Operation>&, const PlanAttribution&);

}
