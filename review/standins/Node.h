#pragma once

// A machine of the system: the process that the deploy file names, its settings made from the deploy file's template,
// and the platform's readiness checks of it.

#include "World.h"
#include <filesystem>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace Review {

class Node {
public:
    struct Options {
        std::string name;
        std::string zone;
        uint32_t address { 0 };
        Endpoint store;
        std::string folder;
    };

    Node(World& world, Options options)
        : world_(world)
        , options_(std::move(options))
        , control_(findFreePort({ options_.address }))
    {
        do
            metrics_ = findFreePort({ options_.address });
        while (metrics_ == control_);
        do
            ready_ = findFreePort({ options_.address });
        while (ready_ == control_ || ready_ == metrics_);
        writeSettings();
        start();
        world_.loop.every(Ms(500), [this] { checkReadiness(); });
    }
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;
    ~Node() { kill(); }

    const Options& options() const { return options_; }
    Endpoint data() const { return { .address = options_.address, .port = world_.dataPort }; }
    bool isInRotation() const { return isInRotation_; }
    pid_t process() const { return process_; }

    void start()
    {
        const auto settings = options_.folder + "/" + options_.name + ".json";
        const auto log = options_.folder + "/" + options_.name + ".log";
        process_ = ::fork();
        if (process_ != 0)
            return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        ::dup2(file, STDOUT_FILENO);
        ::dup2(file, STDERR_FILENO);
        ::setenv("EELGRASSHATCH_BOOT", settings.c_str(), 1);
        ::execl("target/bin/entryd", "target/bin/entryd", nullptr);
        ::_exit(127);
    }

    /// Sends SIGTERM, SIGKILL after the grace time, and starts the process again a moment after it has ended.
    void restartGracefully()
    {
        world_.write("machine " + options_.name + " gets SIGTERM");
        ::kill(process_, SIGTERM);
        waitForEnd(0);
    }

    void kill()
    {
        if (process_ <= 0)
            return;
        ::kill(process_, SIGKILL);
        ::waitpid(process_, nullptr, 0);
        process_ = -1;
    }

private:
    void writeSettings() const
    {
        std::ifstream file("deploy/settings.json");
        std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
        const std::vector<std::pair<std::string, std::string>> values { { "{{node_name}}", options_.name },
            { "{{zone}}", options_.zone },
            { R"({{#zones}}"{{@}}={{.}}"{{,}}{{/zones}})", R"("brum=midlands","notts=midlands","leic=midlands")" },
            { "{{internal_port_range.0}}", std::to_string(control_) },
            { "{{internal_port_range.1}}", std::to_string(metrics_) }, { "{{listen.data_addr}}", data().text() },
            { "{{listen.ready}}", Endpoint { options_.address, ready_ }.text() },
            { "{{ip}}", Endpoint { options_.address, 0 }.host() }, { "{{platform.address}}", options_.store.text() },
            { "{{bounds.flow_lifetime_s}}", "60" }, { "{{limits.link_mbps}}", "1000.0" },
            { "{{bounds.warmup_overshoot}}", "1.5" }, { "{{bounds.warmup_slack}}", "5" },
            { "{{bounds.grace_s}}", "6" } };
        for (const auto& [name, value] : values) {
            for (auto found = text.find(name); found != std::string::npos; found = text.find(name))
                text.replace(found, name.size(), value);
        }
        std::ofstream(options_.folder + "/" + options_.name + ".json") << text;
    }

    void waitForEnd(int checks)
    {
        constexpr Ms interval { 100 };
        constexpr int graceChecks = 60;
        if (::waitpid(process_, nullptr, WNOHANG) == process_) {
            world_.write("machine " + options_.name + " has ended its process");
            process_ = -1;
            world_.loop.after(Ms(300), [this] {
                world_.write("machine " + options_.name + " starts again");
                start();
            });
            return;
        }
        if (checks == graceChecks)
            ::kill(process_, SIGKILL);
        world_.loop.after(interval, [this, checks] { waitForEnd(checks + 1); });
    }

    void checkReadiness()
    {
        finishCheck(false);
        socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const auto native = Endpoint { options_.address, ready_ }.native();
        ::connect(socket_, reinterpret_cast<const sockaddr*>(&native), sizeof(native));
        world_.loop.watchWritable(socket_, [this] {
            const std::string request = "GET /eelgrasshatch/readiness HTTP/1.1\r\nHost: node\r\n\r\n";
            ::send(socket_, request.data(), request.size(), MSG_NOSIGNAL);
            world_.loop.watch(socket_, [this] {
                std::string answer(512, '\0');
                const auto count = ::recv(socket_, answer.data(), answer.size(), 0);
                finishCheck(count > 0 && answer.starts_with("HTTP/1.1 200"));
            });
        });
    }

    void finishCheck(bool isReady)
    {
        if (socket_ < 0)
            return;
        world_.loop.unwatch(socket_);
        ::close(socket_);
        socket_ = -1;
        misses_ = isReady ? 0 : misses_ + 1;
        const bool isInRotation = misses_ == 0 || (isInRotation_ && misses_ < 2);
        if (isInRotation != isInRotation_)
            world_.write("machine " + options_.name + (isInRotation ? " is in rotation" : " is out of rotation"));
        isInRotation_ = isInRotation;
    }

    World& world_;
    Options options_;
    uint16_t control_;
    uint16_t metrics_ { 0 };
    uint16_t ready_ { 0 };
    pid_t process_ { -1 };
    int socket_ { -1 };
    int misses_ { 0 };
    bool isInRotation_ { false };
};

}
