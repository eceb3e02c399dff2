#include "../LibConfiguration/Samples.h"
#include <LibOperator/WireModel.h>
#include <catch2/catch.hpp>

using namespace Configuration;

namespace {

std::vector<Configuration::Operation> operationsOfEveryKind()
{
    auto service = sampleService();
    service.preferLocalDomain = true;
    service.portClasses[0].protocol = Protocol::Udp;
    service.portClasses[0].slotUse = SlotUse::PerRequest;
    service.portClasses[0].idempotent = true;
    service.backendServers[0].state = BackendServerState::Draining;
    service.backendServers[1].state = BackendServerState::Out;
    Protection protection { .path = "service/rota" };
    protection.expiresAt = Base::WallTime(Base::seconds(9999));
    return { PutService { service }, RemoveService { "rota" }, PutBackendServer { "rota", sampleBackendServer(3) },
        RemoveBackendServer { "rota", "rota-1" },
        PutFailureDomain { { .name = "brum", .region = "midlands", .state = FailureDomainState::Out } },
        RemoveFailureDomain { "brum" }, Protect { protection }, Unprotect { "service/rota" } };
}

}

TEST_CASE("Operations of every kind are unchanged after conversion to and from wire messages")
{
    for (const auto& operation : operationsOfEveryKind()) {
        auto outcome = Base::capture([&] { return Operator::fromWire(Operator::toWire(operation)); });
        REQUIRE(outcome.isOk());
        CHECK(digest(*outcome.value) == digest(operation));
    }
}

TEST_CASE("Errors for invalid fields of a request contain the path of the field")
{
    auto wire = Operator::toWire(sampleService());
    const auto errorOf = [&] { return Base::captureError([&] { return Operator::fromWire(wire); })->detail; };
    wire.mutable_backend_servers(0)->set_tunnel("nowhere");
    CHECK_THAT(errorOf(), Catch::Contains("service/rota/backend-server/rota-1/tunnel: expected ADDRESS:PORT"));
    wire = Operator::toWire(sampleService());
    wire.set_addresses(0, "198.51.100");
    CHECK_THAT(errorOf(), Catch::Contains("service/rota/addresses: expected an IPv4 address"));
    wire = Operator::toWire(sampleService());
    wire.mutable_port_classes(0)->set_port(65536);
    CHECK_THAT(errorOf(), Catch::Contains("service/rota/port-class/view/port: expected 1 to 65535"));
    wire = Operator::toWire(sampleService());
    wire.mutable_backend_servers(0)->set_state(static_cast<Operator::Wire::BackendServerState>(9));
    CHECK_THAT(errorOf(), Catch::Contains("service/rota/backend-server/rota-1/state: unknown value"));
    CHECK(Base::captureError([] { return Operator::fromWire(Operator::Wire::Operation()); }));
}
