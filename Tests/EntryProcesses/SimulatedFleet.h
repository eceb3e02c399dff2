#pragma once

#include <LibFleet/Deployment.h>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

/// Runs entryd processes on the stand-in platform with simulated callers, and shell commands of docs/OPERATIONS.md on
/// their logs.
class SimulatedFleet {
public:
    explicit SimulatedFleet(StandIn::Deployment::Options options)
        : folder_(makeFolder())
        , deployment_(loop_, withProgramAndFolder(std::move(options), folder_))
    {
        deployment_.invariants().markAllDisturbed(loop_.now());
        runFor(Base::milliseconds(2500));
    }

    ~SimulatedFleet() { std::filesystem::remove_all(folder_); }
    SimulatedFleet(const SimulatedFleet&) = delete;
    SimulatedFleet& operator=(const SimulatedFleet&) = delete;

    void runFor(Base::milliseconds time)
    {
        loop_.after(time, [this] { loop_.stop(); });
        loop_.run();
    }

    /// Runs until the condition holds or the time has passed. Returns whether it holds. The simulated network is paused
    /// while the condition is checked.
    bool runUntil(Base::milliseconds atMost, const std::function<bool()>& condition,
        Base::milliseconds step = Base::milliseconds(100))
    {
        for (Base::milliseconds passed { 0 }; passed < atMost && !condition(); passed += step)
            runFor(step);
        return condition();
    }

    StandIn::Deployment& deployment() { return deployment_; }
    StandIn::InvariantChecker& invariants() { return deployment_.invariants(); }

    /// Returns the output of a shell command. all.log contains the log lines of all entry VMs; flow ADDRESS prints
    /// those of a caller.
    std::string shell(const std::string& command) const
    {
        std::ofstream(folder_ + "/command.sh")
            << "cd " << folder_ << "\ncat entry-*.log > all.log\n"
            << "flow() { grep -h \"\\\"caller\\\":\\\"$1\\\"\" all.log | jq -c 'del(.time,.program,.level)'; }\n"
            << command << "\n";
        std::string output;
        FILE* pipe = ::popen(("bash " + folder_ + "/command.sh 2>&1").c_str(), "r");
        if (pipe == nullptr)
            return {};
        std::array<char, 4096> buffer {};
        for (std::size_t count = 0; (count = std::fread(buffer.data(), 1, buffer.size(), pipe)) > 0;)
            output.append(buffer.data(), count);
        ::pclose(pipe);
        return output;
    }

private:
    static std::string makeFolder()
    {
        std::string folder = (std::filesystem::temp_directory_path() / "eelgrasshatch-test-XXXXXX").string();
        return ::mkdtemp(folder.data()) != nullptr ? folder : std::string();
    }

    static StandIn::Deployment::Options withProgramAndFolder(
        StandIn::Deployment::Options options, const std::string& folder)
    {
        options.program = ENTRYD;
        options.folder = folder;
        return options;
    }

    std::string folder_;
    StandIn::EventLoop loop_;
    StandIn::Deployment deployment_;
};
