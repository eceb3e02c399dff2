#pragma once

/// Implementation of the eelctl commands.

#include "Arguments.h"
#include "Client.h"
#include "ExitCode.h"
#include <LibConfiguration/Change.h>
#include <string>

namespace ControlTool {

/// Runs the command named by the first positional argument. Returns ExitCode::Usage for an unknown command.
ExitCode runCommand(const Arguments&);

/// Command handlers; each prints its result and errors.
ExitCode runServiceCommand(Client&, const Arguments&);
ExitCode runBackendServerCommand(Client&, const Arguments&);
ExitCode runDomainCommand(Client&, const Arguments&);
ExitCode runProtectionCommand(Client&, const Arguments&);
ExitCode runFileCommand(Client&, const Arguments&);
ExitCode runReadCommand(Client&, const Arguments&);
/// Waits until a revision is in force on all balancers.
ExitCode runWaitCommand(Client&, const Arguments&);

/// Submits one operation with the given base revision and prints the outcome.
ExitCode submitOperation(
    Client&, const Arguments&, const Configuration::Operation&, uint64_t base, const std::string& requestId);
/// As above, with the base revision taken from the configuration or a plan. Fails with a conflict if it is newer than
/// --base.
ExitCode submitOperation(Client&, const Arguments&, const Configuration::Operation&, const Wire::Configuration&);

/// Prints that an object was changed after --base, with author, time and reason. Always returns ExitCode::Conflict.
ExitCode reportConflict(Client&, const Arguments&, const std::string& path, uint64_t changedAt);

/// The request id from the command line, or a random one.
std::string requestIdOrRandom(const Arguments&);
/// Prints an error and returns the matching exit code.
ExitCode reportError(const Base::Error&);
/// Prints the expected usage of a command. Always returns ExitCode::Usage.
ExitCode reportUsageError(const std::string& expected);

}
