#include <LibEntry/EntrySettings.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace {

nlohmann::json sample()
{
    return { { "name", "front-1" }, { "failure_domain", "brum" }, { "regions", { "brum=midlands", "leic=north" } },
        { "control", { { "endpoint", "127.0.0.1:4001" }, { "keys", { "a-key-for-tests-only" } } } },
        { "data", { { "endpoint", "127.0.0.1:4002" } } }, { "reports", { { "endpoint", "127.0.0.1:4003" } } },
        { "readiness", { { "endpoint", "127.0.0.1:4004" } } }, { "metrics", { { "endpoint", "127.0.0.1:4005" } } },
        { "store", { { "endpoint", "127.0.0.1:4006" } } } };
}

Base::Outcome<Entry::EntrySettings> read(const nlohmann::json& text)
{
    return Base::capture([&]() -> Base::ErrorOr<Entry::EntrySettings> {
        Entry::EntrySettings settings;
        Settings::Schema schema;
        Entry::declareSettings(schema, settings);
        TRY(schema.readText(text.dump()));
        TRY(Entry::regionsOf(settings));
        return settings;
    });
}

}

TEST_CASE("settings are read, and the advertised endpoint is the identity of an entry VM")
{
    auto text = sample();
    const auto plain = read(text);
    REQUIRE(plain.isOk());
    CHECK(plain.value->identity().endpoint().toString() == "127.0.0.1:4001");
    CHECK(plain.value->reportsForPeers().toString() == "127.0.0.1:4003");
    CHECK(Entry::regionsOf(*plain.value)->at("leic") == "north");
    text["control"]["advertised"] = "127.0.0.2:5001";
    text["reports"]["advertised"] = "127.0.0.2:5003";
    text["warm_up"] = { { "overshoot", 1.5 }, { "slack", 5 } };
    const auto advertised = read(text);
    REQUIRE(advertised.isOk());
    CHECK(advertised.value->identity().endpoint().toString() == "127.0.0.2:5001");
    CHECK(advertised.value->reportsForPeers().toString() == "127.0.0.2:5003");
    CHECK(advertised.value->warmUp.overshoot == 1.5);
}

TEST_CASE("times may be given as seconds, also with a fraction")
{
    auto text = sample();
    text["limits"] = { { "flow_lifetime_s", 90.5 } };
    text["stop"] = { { "grace_s", 6 } };
    const auto seconds = read(text);
    REQUIRE(seconds.isOk());
    CHECK(seconds.value->limits.flowLifetime == Base::milliseconds(90'500));
    CHECK(seconds.value->stop.grace == Base::milliseconds(6000));
    text["limits"] = { { "flow_lifetime_ms", 90'500 } };
    text["stop"] = { { "grace_ms", 4500 } };
    const auto milliseconds = read(text);
    REQUIRE(milliseconds.isOk());
    CHECK(milliseconds.value->limits.flowLifetime == Base::milliseconds(90'500));
    CHECK(milliseconds.value->stop.grace == Base::milliseconds(4500));
    text["stop"] = { { "grace_s", 4000.0 } };
    CHECK_FALSE(read(text).isOk());
}

TEST_CASE("invalid settings are rejected")
{
    auto text = sample();
    text["regions"] = { "brum" };
    CHECK_FALSE(read(text).isOk());
    text = sample();
    text["warm_up"] = { { "overshoot", "much" } };
    CHECK_FALSE(read(text).isOk());
    text = sample();
    text["unknown"] = 1;
    CHECK_FALSE(read(text).isOk());
}

TEST_CASE("an unanswered watch fails within the time in which a change has to be in force")
{
    // The tightest bound of the users' deployments. A watch may begin just before the store stops responding or
    // returns.
    constexpr Base::milliseconds inForce { 3000 };
    const Entry::EntrySettings settings;
    CHECK(settings.store.watchTimeout + settings.store.callTimeout <= inForce);
}
