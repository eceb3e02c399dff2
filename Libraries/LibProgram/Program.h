#pragma once

/// The frame that all daemons share: command line, settings file, signals and exit codes.

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
    /// The program could not start or had to end.
    Failure = 1,
    /// Command line or settings are wrong; nothing was started.
    Usage = 2,
};

/// What one program consists of.
struct Options {
    std::string name;
    std::string version;
    /// One line for --help.
    std::string summary;
    /// Environment variable that names the settings file when the command line does not; empty: none.
    std::string settingsVariable {};
    /// The program's own log events, for --events-reference.
    std::vector<Log::Event> events;
    /// Declares the program's keys; called once, before the settings file is read.
    std::function<void(Settings::Schema&)> declareSettings;
    /// Checks that need more than one key; "key.path: expected ..." as the error's detail. May be empty.
    std::function<Base::ErrorOr<void>()> checkSettings;
    /// Reads the settings file again and applies what may change while the program runs. Empty: SIGHUP turns debug
    /// events on or off instead.
    std::function<Base::ErrorOr<void>(const std::string& file)> reload {};
    /// Runs until a stop is asked for; the process's exit code, or why it could not start.
    std::function<Base::ErrorOr<int>(Signals&)> run;
};

/// The whole of main(): --help, --version, --settings FILE, --check-settings, --settings-reference,
/// --events-reference, then run.
int runMain(int argc, char** argv, const Options&);

/// Prints "LISTENING <name> <address:port>" on standard output, for ports that the kernel chose.
void announceListening(const std::string& name, const Base::Ipv4Endpoint&);

}
