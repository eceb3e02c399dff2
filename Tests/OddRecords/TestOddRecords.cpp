// Records of other writers among those of backend servers, operators and entry VMs. Built with sanitizers, so that an
// overflow or a conversion out of range ends the test.

#include <LibEntry/StateFeed.h>
#include <LibMirror/RelayMessage.h>
#include <LibSteering/SteeringDecider.h>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace {

using Base::milliseconds;

constexpr std::size_t valueBytesLimit = 1'048'576;
constexpr std::size_t keyBytesLimit = 200;
constexpr int nestingDepth = 100'000;

struct Field {
    std::string name;
    std::string json;
};

/// A backend server's entry with one field replaced.
std::string serverEntry(const Field& changed = {})
{
    const std::vector<Field> fields { { "service", R"("rota")" }, { "address", R"("10.1.64.4:8367")" },
        { "zone", R"("brum")" }, { "version", R"("v1")" }, { "concurrency", "2" }, { "state", R"("ready")" },
        { "warmup_left_ms", "0" }, { "sequence", "4" }, { "born", "1769247348367" } };
    std::string json = "{";
    for (const auto& field : fields) {
        json += json.size() > 1 ? "," : "";
        json += "\"" + field.name + "\":" + (field.name == changed.name ? changed.json : field.json);
    }
    return json + "}";
}

std::string nested(const std::string& open, const std::string& close)
{
    std::string text;
    for (int depth = 0; depth < nestingDepth; ++depth)
        text += open;
    for (int depth = 0; depth < nestingDepth; ++depth)
        text += close;
    return text;
}

std::string configuration(uint64_t version, const std::string& route, const std::string& limits)
{
    return R"({"version":)" + std::to_string(version)
        + R"(,"routes":[{"name":"r","host":"198.18.0.1","prefix":"/443/",)" + route
        + R"("service":"rota"}],"services":[{"name":"rota"}],"limits":{)" + limits + "}}";
}

/// A feed and the decider that it serves, as in an entry VM: one configuration and one sound backend server.
class OddRecordsFixture {
public:
    OddRecordsFixture()
    {
        feed_.apply({ .era = 1,
                        .upTo = 3,
                        .isComplete = true,
                        .records = { { .key = "op/config", .revision = 2, .value = configuration(1, "", "") },
                            { .key = "servers/i-00000001", .revision = 3, .value = serverEntry() } } },
            "store");
        deliver();
        REQUIRE(feed_.refusedRecords() == 0);
        REQUIRE(isServing());
    }

    /// Another writer's record arrives, also through a peer, and time passes.
    void write(const std::string& key, const std::string& value)
    {
        const auto revision = feed_.position().revision;
        const Mirror::ChangeBatch batch { .era = 1,
            .after = revision,
            .upTo = revision + 1,
            .records = { { .key = key, .revision = revision + 1, .value = value } } };
        feed_.apply(Mirror::decodeBatch(Mirror::encodeBatch(batch)).value(), "peer");
        deliver();
        for (int tick = 0; tick < 8; ++tick) {
            now_ += milliseconds(250);
            decider_.handleTimers(now_);
            decider_.takeProbes();
            decider_.ownLoads();
        }
    }

    /// Whether first packets still reach the sound server, and no other.
    bool isServing()
    {
        const Steering::PacketView view { .flow = { .caller = { .address = { 0x64400001 }, .port = ++port_ },
                                              .service = { .address = { 0xC6120001 }, .port = 443 } },
            .opensFlow = true,
            .sequence = port_ };
        const auto verdict = decider_.decide(now_, view, Steering::FirstPacketBytes {});
        return verdict.kind == Steering::VerdictKind::Forward && verdict.number == Steering::BackendServerNumber { 1 };
    }

    uint64_t refused() const { return feed_.refusedRecords(); }
    uint64_t version() const { return decider_.configurationVersion(); }
    std::size_t serverCount() const { return decider_.serverCount(); }

private:
    void deliver()
    {
        Steering::StateEvent event;
        while (feed_.tryPop(event))
            decider_.handle(now_, event);
    }

    Base::TimePoint now_ { milliseconds(100'000) };
    uint16_t port_ { 1000 };
    Entry::StateFeed feed_ { { .wake = [] {}, .self = {}, .onOwnRecordRemoved = {} } };
    Steering::SteeringDecider decider_ { { .self = { 1 }, .failureDomain = "brum", .seed = 7 } };
};

std::vector<Field> oddServerFields()
{
    const std::string longText = '"' + std::string(valueBytesLimit / 2, 'x') + '"';
    std::vector<Field> fields;
    for (const auto* number : { "concurrency", "sequence", "born", "warmup_left_ms" }) {
        for (const auto* json :
            { "-1", "1e300", "1e400", "-1e300", "36893488147419103232", "null", "true", R"("2")", "[]", "{}" })
            fields.push_back({ number, json });
    }
    for (const auto* number : { "concurrency", "sequence", "born" })
        fields.push_back({ number, "2.5" });
    fields.push_back({ "concurrency", "0" });
    fields.push_back({ "concurrency", "4294967296" });
    fields.push_back({ "concurrency", "4294967295" });
    fields.push_back({ "born", "18446744073709551615" });
    fields.push_back({ "born", "9223372036854775808" });
    fields.push_back({ "warmup_left_ms", "18446744073709551615" });
    fields.push_back({ "warmup_left_ms", "9000000000000000" });
    for (const auto* address : { R"("10.1.64.9:0")", R"("10.1.64.9:65536")", R"("10.1.64.9:-1")", R"("10.1.64.9:1e3")",
             R"("10.1.64.9:99999999999999999999")", R"("10.1.64.9")", R"(":8367")", R"("")", R"("0.0.0.0:8367")",
             R"("10.1.64.256:8367")", R"("host:8367")", "7", "null" })
        fields.push_back({ "address", address });
    for (const auto* text : { "service", "zone", "state", "address" }) {
        fields.push_back({ text, longText });
        fields.push_back({ text, R"("")" });
        fields.push_back({ text, "12" });
        fields.push_back({ text, "\"\xff\xfe\"" });
    }
    fields.push_back({ "state", R"("resting")" });
    fields.push_back({ "version", "3" });
    for (const auto* name :
        { "service", "address", "zone", "version", "concurrency", "state", "warmup_left_ms", "sequence", "born" })
        fields.push_back({ name, nested("[", "]") });
    return fields;
}

}

// Guards against entry VMs that end, or stop following the store, because of one odd entry among those of servers.
TEST_CASE("an odd field in a server's entry is refused, named once, and leaves the other records in use")
{
    for (const auto& field : oddServerFields()) {
        CAPTURE(field.name, field.json.substr(0, 60));
        OddRecordsFixture fixture;
        fixture.write("servers/i-00000002", serverEntry(field));
        CHECK(fixture.refused() == 1);
        CHECK(fixture.serverCount() == 1);
        CHECK(fixture.isServing());
        fixture.write("servers/i-00000002", serverEntry({ "address", R"("10.1.64.5:8367")" }));
        CHECK(fixture.serverCount() == 2);
    }
}

TEST_CASE("an odd entry under the id of a known server takes that server out of use until its next entry")
{
    OddRecordsFixture fixture;
    fixture.write("servers/i-00000001", serverEntry({ "warmup_left_ms", "1e300" }));
    CHECK(fixture.refused() == 1);
    CHECK_FALSE(fixture.isServing());
    fixture.write("servers/i-00000001", serverEntry({ "sequence", "5" }));
    CHECK(fixture.isServing());
}

TEST_CASE("values that are no entry at all are refused")
{
    const auto value = GENERATE(as<std::string> {}, "", "{", "null", "7", "\"text\"", "{}", std::string(1000, '\0'),
        "\xff\xfe\xfd", std::string(valueBytesLimit, '['), std::string(valueBytesLimit, 'x'), nested("[", "]"),
        nested("{\"a\":", "}"), nested("{\"a\":", "1}"));
    CAPTURE(value.substr(0, 60));
    OddRecordsFixture fixture;
    fixture.write("servers/i-00000002", value);
    CHECK(fixture.refused() == 1);
    CHECK(fixture.serverCount() == 1);
    CHECK(fixture.isServing());
}

TEST_CASE("keys that name no server are refused")
{
    const auto key = GENERATE(as<std::string> {}, "servers/", "servers/xyz", "servers/0",
        "servers/i-112233445566778899", "servers/" + std::string(keyBytesLimit - 8, 'f'), "servers/\"\n\x01");
    OddRecordsFixture fixture;
    fixture.write(key, serverEntry());
    CHECK(fixture.refused() == 1);
    CHECK(fixture.serverCount() == 1);
    CHECK(fixture.isServing());
}

TEST_CASE("of a key that stands twice in an entry, the last one counts")
{
    OddRecordsFixture fixture;
    auto entry = serverEntry({ "address", R"("10.1.64.5:8367")" });
    entry.insert(1, R"("concurrency":-7,)");
    fixture.write("servers/i-00000002", entry);
    CHECK(fixture.refused() == 0);
    CHECK(fixture.serverCount() == 2);
}

TEST_CASE("odd records of entry VMs are refused")
{
    OddRecordsFixture fixture;
    const std::string good = R"({"failure_domain":"brum","reports":"10.1.0.4:7100","link_megabits":200})";
    fixture.write("entry/10.1.0.4:7100", good);
    REQUIRE(fixture.refused() == 0);
    for (const auto* key : { "entry/", "entry/10.1.0.4", "entry/10.1.0.4:65536", "entry/10.1.0.4:0", "entry/x:1" })
        fixture.write(key, good);
    CHECK(fixture.refused() == 5);
    for (const auto* value : { R"({"failure_domain":"brum","reports":"10.1.0.4:0","link_megabits":200})",
             R"({"failure_domain":"brum","reports":"10.1.0.4:65536","link_megabits":200})",
             R"({"failure_domain":"","reports":"10.1.0.4:7100","link_megabits":200})",
             R"({"failure_domain":"brum","reports":"10.1.0.4:7100","link_megabits":1e300})",
             R"({"failure_domain":"brum","reports":"10.1.0.4:7100","link_megabits":18446744073709551615})",
             R"({"failure_domain":"brum","reports":"10.1.0.4:7100","link_megabits":-1})" })
        fixture.write("entry/10.1.0.5:7100", value);
    CHECK(fixture.refused() == 11);
    CHECK(fixture.isServing());
}

// Operators' configurations are valid; numbers that are larger than needed mean no limit.
TEST_CASE("a configuration with very large numbers comes into force")
{
    for (const auto* number : { "1e300", "18446744073709551615", "9007199254740993", "0.5", "4294967296" }) {
        CAPTURE(number);
        OddRecordsFixture fixture;
        std::string route;
        for (const auto* name : { "priority", "aim_ms", "timeout_ms" })
            route += "\"" + std::string(name) + "\":" + number + ",";
        fixture.write("op/config", configuration(2, route, R"("idle_timeout_ms":)" + std::string(number)));
        CHECK(fixture.refused() == 0);
        CHECK(fixture.version() == 2);
        CHECK(fixture.isServing());
    }
}

TEST_CASE("a configuration that cannot be read leaves the one in force")
{
    const auto value = GENERATE(as<std::string> {}, "", "[]", nested("[", "]"), R"({"version":1e300})",
        R"({"version":36893488147419103232,"routes":[],"services":[]})", R"({"version":-4,"routes":[],"services":[]})",
        R"({"version":2,"routes":7,"services":[]})",
        R"({"version":2,"routes":[{"name":"r","host":"198.18.0.1","prefix":"/65536/","service":"rota"}],"services":[]})",
        R"({"version":2,"routes":[{"name":"r","host":"198.18.0.1","prefix":"/0/","service":"rota"}],"services":[]})");
    CAPTURE(value.substr(0, 60));
    OddRecordsFixture fixture;
    fixture.write("op/config", value);
    CHECK(fixture.refused() == 1);
    CHECK(fixture.version() == 1);
    CHECK(fixture.isServing());
}
