#include <LibProgram/Program.h>
#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <string>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace {

/// A process that checks a settings file with the signals as the system sets them for a new process.
[[noreturn]] void checkSettings(std::string file)
{
    sigset_t none;
    sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
    std::signal(SIGHUP, SIG_DFL);
    std::string name = "example";
    std::string check = "--check-settings";
    std::string settings = "--settings";
    std::array<char*, 5> arguments { name.data(), check.data(), settings.data(), file.data(), nullptr };
    ::_exit(Program::runMain(4, arguments.data(),
        { .name = name,
            .version = "1",
            .summary = "Example.",
            .events = {},
            .declareSettings = [](Settings::Schema&) {},
            .checkSettings = {},
            .run = [](Program::Signals&) -> Base::ErrorOr<int> { return 0; } }));
}

}

TEST_CASE("a SIGHUP while the settings are read does not end the process")
{
    const auto folder = std::filesystem::temp_directory_path() / ("program-" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder);
    const auto pipe = folder / "settings";
    REQUIRE(::mkfifo(pipe.c_str(), S_IRUSR | S_IWUSR) == 0);
    const pid_t child = ::fork();
    REQUIRE(child >= 0);
    if (child == 0)
        checkSettings(pipe.string());
    // Returns once the process has opened the file, and waits for its content.
    const int file = ::open(pipe.c_str(), O_WRONLY | O_CLOEXEC);
    REQUIRE(file >= 0);
    REQUIRE(::kill(child, SIGHUP) == 0);
    std::signal(SIGPIPE, SIG_IGN);
    [[maybe_unused]] const auto written = ::write(file, "{}", 2);
    ::close(file);
    int status = 0;
    REQUIRE(::waitpid(child, &status, 0) == child);
    std::filesystem::remove_all(folder);
    CHECK_FALSE(WIFSIGNALED(status));
    CHECK(WEXITSTATUS(status) == Program::Success);
}
