#include <LibLog/Log.h>

#include <LibLog/LineLimit.h>
#include <LibLog/LineQueue.h>
#include <LibLog/ProgramEvents.h>
#include <array>
#include <atomic>
#include <ctime>
#include <easylogging++.h>
#include <iostream>
#include <thread>

INITIALIZE_EASYLOGGINGPP

namespace Log {

namespace {

    /// About 2 MB at 250 bytes a line.
    constexpr std::size_t queueCapacity = 8192;
    /// Lines are printed in batches: each wake-up and each system call costs processor time.
    constexpr Base::milliseconds gatherTime { 50 };
    constexpr Base::milliseconds longestWait { 1000 };

    /// The process's log. Never destroyed, since its thread may still print while the process ends.
    struct State {
        std::string program { "unknown" };
        std::atomic<bool> isDebugEnabled { false };
        std::atomic<bool> isPrinting { false };
        std::atomic<uint64_t> dropped { 0 };
        LineLimit limit;
        LineQueue queue { queueCapacity };
    };

    State& state()
    {
        static auto* state = new State;
        return *state;
    }

    std::string timeText()
    {
        const auto now = std::chrono::system_clock::now();
        const auto seconds = std::chrono::system_clock::to_time_t(now);
        const auto whole = std::chrono::duration_cast<Base::milliseconds>(now.time_since_epoch()).count();
        std::tm parts {};
        ::gmtime_r(&seconds, &parts);
        std::array<char, 40> text {};
        const auto length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
        const auto fraction = std::to_string(1000 + whole % 1000);
        return std::string(text.data(), length).append(".").append(fraction, 1).append("Z");
    }

    std::string lineFor(const Event& event, const Fields& fields)
    {
        std::string line = "{\"time\":\"" + timeText() + "\",\"program\":\"" + state().program + "\",";
        return line.append(format(event, fields)).append("}");
    }

    void print(const std::string& line) { LOG(INFO) << line; }

    void reportDropped()
    {
        auto& log = state();
        const auto overflow = log.queue.takeDropped();
        if (overflow > 0) {
            log.dropped += overflow;
            print(lineFor(ProgramEvents::linesDropped, Fields().add("reason", "queue_full").add("lines", overflow)));
        }
        for (const auto& [number, lines] : log.limit.takeSuppressed()) {
            log.dropped += lines;
            print(lineFor(ProgramEvents::linesDropped,
                Fields().add("reason", "limit").add("of_event", number).add("lines", lines)));
        }
    }

    void printForever()
    {
        auto& log = state();
        auto nextReport = std::chrono::steady_clock::now();
        for (;;) {
            const auto lines = log.queue.takeAll(longestWait);
            for (const auto& line : lines)
                print(line);
            const auto now = std::chrono::steady_clock::now();
            if (now >= nextReport) {
                nextReport = now + longestWait;
                reportDropped();
            }
            std::cout.flush();
            log.queue.finishPrinting();
            if (!lines.empty())
                std::this_thread::sleep_for(gatherTime);
        }
    }

}

void initialize(std::string_view programName)
{
    state().program = programName;
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configuration.setGlobally(el::ConfigurationType::Format, "%msg");
    el::Loggers::reconfigureLogger("default", configuration);
}

void startPrinting()
{
    if (!state().isPrinting.exchange(true))
        std::thread(printForever).detach();
}

bool flush(Base::milliseconds atMost)
{
    if (state().isPrinting.load())
        return state().queue.waitUntilPrinted(atMost);
    std::cout.flush();
    return true;
}

void setDebug(bool enabled) { state().isDebugEnabled.store(enabled, std::memory_order_relaxed); }

bool isDebugEnabled() { return state().isDebugEnabled.load(std::memory_order_relaxed); }

uint64_t droppedLines() { return state().dropped.load(std::memory_order_relaxed); }

std::string format(const Event& event, const Fields& fields)
{
    std::string text = "\"level\":\"";
    text.append(toString(event.level)).append("\",\"event\":").append(std::to_string(event.number));
    text.append(",\"name\":\"").append(event.name).append("\"");
    if (!fields.text().empty())
        text.append(",").append(fields.text());
    return text;
}

void write(const Event& event, const Fields& fields)
{
    auto& log = state();
    if (event.level == Level::Debug && !isDebugEnabled())
        return;
    if (!log.limit.admit(std::chrono::steady_clock::now(), event))
        return;
    auto line = lineFor(event, fields);
    if (log.isPrinting.load(std::memory_order_relaxed))
        log.queue.push(std::move(line));
    else
        print(line);
}

}
