#include <LibProgram/Program.h>

#include <LibLog/Catalogue.h>
#include <LibLog/Log.h>
#include <LibLog/ProgramEvents.h>
#include <cstdio>
#include <cstdlib>
#include <cxxopts.hpp>
#include <exception>
#include <unistd.h>

namespace Program {

namespace {

    constexpr Base::milliseconds flushTimeout { 500 };

    cxxopts::Options commandLine(const Options& options)
    {
        cxxopts::Options arguments(options.name, options.summary);
        arguments.add_options()(
            "settings", "settings file (JSON with comments)", cxxopts::value<std::string>(), "FILE");
        arguments.add_options()("check-settings", "check the settings file and exit: 0 if it is valid, 2 if not");
        arguments.add_options()("settings-reference", "print a Markdown table of all settings");
        arguments.add_options()("events-reference", "print a Markdown table of the program's own log events");
        arguments.add_options()("frame-events-reference", "print a Markdown table of the log events of all daemons");
        arguments.add_options()("help", "this page")("version", "the version");
        return arguments;
    }

    int reportUsageError(const Options& options, const std::string& message)
    {
        std::fprintf(stderr, "%s: %s\n", options.name.c_str(), message.c_str());
        return Usage;
    }

    void reload(const Options& options, const std::string& file)
    {
        if (const auto error = Base::captureError([&] { return options.reload(file); }))
            Log::write(Log::ProgramEvents::reloadFailed, Log::Fields().add("error", error->detail));
    }

    int runDaemon(const Options& options, const std::string& file)
    {
        Log::initialize(options.name);
        // Must precede the printing thread, which inherits the blocked signals and so does not receive them.
        Signals signals;
        Log::startPrintThread();
        if (options.reload)
            signals.setReload([&] { reload(options, file); });
        Log::write(Log::ProgramEvents::started, Log::Fields().add("version", options.version));
        const auto exitCode = Base::capture([&] { return options.run(signals); });
        if (!exitCode.isOk()) {
            Log::write(Log::ProgramEvents::startFailed, Log::Fields().add("error", exitCode.error.detail));
            return Failure;
        }
        Log::write(Log::ProgramEvents::stopped, Log::Fields().add("code", *exitCode.value));
        return *exitCode.value;
    }

    std::string settingsFile(const Options& options, const cxxopts::ParseResult& arguments)
    {
        if (arguments.count("settings") > 0)
            return arguments["settings"].as<std::string>();
        const char* fromEnvironment
            = options.settingsVariable.empty() ? nullptr : std::getenv(options.settingsVariable.c_str());
        return fromEnvironment != nullptr ? fromEnvironment : "";
    }

    int runWithArguments(const Options& options, const cxxopts::ParseResult& arguments, Settings::Schema& schema)
    {
        const auto file = settingsFile(options, arguments);
        if (file.empty())
            return reportUsageError(options, "expected --settings FILE; --help shows all options");
        if (const auto error = Base::captureError([&] { return schema.readFile(file); }))
            return reportUsageError(options, error->detail);
        if (options.checkSettings) {
            if (const auto error = Base::captureError(options.checkSettings))
                return reportUsageError(options, file + ": " + error->detail);
        }
        if (arguments.count("check-settings") > 0) {
            std::printf("%s: valid\n", file.c_str());
            return Success;
        }
        const int exitCode = runDaemon(options, file);
        // Lines that standard output does not accept must not keep the process from exiting.
        if (!Log::flush(flushTimeout))
            ::_exit(exitCode);
        return exitCode;
    }

    int runChecked(int argc, char** argv, const Options& options)
    {
        auto specification = commandLine(options);
        const auto arguments = specification.parse(argc, argv);
        if (!arguments.unmatched().empty())
            return reportUsageError(options, "unexpected argument '" + arguments.unmatched().front() + "'");
        if (arguments.count("help") > 0) {
            std::printf("%s\n", specification.help().c_str());
            return Success;
        }
        if (arguments.count("version") > 0) {
            std::printf("%s %s\n", options.name.c_str(), options.version.c_str());
            return Success;
        }
        if (arguments.count("events-reference") > 0) {
            std::printf("%s", Log::catalogueTable(options.events).c_str());
            return Success;
        }
        if (arguments.count("frame-events-reference") > 0) {
            std::printf("%s", Log::catalogueTable(Log::ProgramEvents::all).c_str());
            return Success;
        }
        Settings::Schema schema;
        options.declareSettings(schema);
        if (arguments.count("settings-reference") > 0) {
            std::printf("%s", schema.reference().c_str());
            return Success;
        }
        return runWithArguments(options, arguments, schema);
    }

}

int runMain(int argc, char** argv, const Options& options)
{
    Signals::block();
    try {
        return runChecked(argc, argv, options);
    } catch (const cxxopts::exceptions::exception& exception) {
        return reportUsageError(options, exception.what());
    } catch (const std::exception& exception) {
        std::fprintf(stderr, "%s: %s\n", options.name.c_str(), exception.what());
        return Failure;
    }
}

void announceListening(const std::string& name, const Base::Ipv4Endpoint& endpoint)
{
    std::printf("LISTENING %s %s\n", name.c_str(), endpoint.toString().c_str());
    std::fflush(stdout);
}

}
