#include "../LibConfiguration/Samples.h"
#include <LibOperator/WireModel.h>
#include <Library/ConfigurationFile.h>
#include <Library/ExitCode.h>
#include <Library/Table.h>
#include <catch2/catch.hpp>

using namespace Configuration;

namespace {

constexpr const char* rotaFile = R"({
    // The rota service.
    "failure_domains": [{ "name": "brum", "region": "midlands" }],
    "services": [{
        "name": "rota",
        "addresses": ["198.51.100.1"],
        "port_classes": [{ "name": "view", "port": 8001, "protocol": "udp", "slot_use": "per-request" }],
        "backend_servers": [{ "name": "rota-1", "failure_domain": "brum", "tunnel": "10.0.0.1:6080",
            "management": "10.0.0.1:8080" }]
    }]
})";

eelgrasshatch::operators::Configuration currentConfigurationWithWeight(uint32_t weight)
{
    auto service = sampleService();
    service.id = { 1 };
    service.backendServers[0].id = { 1 };
    service.backendServers[0].weight = weight;
    service.backendServers[0].state = BackendServerState::Draining;
    eelgrasshatch::operators::Configuration configuration;
    *configuration.add_services() = Operator::toWire(service);
    return configuration;
}

std::string errorOf(const std::string& text)
{
    const auto error = Base::captureError([&] { return ControlTool::operationsFromFile(text, {}); });
    return error ? error->detail : "no error";
}

}

TEST_CASE("A file is converted to operations, failure domains first")
{
    const auto operations = Base::capture([] { return ControlTool::operationsFromFile(rotaFile, {}); });
    REQUIRE(operations.isOk());
    REQUIRE(operations.value->size() == 2);
    CHECK(objectPath((*operations.value)[0]) == "domain/brum");
    const auto& service = std::get<PutService>((*operations.value)[1]).service;
    CHECK(service.portClasses[0].protocol == Protocol::Udp);
    CHECK(service.portClasses[0].slotUse == SlotUse::PerRequest);
    CHECK(service.backendServers[0].weight == BackendServer {}.weight);
}

TEST_CASE("Fields missing from a file keep their current values")
{
    const auto operations
        = Base::capture([] { return ControlTool::operationsFromFile(rotaFile, currentConfigurationWithWeight(7)); });
    REQUIRE(operations.isOk());
    const auto& service = std::get<PutService>((*operations.value)[1]).service;
    REQUIRE(service.backendServers.size() == 1);
    CHECK(service.backendServers[0].weight == 7);
    CHECK(service.backendServers[0].state == BackendServerState::Draining);
    CHECK(service.backendServers[0].id.value == 1);
}

TEST_CASE("Errors in a file are reported with the path of the key and the expected value")
{
    CHECK_THAT(errorOf("{"), Catch::Contains("expected JSON"));
    CHECK_THAT(errorOf("[]"), Catch::Contains("$: expected an object"));
    CHECK_THAT(errorOf(R"({"service": []})"), Catch::Contains("$.service: unknown key"));
    CHECK_THAT(errorOf(R"({"services": {}})"), Catch::Contains("$.services: expected a list"));
    CHECK_THAT(errorOf(R"({"services": [{"name": 5}]})"), Catch::Contains("$.services[0].name: expected text"));
    CHECK_THAT(errorOf(R"({"services": [{"addresses": ["x"]}]})"),
        Catch::Contains("$.services[0].addresses[0]: expected an IPv4 address"));
    CHECK_THAT(errorOf(R"({"services": [{"port_classes": [{"port": 65536}]}]})"),
        Catch::Contains("$.services[0].port_classes[0].port: expected a whole number from 0 to 65535"));
    CHECK_THAT(errorOf(R"({"services": [{"port_classes": [{"slot_use": "some"}]}]})"),
        Catch::Contains("expected one of none, per-flow, per-request"));
    CHECK_THAT(errorOf(R"({"services": [{"backend_servers": [{"tunnel": "here"}]}]})"),
        Catch::Contains("$.services[0].backend_servers[0].tunnel: expected ADDRESS:PORT"));
    CHECK_THAT(errorOf(R"({"failure_domains": [{"state": "off"}]})"), Catch::Contains("expected one of in, out"));
}

TEST_CASE("Each outcome has its own exit code")
{
    namespace Wire = eelgrasshatch::operators;
    using ControlTool::ExitCode;
    using ControlTool::exitCodeOf;
    CHECK(exitCodeOf(Wire::ACCEPTED) == ExitCode::Success);
    CHECK(exitCodeOf(Wire::CONFLICT) == ExitCode::Conflict);
    CHECK(exitCodeOf(Wire::PROTECTED) == ExitCode::Protected);
    CHECK(exitCodeOf(Wire::OUTCOME_UNKNOWN) == ExitCode::Unknown);
    CHECK(exitCodeOf(Wire::UNAVAILABLE) == ExitCode::Unavailable);
    CHECK(exitCodeOf(Wire::INVALID) == ExitCode::Invalid);
    CHECK(exitCodeOf(Wire::NOT_FOUND) == ExitCode::NotFound);
}

TEST_CASE("Table columns are as wide as their widest cell")
{
    ControlTool::Table table({ "A", "B" });
    table.addRow({ "long", "x" });
    CHECK(table.text() == "A     B\nlong  x\n");
    CHECK(ControlTool::formatTime(1'000'000'000'000) == "2001-09-09 01:46:40Z");
    CHECK(ControlTool::formatTime(0) == "-");
}
