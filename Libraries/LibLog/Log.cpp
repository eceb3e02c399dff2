#include <LibLog/Log.h>

#include <LibLog/LineQueue.h>
#include <LibLog/LineRateLimiter.h>
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

    /// About 2 MB at 250 bytes per line.
    constexpr std::size_t queueCapacity = 8192;
    /// Lines are printed in batches, since each wake-up and each system call costs processor time.
    constexpr Base::milliseconds printBatchInterval { 100 };
    constexpr Base::milliseconds droppedReportInterval { 1000 };
    /// Reserved for a line in addition to the event's own fields.
    constexpr std::size_t lineOverheadBytes = 160;
    /// Lines are joined up to this size before printing, since each print is a system call.
    constexpr std::size_t printChunkBytes = 32768;

    /// The process's log. Never destroyed, since the printing thread may still use it while the process exits.
    struct State {
        std::string program { "unknown" };
        std::atomic<bool> isDebugEnabled { false };
        std::atomic<bool> isPrinting { false };
        std::atomic<uint64_t> dropped { 0 };
        LineRateLimiter rateLimiter;
        LineQueue queue { queueCapacity };
    };

    State& state()
    {
        static auto* state = new State;
        return *state;
    }

    /// Formats date and time to the second. The text is cached per thread, so the calendar is computed once per second.
    const std::string& formatSecond(std::time_t second)
    {
        thread_local std::time_t cachedSecond = -1;
        thread_local std::string text;
        if (second == cachedSecond)
            return text;
        std::tm parts {};
        ::gmtime_r(&second, &parts);
        std::array<char, 40> buffer {};
        text.assign(buffer.data(), std::strftime(buffer.data(), buffer.size(), "%Y-%m-%dT%H:%M:%S", &parts));
        cachedSecond = second;
        return text;
    }

    void appendTime(std::string& line)
    {
        const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
        const auto milliseconds = std::chrono::duration_cast<Base::milliseconds>(sinceEpoch).count();
        line.append(formatSecond(milliseconds / 1000)).append(".");
        line.append(std::to_string(1000 + milliseconds % 1000), 1).append("Z");
    }

    std::string formatLine(const Event& event, const Fields& fields)
    {
        std::string line;
        line.reserve(lineOverheadBytes + fields.text().size());
        line.append("{\"time\":\"");
        appendTime(line);
        line.append("\",\"program\":\"").append(state().program).append("\",");
        return line.append(format(event, fields)).append("}");
    }

    void print(const std::string& line) { LOG(INFO) << line; }

    void printAll(const std::vector<std::string>& lines)
    {
        std::string text;
        for (const auto& line : lines) {
            if (!text.empty())
                text += '\n';
            text += line;
            if (text.size() >= printChunkBytes) {
                print(text);
                text.clear();
            }
        }
        if (!text.empty())
            print(text);
    }

    void logDroppedLines()
    {
        auto& log = state();
        const auto overflow = log.queue.resetDroppedCount();
        if (overflow > 0)
            print(formatLine(ProgramEvents::linesDropped, Fields().add("reason", "queue_full").add("lines", overflow)));
        for (const auto& [number, lines] : log.rateLimiter.resetSuppressedCounts()) {
            print(formatLine(ProgramEvents::linesDropped,
                Fields().add("reason", "limit").add("of_event", number).add("lines", lines)));
        }
    }

    void runPrintThread()
    {
        auto& log = state();
        auto nextReport = std::chrono::steady_clock::now();
        for (;;) {
            const auto lines = log.queue.popAll(droppedReportInterval);
            printAll(lines);
            const auto now = std::chrono::steady_clock::now();
            if (now >= nextReport) {
                nextReport = now + droppedReportInterval;
                logDroppedLines();
            }
            log.queue.markPrinted();
            if (!lines.empty())
                std::this_thread::sleep_for(printBatchInterval);
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

void startPrintThread()
{
    if (!state().isPrinting.exchange(true))
        std::thread(runPrintThread).detach();
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
    // Dropped lines are counted here, since the printing thread may block on output that nobody reads.
    if (!log.rateLimiter.admit(std::chrono::steady_clock::now(), event)) {
        log.dropped.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    auto line = formatLine(event, fields);
    if (!log.isPrinting.load(std::memory_order_relaxed))
        print(line);
    else if (!log.queue.push(std::move(line)))
        log.dropped.fetch_add(1, std::memory_order_relaxed);
}

}
