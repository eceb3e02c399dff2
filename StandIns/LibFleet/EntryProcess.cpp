#include <LibFleet/EntryProcess.h>

#include <LibBase/Verify.h>
#include <LibHttp/HttpClient.h>
#include <array>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sys/wait.h>
#include <unistd.h>

namespace StandIn {

namespace {

    constexpr Base::milliseconds readinessCheckInterval { 500 };
    constexpr Base::milliseconds readinessCheckTimeout { 400 };
    constexpr int failedChecksThreshold = 2;
    constexpr uint32_t httpStatusOk = 200;

}

EntryProcess::EntryProcess(Options options)
    : options_(std::move(options))
    , readinessChecker_([this] { pollReadiness(); })
{
    writeSettings();
    if (!options_.isOutputRead)
        VERIFY(::pipe2(unreadOutputPipe_.data(), O_CLOEXEC) == 0);
}

EntryProcess::~EntryProcess()
{
    stopping_.store(true);
    if (process_ > 0) {
        ::kill(process_, SIGCONT);
        ::kill(process_, SIGKILL);
        ::waitpid(process_, nullptr, 0);
    }
    readinessChecker_.join();
    for (const int descriptor : unreadOutputPipe_) {
        if (descriptor >= 0)
            ::close(descriptor);
    }
}

void EntryProcess::writeSettings() const
{
    nlohmann::json seeds = nlohmann::json::array();
    for (const auto& seed : options_.seeds)
        seeds.push_back(seed.toString());
    const nlohmann::json settings { { "name", options_.name }, { "failure_domain", options_.zone },
        { "regions", options_.regions },
        { "control",
            { { "endpoint", options_.control.toString() }, { "advertised", options_.advertised.toString() },
                { "seeds", seeds }, { "keys", { "a-key-for-tests-only" } } } },
        { "data", { { "endpoint", options_.data.toString() } } },
        { "reports",
            { { "endpoint", options_.reports.toString() }, { "advertised", options_.advertisedReports.toString() } } },
        { "readiness", { { "endpoint", options_.readiness.toString() } } },
        { "metrics", { { "endpoint", options_.metrics.toString() } } },
        { "store", { { "endpoint", options_.store.toString() } } },
        { "warm_up", { { "overshoot", 1.5 }, { "slack", 5 } } } };
    std::ofstream(options_.folder + "/" + options_.name + ".json") << settings.dump(4);
}

void EntryProcess::start()
{
    const auto settings = options_.folder + "/" + options_.name + ".json";
    const auto output = options_.folder + "/" + options_.name + ".log";
    process_ = ::fork();
    if (process_ != 0)
        return;
    const int file
        = options_.isOutputRead ? ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644) : unreadOutputPipe_[1];
    ::dup2(file, STDOUT_FILENO);
    ::dup2(file, STDERR_FILENO);
    sigset_t none;
    sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
    ::execl(options_.program.c_str(), options_.program.c_str(), "--settings", settings.c_str(), nullptr);
    ::_exit(127);
}

void EntryProcess::signal(int number) const
{
    if (process_ > 0)
        ::kill(process_, number);
}

bool EntryProcess::reapIfExited(int& code)
{
    int status = 0;
    if (process_ <= 0 || ::waitpid(process_, &status, WNOHANG) != process_)
        return false;
    process_ = -1;
    code = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    return true;
}

void EntryProcess::pollReadiness()
{
    Http::HttpClient client({ .server = options_.readiness, .connectTimeout = readinessCheckTimeout });
    int consecutiveFailures = failedChecksThreshold;
    while (!stopping_.load()) {
        const auto response = Base::capture(
            [&] { return client.call({ .target = "/eelgrasshatch/readiness" }, readinessCheckTimeout); });
        consecutiveFailures = response.isOk() && response.value->status == httpStatusOk ? 0 : consecutiveFailures + 1;
        inRotation_.store(consecutiveFailures < failedChecksThreshold);
        std::this_thread::sleep_for(readinessCheckInterval);
    }
}

}
