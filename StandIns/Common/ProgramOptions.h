#pragma once

#include <cxxopts.hpp>
#include <functional>
#include <string>

namespace StandIn {

/// Runs a stand-in program: adds --help, parses the command line and calls body with the result. Exits with 2 after a
/// usage error and with 1 after any other exception, with one line on standard error.
int runProgram(
    int argc, char** argv, cxxopts::Options options, const std::function<int(const cxxopts::ParseResult&)>& body);

/// Prints "LISTENING name endpoint" and flushes, for scripts that wait for a port chosen by the kernel.
void announceListening(const std::string& name, const std::string& endpoint);

/// Writes a file atomically: writes to a temporary name and then renames it.
void writeFile(const std::string& path, const std::string& text);

}
