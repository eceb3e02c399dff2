#include <LibConfiguration/Samples.h>
#include <LibConfiguration/Validation.h>
#include <catch2/catch.hpp>
#include <functional>

using namespace Configuration;
using Base::ErrorCode;

namespace {

/// An invalid value and a text that the error must contain.
struct InvalidValue {
    std::function<void(Service&)> corrupt;
    ErrorCode code;
    std::string path;
};

const std::vector<InvalidValue>& invalidValues()
{
    const std::string server = "service/rota/backend-server/rota-1/";
    const std::string view = "service/rota/port-class/view/";
    static const std::vector<InvalidValue> values {
        { [](Service& service) { service.name = "Rota"; }, ErrorCode::InvalidArgument, "service/Rota/name" },
        { [](Service& service) { service.name = std::string(64, 'a'); }, ErrorCode::InvalidArgument, "/name" },
        { [](Service& service) { service.name = "a/b"; }, ErrorCode::InvalidArgument, "/name" },
        { [](Service& service) { service.addresses.clear(); }, ErrorCode::OutOfRange, "service/rota/addresses" },
        { [](Service& service) { service.addresses[0] = {}; }, ErrorCode::InvalidArgument, "service/rota/addresses" },
        { [](Service& service) { service.addresses.push_back(service.addresses[0]); }, ErrorCode::InvalidArgument,
            "service/rota/addresses/198.51.100.1: stands twice" },
        { [](Service& service) { service.portClasses.clear(); }, ErrorCode::OutOfRange, "service/rota/port-class" },
        { [](Service& service) { service.portClasses.push_back(service.portClasses[0]); }, ErrorCode::InvalidArgument,
            "service/rota/port-class/view: stands twice" },
        { [](Service& service) {
             service.portClasses.push_back(service.portClasses[0]);
             service.portClasses[1].name = "other";
         },
            ErrorCode::InvalidArgument, "service/rota/port-class/other/port: stands twice" },
        { [](Service& service) { service.portClasses[0].port = 0; }, ErrorCode::OutOfRange, view + "port" },
        { [](Service& service) { service.portClasses[0].protocol = static_cast<Protocol>(7); },
            ErrorCode::InvalidArgument, view + "protocol" },
        { [](Service& service) { service.portClasses[0].weight = 0; }, ErrorCode::OutOfRange, view + "weight" },
        { [](Service& service) { service.portClasses[0].weight = 1001; }, ErrorCode::OutOfRange, view + "weight" },
        { [](Service& service) { service.portClasses[0].priority = 16; }, ErrorCode::OutOfRange, view + "priority" },
        { [](Service& service) { service.portClasses[0].slotUse = static_cast<SlotUse>(9); },
            ErrorCode::InvalidArgument, view + "slot-use" },
        { [](Service& service) { service.portClasses[0].deadline = {}; }, ErrorCode::OutOfRange, view + "deadline" },
        { [](Service& service) { service.portClasses[0].deadline = std::chrono::minutes(11); }, ErrorCode::OutOfRange,
            view + "deadline" },
        { [](Service& service) { service.portClasses[0].retryPermille = 1001; }, ErrorCode::OutOfRange,
            view + "retry-permille" },
        { [](Service& service) { service.portClasses[0].idleTimeout = Base::milliseconds(999); }, ErrorCode::OutOfRange,
            view + "idle-timeout" },
        { [](Service& service) { service.backendServers[1].name = "rota-1"; }, ErrorCode::InvalidArgument,
            "service/rota/backend-server/rota-1: stands twice" },
        { [](Service& service) { service.backendServers[1].tunnel = service.backendServers[0].tunnel; },
            ErrorCode::InvalidArgument, "service/rota/backend-server/rota-2/tunnel: stands twice" },
        { [](Service& service) { service.backendServers[0].failureDomain = ""; }, ErrorCode::InvalidArgument,
            server + "failure-domain" },
        { [](Service& service) { service.backendServers[0].failureDomain = "leic"; }, ErrorCode::InvalidArgument,
            server + "failure-domain: expected an existing failure domain" },
        { [](Service& service) { service.backendServers[0].tunnel.port = 0; }, ErrorCode::InvalidArgument,
            server + "tunnel" },
        { [](Service& service) { service.backendServers[0].management = {}; }, ErrorCode::InvalidArgument,
            server + "management" },
        { [](Service& service) { service.backendServers[0].weight = 1001; }, ErrorCode::OutOfRange, server + "weight" },
        { [](Service& service) { service.backendServers[0].slots = 0; }, ErrorCode::OutOfRange, server + "slots" },
        { [](Service& service) { service.backendServers[0].slots = 65536; }, ErrorCode::OutOfRange, server + "slots" },
        { [](Service& service) { service.backendServers[0].connections = 0; }, ErrorCode::OutOfRange,
            server + "connections" },
        { [](Service& service) { service.backendServers[0].connections = 1'000'001; }, ErrorCode::OutOfRange,
            server + "connections" },
        { [](Service& service) { service.backendServers[0].state = static_cast<BackendServerState>(3); },
            ErrorCode::InvalidArgument, server + "state" },
        { [](Service& service) { service.backendServers[0].warmUp = std::chrono::minutes(61); }, ErrorCode::OutOfRange,
            server + "warm-up" },
        { [](Service& service) { service.backendServers[0].id = { 77 }; }, ErrorCode::InvalidArgument, server + "id" },
        { [](Service& service) { service.id = { 77 }; }, ErrorCode::InvalidArgument, "service/rota/id" },
    };
    return values;
}

}

TEST_CASE("Every field of a service is validated and errors contain its path")
{
    const auto snapshot = applied({}, PutFailureDomain { sampleDomain() });
    CHECK_FALSE(
        Base::captureError([&] { return apply(snapshot, nextChange(snapshot, PutService { sampleService() })); }));
    for (const auto& invalid : invalidValues()) {
        auto service = sampleService();
        invalid.corrupt(service);
        const auto error
            = Base::captureError([&] { return apply(snapshot, nextChange(snapshot, PutService { service })); });
        INFO(invalid.path);
        REQUIRE(error);
        CHECK(error->code == invalid.code);
        CHECK_THAT(error->detail, Catch::Contains(invalid.path));
    }
}

TEST_CASE("The limits of every range are valid values")
{
    const auto snapshot = applied({}, PutFailureDomain { sampleDomain() });
    auto service = sampleService();
    service.portClasses[0] = { .name = "a",
        .port = 65535,
        .weight = 1000,
        .priority = 15,
        .deadline = std::chrono::minutes(10),
        .retryPermille = 0,
        .idleTimeout = std::chrono::hours(24) };
    service.backendServers[0].weight = 0;
    service.backendServers[0].slots = 65535;
    service.backendServers[0].connections = 1'000'000;
    service.backendServers[0].warmUp = Base::milliseconds(0);
    service.backendServers[1].weight = 1000;
    service.backendServers[1].warmUp = std::chrono::hours(1);
    CHECK_FALSE(Base::captureError([&] { return apply(snapshot, nextChange(snapshot, PutService { service })); }));
}

TEST_CASE("Two services cannot share an address")
{
    const auto snapshot = sampleSnapshot();
    const auto error = Base::captureError(
        [&] { return apply(snapshot, nextChange(snapshot, PutService { sampleService("sheets", 1, 1) })); });
    REQUIRE(error);
    CHECK_THAT(error->detail, Catch::Contains("service/sheets/addresses/198.51.100.1: belongs to service/rota"));
}

TEST_CASE("A change requires an author, a reason and a request id, and limits their length and the number of overrides")
{
    const auto snapshot = sampleSnapshot();
    const auto errorAfter = [&](const std::function<void(Change&)>& corrupt) {
        auto change = nextChange(snapshot, RemoveService { "rota" });
        corrupt(change);
        return Base::captureError([&] { return apply(snapshot, change); });
    };
    CHECK_THAT(errorAfter([](Change& change) { change.author = ""; })->detail, Catch::Contains("author"));
    CHECK_THAT(errorAfter([](Change& change) { change.reason = ""; })->detail, Catch::Contains("reason"));
    CHECK_THAT(errorAfter([](Change& change) { change.requestId = ""; })->detail, Catch::Contains("request_id"));
    CHECK_THAT(
        errorAfter([](Change& change) { change.requestId.assign(65, 'x'); })->detail, Catch::Contains("1 to 64"));
    CHECK(errorAfter([](Change& change) { change.overrides.resize(257); })->code == ErrorCode::OutOfRange);
}
