#include <LibSettings/Schema.h>
#include <catch2/catch.hpp>

namespace {

struct Example {
    uint16_t threads { 2 };
    Base::milliseconds timeout { 100 };
    bool enabled { false };
    std::string name { "brum" };
    Base::Ipv4Endpoint data { Base::Ipv4Address { 0x7F000001 }, 0 };
    Base::Ipv4Endpoint control { Base::Ipv4Address { 0x7F000001 }, 0 };
    std::vector<Base::Ipv4Endpoint> seeds;
};

Settings::Schema declare(Example& example)
{
    Settings::Schema schema;
    schema.addInteger("threads", example.threads, { .minimum = 1, .maximum = 64 }, { .documentation = "Threads." });
    schema.addMilliseconds("limits.timeout_ms", example.timeout, { .minimum = 1, .maximum = 1000 }, {});
    schema.addBoolean("enabled", example.enabled, {});
    schema.addText("name", example.name, { .minimum = 1, .maximum = 8 }, {});
    schema.addEndpoint("data.endpoint", example.data, { .required = true, .listens = true });
    schema.addEndpoint("control.endpoint", example.control, { .listens = true });
    schema.addEndpointList("seeds", example.seeds, { .maximum = 2 }, {});
    return schema;
}

std::string errorOf(const std::string& text)
{
    Example example;
    auto schema = declare(example);
    const auto error = Base::captureError([&] { return schema.readText(text); });
    return error ? error->detail : "";
}

}

TEST_CASE("a valid settings text with comments fills the bound fields")
{
    Example example;
    auto schema = declare(example);
    const auto error = Base::captureError([&] {
        return schema.readText(R"({ // comment
            "threads": 4, "limits": { "timeout_ms": 250 }, "enabled": true,
            "data": { "endpoint": "127.0.0.1:4000" }, "seeds": ["127.0.0.1:1", "127.0.0.1:2"] })");
    });
    REQUIRE(!error);
    CHECK(example.threads == 4);
    CHECK(example.timeout == Base::milliseconds(250));
    CHECK(example.enabled);
    CHECK(example.name == "brum");
    CHECK(example.data.port == 4000);
    CHECK(example.seeds.size() == 2);
}

TEST_CASE("each kind of invalid setting yields a one-line error with the key's path")
{
    const std::string data = R"("data": { "endpoint": "127.0.0.1:4000" })";
    const auto with = [&](const std::string& rest) { return errorOf("{" + data + "," + rest + "}"); };
    CHECK(with(R"("thread": 4)") == "thread: expected a known key (see --settings-reference)");
    CHECK(with(R"("limits": { "timeout": 4 })") == "limits.timeout: expected a known key (see --settings-reference)");
    CHECK(with(R"("limits": 4)") == "limits: expected an object");
    CHECK(with(R"("threads": "4")") == "threads: expected a whole number, 1 to 64");
    CHECK(with(R"("threads": -4)") == "threads: expected a whole number, 1 to 64");
    CHECK(with(R"("threads": 65)") == "threads: expected a whole number, 1 to 64, found 65");
    CHECK(with(R"("threads": 70000)") == "threads: expected a whole number, 1 to 64, found 70000");
    CHECK(with(R"("enabled": 1)") == "enabled: expected true or false");
    CHECK(with(R"("name": "")") == "name: expected text of 1 to 8 bytes");
    CHECK(with(R"("seeds": ["127.0.0.1:1", "127.0.0.1:1"])")
        == "seeds: expected distinct addresses, found 127.0.0.1:1 twice");
    CHECK(with(R"("seeds": ["127.0.0.1"])") == "seeds: expected \"ADDRESS:PORT\", found \"127.0.0.1\"");
    CHECK(with(R"("control": { "endpoint": "127.0.0.1:4000" })")
        == "control.endpoint: expected an address of its own, 127.0.0.1:4000 is also data.endpoint");
    CHECK(with(R"("threads": 4, "threads": 5)") == "threads: expected the key once in its object");
    CHECK(errorOf("{}") == "data.endpoint: expected \"ADDRESS:PORT\", found no such key");
    CHECK(errorOf("[]") == "expected an object");
    CHECK(errorOf("{").starts_with("expected JSON"));
}

TEST_CASE("the error for a missing settings file contains its path")
{
    Example example;
    auto schema = declare(example);
    const auto error = Base::captureError([&] { return schema.readFile("no-such-file.json"); });
    REQUIRE(error);
    CHECK(error->detail == "no-such-file.json: expected a readable file");
}
