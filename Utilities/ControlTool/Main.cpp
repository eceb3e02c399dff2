/// eelctl: the operators' command-line tool.

#include "Library/Commands.h"
#include "Library/Completion.h"
#include "Library/Output.h"
#include <cstdio>
#include <cxxopts.hpp>

namespace {

using ControlTool::Arguments;
using ControlTool::ExitCode;

constexpr const char* commandHelp = R"(Commands:
  service list | get NAME | put FILE | remove NAME
  backend-server list SERVICE
  backend-server add|set|drain|out|activate|remove SERVICE NAME
  backend-server weight SERVICE NAME N
  domain list | put NAME | in NAME | out NAME | remove NAME
  protect PATH | unprotect PATH | protections
  plan FILE                 show what a file would change
  apply FILE                plan, then submit each change
  history [PATH]            changes, newest first
  explain PATH              why each value is in force
  status                    where the newest revision is in force
  wait [REVISION]           until it is in force on all balancers
  completion                bash completion script

Exit codes: 0 accepted or shown; 1 the tool failed; 2 command line or file wrong; 3 conflict; 4 protected;
5 unknown whether accepted; 6 unavailable, nothing changed; 7 not in force in time; 8 value not allowed; 9 not found
)";

cxxopts::Options commandLine()
{
    using Strings = std::vector<std::string>;
    cxxopts::Options options("eelctl", "Changes and shows the configuration of eelgrasshatch");
    options.positional_help("COMMAND [OPERANDS]");
    auto add = options.add_options();
    add("endpoint", "ADDRESS:PORT of an operators' endpoint; repeat for more", cxxopts::value<Strings>());
    add("author", "who makes the change", cxxopts::value<std::string>());
    add("reason", "why", cxxopts::value<std::string>());
    add("override", "protected path that the change overrides; repeat for more", cxxopts::value<Strings>());
    add("base", "newest revision that was seen; later changes of the object are conflicts", cxxopts::value<uint64_t>());
    add("request-id", "repeat the request of an earlier call", cxxopts::value<std::string>());
    add("json", "print replies as JSON");
    add("limit", "history: most changes", cxxopts::value<uint32_t>());
    add("expires-in-s", "protect: seconds until it ends", cxxopts::value<uint32_t>());
    add("timeout-s", "wait: seconds at most", cxxopts::value<uint32_t>()->default_value("30"));
    add("retry-s", "seconds for which a change without certain outcome is repeated",
        cxxopts::value<uint32_t>()->default_value("20"));
    add("call-timeout-s", "seconds that one call to an endpoint may take",
        cxxopts::value<uint32_t>()->default_value("10"));
    add("failure-domain", "of the backend server", cxxopts::value<std::string>());
    add("region", "of the failure domain", cxxopts::value<std::string>());
    add("tunnel", "ADDRESS:PORT for encapsulated packets", cxxopts::value<std::string>());
    add("management", "ADDRESS:PORT for health and load", cxxopts::value<std::string>());
    add("weight", "0 to 1000", cxxopts::value<uint32_t>());
    add("slots", "1 to 65535", cxxopts::value<uint32_t>());
    add("connections", "1 to 1000000", cxxopts::value<uint32_t>());
    add("warm-up-ms", "0 to 3600000", cxxopts::value<uint64_t>());
    add("tls-authorities", "PEM file of the authorities that endpoints are checked against",
        cxxopts::value<std::string>());
    add("tls-certificate", "PEM file of this caller's certificate", cxxopts::value<std::string>());
    add("tls-key", "PEM file of its private key", cxxopts::value<std::string>());
    add("words", "", cxxopts::value<Strings>());
    add("help", "this page");
    add("version", "the version");
    options.parse_positional("words");
    return options;
}

template <typename Value>
void readOption(const cxxopts::ParseResult& parsed, const char* name, Value& target)
{
    if (parsed.count(name) > 0)
        target = parsed[name].as<Value>();
}

template <typename Value>
void readOption(const cxxopts::ParseResult& parsed, const char* name, std::optional<Value>& target)
{
    if (parsed.count(name) > 0)
        target = parsed[name].as<Value>();
}

Arguments parseArguments(const cxxopts::ParseResult& parsed)
{
    Arguments arguments;
    readOption(parsed, "words", arguments.positionals);
    readOption(parsed, "endpoint", arguments.endpoints);
    readOption(parsed, "author", arguments.author);
    readOption(parsed, "reason", arguments.reason);
    readOption(parsed, "override", arguments.overrides);
    readOption(parsed, "base", arguments.baseRevision);
    readOption(parsed, "request-id", arguments.requestId);
    arguments.json = parsed.count("json") > 0;
    readOption(parsed, "limit", arguments.limit);
    if (parsed.count("expires-in-s") > 0)
        arguments.expiresIn = Base::seconds(parsed["expires-in-s"].as<uint32_t>());
    arguments.waitTimeout = Base::seconds(parsed["timeout-s"].as<uint32_t>());
    arguments.retryTimeout = Base::seconds(parsed["retry-s"].as<uint32_t>());
    arguments.callTimeout = Base::seconds(parsed["call-timeout-s"].as<uint32_t>());
    readOption(parsed, "failure-domain", arguments.failureDomain);
    readOption(parsed, "region", arguments.region);
    readOption(parsed, "tunnel", arguments.tunnel);
    readOption(parsed, "management", arguments.management);
    readOption(parsed, "weight", arguments.weight);
    readOption(parsed, "slots", arguments.slots);
    readOption(parsed, "connections", arguments.connections);
    readOption(parsed, "warm-up-ms", arguments.warmUpMs);
    readOption(parsed, "tls-authorities", arguments.authoritiesFile);
    readOption(parsed, "tls-certificate", arguments.certificateFile);
    readOption(parsed, "tls-key", arguments.privateKeyFile);
    return arguments;
}

ExitCode run(int argc, char** argv)
{
    auto options = commandLine();
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        ControlTool::print(options.help() + "\n" + commandHelp);
        return ExitCode::Success;
    }
    if (parsed.count("version") > 0) {
        ControlTool::print(std::string("eelctl ") + EELGRASSHATCH_VERSION + "\n");
        return ExitCode::Success;
    }
    const auto arguments = parseArguments(parsed);
    if (arguments.positional(0) == "completion") {
        ControlTool::print(ControlTool::bashCompletion());
        return ExitCode::Success;
    }
    return ControlTool::runCommand(arguments);
}

}

int main(int argc, char** argv)
{
    try {
        return static_cast<int>(run(argc, argv));
    } catch (const cxxopts::exceptions::exception& exception) {
        ControlTool::printError(exception.what());
        return static_cast<int>(ExitCode::Usage);
    }
}
