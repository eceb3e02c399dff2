#include <LibBase/Random.h>
#include <catch2/catch.hpp>
#include <platform/RecordDecoder.h>

namespace {

using Mirror::Record;

const std::string serverText = R"({"service":"rota","address":"10.128.0.9:8080","zone":"brum","version":"v1",)"
                               R"("concurrency":2,"state":"ready","warmup_left_ms":1500,"sequence":4,"born":1700})";

const std::string configurationText
    = R"({"version":7,"routes":[{"name":"r1","host":"198.18.0.1","prefix":"/8443/","route_type":"safe",)"
      R"("timeout_ms":1500,"aim_ms":100,"priority":2,"split":[{"service":"a","weight":90},{"service":"b","weight":10}],)"
      R"("max_attempts":2},{"name":"r2","host":"198.18.0.2","prefix":"/80/","service":"b","allowed_regions":["midlands"]}],)"
      R"("services":[{"name":"a","health_path":"/health","max_conns":2000,"warmup_s":2.0,"warmup_per_s":0.5}],)"
      R"("limits":{"idle_timeout_ms":15000}})";

template <typename Event>
std::optional<Event> decode(const Record& record)
{
    auto event = Base::capture([&] { return Platform::decodeRecord(record); });
    if (!event.isOk() || !*event.value || !std::holds_alternative<Event>(**event.value))
        return std::nullopt;
    return std::get<Event>(**event.value);
}

bool isRejected(const std::string& key, const std::string& value)
{
    return !Base::capture([&] { return Platform::decodeRecord({ .key = key, .revision = 1, .value = value }); }).isOk();
}

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    text.replace(text.find(from), from.size(), to);
    return text;
}

}

TEST_CASE("a backend server's entry is decoded")
{
    const auto event
        = decode<Steering::ServerListed>({ .key = "servers/i-7f3a91c2", .revision = 9, .value = serverText });
    REQUIRE(event);
    CHECK(event->entry.number.value == 0x7f3a91c2);
    CHECK(event->entry.service == "rota");
    CHECK(event->entry.address.toString() == "10.128.0.9:8080");
    CHECK(event->entry.failureDomain == "brum");
    CHECK(event->entry.slots == 2);
    CHECK(event->entry.warmUpLeft == Base::milliseconds(1500));
    CHECK(event->entry.startedAt == Base::milliseconds(1700));
    CHECK(event->entry.revision == 9);
    CHECK(event->entry.sequence == 4);
    CHECK(decode<Steering::ServerUnlisted>({ .key = "servers/i-7f3a91c2", .revision = 10, .isDeletion = true })
              ->number.value
        == 0x7f3a91c2);
}

TEST_CASE("backend server entries of another form are rejected")
{
    const std::string key = "servers/i-7f3a91c2";
    CHECK_FALSE(isRejected(key, serverText));
    CHECK(isRejected(key, ""));
    CHECK(isRejected(key, "\xff\xfe"));
    CHECK(isRejected(key, "[]"));
    CHECK(isRejected(key, replaced(serverText, "\"ready\"", "\"resting\"")));
    CHECK(isRejected(key, replaced(serverText, "\"concurrency\":2,", "")));
    CHECK(isRejected(key, replaced(serverText, "\"concurrency\":2", "\"concurrency\":\"2\"")));
    CHECK(isRejected(key, replaced(serverText, "\"version\":\"v1\",", "")));
    CHECK(isRejected(key, replaced(serverText, "\"sequence\":4", "\"sequence\":-4")));
    CHECK(isRejected(key, replaced(serverText, "10.128.0.9:8080", "somewhere")));
    CHECK(isRejected(key, replaced(serverText, "\"born\":1700", "\"born\":1700.5")));
    CHECK(isRejected(key, replaced(serverText, "1500", "-1")));
    CHECK(isRejected("servers/xyz", serverText));
}

TEST_CASE("a configuration is decoded")
{
    const auto event
        = decode<Steering::ConfigurationChanged>({ .key = "op/config", .revision = 30, .value = configurationText });
    REQUIRE(event);
    const auto& configuration = *event->configuration;
    CHECK(configuration.version == 7);
    CHECK(configuration.position.revision == 30);
    REQUIRE(configuration.routes.size() == 2);
    CHECK(configuration.routes[0].endpoint.toString() == "198.18.0.1:8443");
    REQUIRE(configuration.routes[0].shares.size() == 2);
    CHECK(configuration.routes[0].shares[0].weight == 90);
    CHECK(configuration.routes[1].shares[0].service == "b");
    CHECK(configuration.routes[0].traffic
        == Steering::TrafficClass { .priority = 2,
            .isIdempotent = true,
            .latencyObjective = Base::milliseconds(100),
            .timeout = Base::milliseconds(1500) });
    CHECK(configuration.routes[1].traffic == Steering::TrafficClass {});
    CHECK(configuration.routes[1].regions == std::vector<std::string> { "midlands" });
    CHECK(configuration.services[0].warmUp == Base::milliseconds(2000));
    CHECK(configuration.services[0].warmUpRequestsPerSecond == 0.5);
    CHECK(configuration.idleTimeout == Base::milliseconds(15'000));
}

TEST_CASE("a configuration and an evacuation carry the position at which they were written")
{
    const Record record { .key = "op/config", .revision = 12, .value = configurationText };
    const auto event = Base::capture([&] { return Platform::decodeRecord(record, 3); });
    REQUIRE(event.isOk());
    REQUIRE(*event.value);
    CHECK(std::get<Steering::ConfigurationChanged>(**event.value).configuration->position
        == Base::StorePosition { .era = 3, .revision = 12 });
    const auto evacuation
        = decode<Steering::DomainEvacuation>({ .key = "op/evacuate/brum", .revision = 7, .value = "{}" });
    REQUIRE(evacuation);
    CHECK(evacuation->revision == 7);
}

TEST_CASE("a route of an unknown type counts as not repeatable")
{
    const auto text = replaced(configurationText, "\"safe\"", "\"stream\"");
    const auto event = decode<Steering::ConfigurationChanged>({ .key = "op/config", .revision = 30, .value = text });
    REQUIRE(event);
    CHECK_FALSE(event->configuration->routes[0].traffic.isIdempotent);
}

TEST_CASE("an invalid configuration, or its deletion, is rejected, so that the last one stays in force")
{
    CHECK(isRejected("op/config", "{}"));
    CHECK(isRejected("op/config", replaced(configurationText, "/8443/", "/84430/")));
    CHECK(isRejected("op/config", replaced(configurationText, "198.18.0.1", "198.18.0")));
    CHECK_FALSE(Base::capture([] {
        return Platform::decodeRecord({ .key = "op/config", .revision = 3, .isDeletion = true });
    }).isOk());
}

TEST_CASE("evacuations and entry VMs are decoded, other keys ignored")
{
    CHECK(decode<Steering::DomainEvacuation>({ .key = "op/evacuate/brum", .revision = 3, .value = "{}" })->isEvacuated);
    CHECK_FALSE(decode<Steering::DomainEvacuation>({ .key = "op/evacuate/brum", .revision = 4, .isDeletion = true })
                    ->isEvacuated);
    const Platform::EntryVmRecord record { .id
        = Base::EntryVmId::fromEndpoint({ .address = { 0x0A010010 }, .port = 8166 }),
        .failureDomain = "brum",
        .reports = { .address = { 0x0A010010 }, .port = 7720 } };
    const auto listed = decode<Steering::PeerListed>(
        { .key = Platform::entryVmKey(record.id), .revision = 5, .value = Platform::encodeEntryVm(record) });
    REQUIRE(listed);
    CHECK(listed->peer == record.id);
    CHECK(listed->reports == record.reports);
    CHECK(decode<Steering::PeerUnlisted>({ .key = Platform::entryVmKey(record.id), .revision = 6, .isDeletion = true })
              ->peer
        == record.id);
    const auto other
        = Base::capture([] { return Platform::decodeRecord({ .key = "status/x", .revision = 3, .value = "?" }); });
    REQUIRE(other.isOk());
    CHECK_FALSE(*other.value);
}

TEST_CASE("corrupted records are decoded or rejected without a crash")
{
    Base::Random random(11);
    for (int round = 0; round < 4000; ++round) {
        const bool isServer = random.chance(0.5);
        auto text = isServer ? serverText : configurationText;
        for (uint64_t changes = 1 + random.below(4); changes > 0; --changes)
            text[random.below(text.size())] = static_cast<char>(random.below(256));
        text.resize(random.below(text.size() + 1));
        Base::capture([&] {
            return Platform::decodeRecord(
                { .key = isServer ? "servers/i-12" : "op/config", .revision = 1, .value = text });
        });
    }
}
