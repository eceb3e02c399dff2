// Each reason for not forwarding a packet has a counter and appears in the log line of the decision.

#include <LibEntry/EntryMetrics.h>
#include <LibEntry/FlowLog.h>
#include <LibLog/Log.h>
#include <catch2/catch.hpp>
#include <iostream>
#include <set>
#include <sstream>

namespace {

/// Captures standard output during its lifetime.
class CapturedOutput {
public:
    CapturedOutput()
        : originalBuffer_(std::cout.rdbuf(text_.rdbuf()))
    {
    }
    ~CapturedOutput() { std::cout.rdbuf(originalBuffer_); }
    CapturedOutput(const CapturedOutput&) = delete;
    CapturedOutput& operator=(const CapturedOutput&) = delete;

    std::string readAndClear()
    {
        auto text = text_.str();
        text_.str({});
        return text;
    }

private:
    std::ostringstream text_;
    std::streambuf* originalBuffer_;
};

bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

}

TEST_CASE("each refusal has a counter and a reason in its log line")
{
    Log::initialize("test");
    const auto metrics = Entry::EntryMetrics().text();
    CapturedOutput output;
    std::set<std::string> names;
    for (std::size_t index = 1; index < Steering::refusalCount; ++index) {
        const auto refusal = static_cast<Steering::Refusal>(index);
        const std::string name(Steering::toString(refusal));
        INFO(name);
        CHECK(name != "unknown");
        CHECK(names.insert(name).second);
        CHECK(contains(metrics, "eelgrasshatch_packets_refused_total{reason=\"" + name + "\"}"));
        Entry::logFlowDecision({ .kind = Steering::FlowDecision::Kind::Refused, .refusal = refusal });
        const auto line = output.readAndClear();
        CHECK(contains(line, "\"name\":\"flow_refused\""));
        CHECK(contains(line, "\"reason\":\"" + name + "\""));
    }
}

TEST_CASE("each kind of flow decision has a log line that names it")
{
    using Kind = Steering::FlowDecision::Kind;
    Log::initialize("test");
    CapturedOutput output;
    for (const auto kind : { Kind::Placed, Kind::Retransmitted, Kind::Hedged, Kind::Opened, Kind::Refused,
             Kind::NeverOpened, Kind::ShortResponse }) {
        const std::string name(Steering::toString(kind));
        CHECK(name != "unknown");
        Entry::logFlowDecision({ .kind = kind });
        CHECK(contains(output.readAndClear(), "\"what\":\"" + name + "\""));
    }
}

TEST_CASE("each reason for diverting a flow from its share has a counter and appears in the log line")
{
    Log::initialize("test");
    const auto metrics = Entry::EntryMetrics().text();
    CapturedOutput output;
    for (std::size_t index = 0; index < Steering::shareDiversionCount; ++index) {
        const auto diversion = static_cast<Steering::ShareDiversion>(index);
        const std::string name(Steering::toString(diversion));
        INFO(name);
        CHECK(name != "unknown");
        CHECK(contains(metrics, "eelgrasshatch_share_diversions_total{reason=\"" + name + "\"}"));
        Entry::logFlowDecision({ .diversion = diversion, .serviceAsked = "large", .serviceGiven = "small" });
        const auto line = output.readAndClear();
        const bool isDiverted = diversion != Steering::ShareDiversion::None;
        CHECK(contains(line, "\"diverted\":\"" + name + "\"") == isDiverted);
        CHECK(contains(line, R"("share_asked":"large","share_given":"small")") == isDiverted);
    }
}

TEST_CASE("other kinds of packet loss have their own counters")
{
    const auto metrics = Entry::EntryMetrics().text();
    for (const std::string name : { "malformed", "discarded" })
        CHECK(contains(metrics, "eelgrasshatch_packets_" + name + "_total"));
    CHECK(contains(metrics, "eelgrasshatch_resets_total"));
    CHECK(contains(metrics, "eelgrasshatch_send_failures_total"));
}
