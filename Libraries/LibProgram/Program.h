#pragma once

/// The startup code common to all daemons: command line, settings file, signals and exit codes.

#include <LibBase/Error.h>
#include <LibLog/Event.h>
#include <LibProgram/Signals.h>
#include <LibSettings/Schema.h>
#include <functional>
#include <string>
#include <vector>

namespace Program {

/// The process's exit codes.
enum ExitCode : int {
    Success = 0,
    /// The program could not start or had to exit.
    Failure = 1,
    /// The command line or the settings are invalid; nothing was started.
    Usage = 2,
};

/// Describes one program.
struct Options {
    std::string name;
    std::string version;
    /// One line for --help.
    std::string summary;
    /// Environment variable with the settings file's path, used if the command line has none. Empty means no variable.
    std::string settingsVariable {};
    /// The program's own log events, for --events-reference.
    std::vector<Log::Event> events;
    /// Declares the program's settings keys. Called once, before the settings file is read.
    std::function<void(Settings::Schema&)> declareSettings;
    /// Checks that involve several keys; the detail of an error is "key.path: expected ...". May be empty.
    std::function<Base::ErrorOr<void>()> checkSettings;
    /// Called on SIGHUP: reads the settings file again and applies what may change while the program runs. If empty,
    /// SIGHUP toggles debug events instead.
    std::function<Base::ErrorOr<void>(const std::string& file)> reload {};
    /// Runs until a stop is requested. Returns the exit code, or an error if the program could not start.
    std::function<Base::ErrorOr<int>(Signals&)> run;
};

/// Implements main(): handles --help, --version, --settings FILE, --check-settings, --settings-reference and
/// --events-reference, then calls Options::run.
int runMain(int argc, char** argv, const Options&);

/// Prints "LISTENING <name> <address:port>" on standard output, so that ports chosen by the kernel are known.
void announceListening(const std::string& name, const Base::Ipv4Endpoint&);

}
