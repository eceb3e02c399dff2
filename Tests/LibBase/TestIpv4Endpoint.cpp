#include <LibBase/Ipv4Endpoint.h>
#include <catch2/catch.hpp>

using Base::Ipv4Endpoint;

TEST_CASE("Endpoints are unchanged after parsing, formatting and packing", "[base]")
{
    auto outcome = Base::capture([] { return Ipv4Endpoint::parse("127.0.0.1:4000"); });
    REQUIRE(outcome.isOk());
    CHECK(outcome.value->toString() == "127.0.0.1:4000");
    CHECK(Ipv4Endpoint::fromPacked(outcome.value->packed()) == *outcome.value);
}

TEST_CASE("Malformed endpoints are reported as errors", "[base]")
{
    for (const auto* text : { "", "127.0.0.1", "127.0.0.1:", "127.0.0:1", "256.0.0.1:1", "1.2.3.4:65536", "1.2.3.4.5:1",
             "01.2.3.4:1", "a.b.c.d:1" }) {
        auto outcome = Base::capture([&] { return Ipv4Endpoint::parse(text); });
        INFO(text);
        CHECK_FALSE(outcome.isOk());
        CHECK(outcome.error.code == Base::ErrorCode::Malformed);
    }
}
