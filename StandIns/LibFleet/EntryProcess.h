#pragma once

#include <LibBase/Ipv4Endpoint.h>
#include <array>
#include <atomic>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace StandIn {

/// A child process running entryd, with readiness checks like those of the fabric.
class EntryProcess {
public:
    struct Options {
        std::string name;
        std::string zone;
        std::string program;
        /// Directory of the settings file and of the output.
        std::string folder;
        Base::Ipv4Endpoint data;
        Base::Ipv4Endpoint store;
        std::vector<Base::Ipv4Endpoint> seeds;
        Base::Ipv4Endpoint control;
        Base::Ipv4Endpoint advertised;
        Base::Ipv4Endpoint reports;
        Base::Ipv4Endpoint advertisedReports;
        Base::Ipv4Endpoint readiness;
        Base::Ipv4Endpoint metrics;
        std::vector<std::string> regions;
        /// Whether the output goes to a file; otherwise it goes to a pipe that is never read.
        bool isOutputRead { true };
    };

    explicit EntryProcess(Options);
    ~EntryProcess();
    EntryProcess(const EntryProcess&) = delete;
    EntryProcess& operator=(const EntryProcess&) = delete;

    void start();
    void signal(int number) const;
    /// Returns true once after the process has ended; code is then the exit code, or the negated signal number.
    bool reapIfExited(int& code);
    pid_t processId() const { return process_; }
    bool isRunning() const { return process_ > 0; }
    /// Whether the fabric sends packets to it: two consecutive failed readiness checks take it out of rotation, one
    /// successful check brings it back.
    bool isInRotation() const { return inRotation_.load(); }
    const Options& options() const { return options_; }

private:
    void writeSettings() const;
    void pollReadiness();

    Options options_;
    pid_t process_ { -1 };
    /// The pipe for output that is never read; -1 if the output goes to a file.
    std::array<int, 2> unreadOutputPipe_ { -1, -1 };
    std::atomic<bool> inRotation_ { false };
    std::atomic<bool> stopping_ { false };
    std::thread readinessChecker_;
};

}
