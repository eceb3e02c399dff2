#pragma once

#include <LibBase/Ipv4Endpoint.h>
#include <array>
#include <atomic>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace StandIn {

/// One entryd process that this program started, and the fabric's view of its readiness.
class EntryProcess {
public:
    struct Options {
        std::string name;
        std::string zone;
        std::string program;
        /// Holds the settings file and the output.
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
        /// Whether its output goes to a file; else to a pipe that nobody reads.
        bool isOutputRead { true };
    };

    explicit EntryProcess(Options);
    ~EntryProcess();
    EntryProcess(const EntryProcess&) = delete;
    EntryProcess& operator=(const EntryProcess&) = delete;

    void start();
    void signal(int number) const;
    /// Whether the process has ended since the last call; its exit code or minus the signal.
    bool takeExit(int& code);
    pid_t processId() const { return process_; }
    bool isRunning() const { return process_ > 0; }
    /// In rotation: two misses take it out, one answer brings it back.
    bool isInRotation() const { return inRotation_.load(); }
    const Options& options() const { return options_; }

private:
    void writeSettings() const;
    void checkReadiness();

    Options options_;
    pid_t process_ { -1 };
    /// The pipe that nobody reads, or -1.
    std::array<int, 2> unreadOutput_ { -1, -1 };
    std::atomic<bool> inRotation_ { false };
    std::atomic<bool> stopping_ { false };
    std::thread checker_;
};

}
