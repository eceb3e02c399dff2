#pragma once

#include <Operator.pb.h>

namespace ControlTool {

/// Exit codes of eelctl.
enum class ExitCode : int {
    /// The change was accepted, or the requested information was printed.
    Success = 0,
    /// The tool itself failed, for example on an unreadable key file.
    Failure = 1,
    /// The command line or the file is wrong; nothing was sent.
    Usage = 2,
    /// Another change modified the object after the base revision.
    Conflict = 3,
    /// A protection forbids the change.
    Protected = 4,
    /// It is not known whether the change was accepted.
    Unknown = 5,
    /// No endpoint was reachable, or the endpoint could not reach the store; nothing was changed.
    Unavailable = 6,
    /// The revision was not in force on all balancers within the timeout.
    NotInForce = 7,
    /// A value is not allowed.
    Invalid = 8,
    /// The object does not exist.
    NotFound = 9,
};

/// The exit code for the outcome of a change.
ExitCode exitCodeOf(eelgrasshatch::operators::Outcome);

}
