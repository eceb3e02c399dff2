#include <LibLog/LineQueue.h>
#include <LibLog/LineRateLimiter.h>
#include <LibLog/Log.h>
#include <LibLog/ProgramEvents.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

TEST_CASE("an event's text starts with its level, number and name")
{
    CHECK(Log::format(Log::ProgramEvents::started, Log::Fields().add("version", 1))
        == R"("level":"info","event":9000,"name":"program_started","version":1)");
    CHECK(Log::format(Log::ProgramEvents::stopping, {}) == R"("level":"info","event":9001,"name":"program_stopping")");
}

TEST_CASE("fields with arbitrary bytes form valid JSON without line breaks")
{
    Log::Fields fields;
    fields.add("count", 3).add("name", "brum").add("text", "a \"b\"\n\\").add("empty", "").add("ok", true);
    fields.add("bytes", std::string_view("\xff\x00\x01", 3)).add("negative", -5);
    const auto line = nlohmann::json::parse("{" + fields.text() + "}");
    CHECK(line["count"] == 3);
    CHECK(line["name"] == "brum");
    CHECK(line["text"] == "a \"b\"\n\\");
    CHECK(line["empty"] == "");
    CHECK(line["ok"] == true);
    CHECK(line["bytes"].is_string());
    CHECK(line["negative"] == -5);
    CHECK(fields.text().find('\n') == std::string::npos);
}

TEST_CASE("a full queue drops lines without waiting and counts them")
{
    Log::LineQueue queue(3);
    for (int line = 0; line < 10; ++line)
        CHECK(queue.push("line") == (line < 3));
    CHECK(queue.resetDroppedCount() == 7);
    CHECK(queue.resetDroppedCount() == 0);
    CHECK_FALSE(queue.waitUntilPrinted(Base::milliseconds(1)));
    CHECK(queue.popAll(Base::milliseconds(0)).size() == 3);
    CHECK_FALSE(queue.waitUntilPrinted(Base::milliseconds(1)));
    queue.markPrinted();
    CHECK(queue.waitUntilPrinted(Base::milliseconds(1)));
    CHECK(queue.push("line"));
}

TEST_CASE("an event's lines per second stay within its limit at any load")
{
    constexpr Log::Event limited { 1, "limited", Log::Level::Info, "", 20 };
    constexpr Log::Event unlimited { 2, "unlimited", Log::Level::Info, "" };
    Log::LineRateLimiter limiter;
    Base::TimePoint now {};
    for (const int load : { 50, 500 }) {
        now += Base::seconds(10);
        int admitted = 0;
        for (int line = 0; line < 5 * load; ++line) {
            now += Base::nanoseconds(Base::seconds(1)) / load;
            admitted += limiter.admit(now, limited) ? 1 : 0;
            CHECK(limiter.admit(now, unlimited));
        }
        CHECK(admitted <= 6 * 20);
        CHECK(admitted >= 4 * 20);
        CHECK(limiter.resetSuppressedCounts().at(1) == static_cast<uint64_t>(5 * load - admitted));
    }
}
