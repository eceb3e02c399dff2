#include <LibConfiguration/Difference.h>
#include <LibConfiguration/Samples.h>
#include <catch2/catch.hpp>

using namespace Configuration;
using Base::ErrorCode;

namespace {

/// Returns the error of a change that must be refused, after checking that the snapshot is unchanged.
Base::Error refusalError(const Snapshot& snapshot, const Change& change)
{
    auto state = snapshot;
    auto error = Base::captureError([&] { return applyTo(state, change); });
    REQUIRE(error);
    CHECK(state == snapshot);
    return *error;
}

Base::Error refusalError(const Snapshot& snapshot, const Operation& operation)
{
    return refusalError(snapshot, nextChange(snapshot, operation));
}

Operation putWeight(const std::string& server, uint32_t weight)
{
    auto backendServer = sampleBackendServer(server.back() - '0');
    backendServer.weight = weight;
    return PutBackendServer { "rota", backendServer };
}

Operation protect(const std::string& path, std::optional<Base::WallTime> expiresAt = {})
{
    return Protect { { .path = path, .reason = {}, .author = {}, .since = {}, .expiresAt = expiresAt } };
}

}

TEST_CASE("A change with a non-consecutive revision or an outdated base is refused without effect")
{
    const auto snapshot = sampleSnapshot();
    auto change = nextChange(snapshot, putWeight("rota-1", 5));
    change.revision = { change.revision.value + 1 };
    CHECK(refusalError(snapshot, change).code == ErrorCode::Conflict);
    change = nextChange(snapshot, putWeight("rota-1", 5));
    change.base = { change.base.value - 1 };
    CHECK(refusalError(snapshot, change).code == ErrorCode::Conflict);
    change.base = {};
    CHECK(refusalError(snapshot, change).code == ErrorCode::Conflict);
}

TEST_CASE("A script that has not seen a service's removal cannot recreate the service")
{
    const auto removed = applied(sampleSnapshot(), RemoveService { "rota" });
    auto change = nextChange(removed, PutService { sampleService() });
    change.base = {};
    CHECK(refusalError(removed, change).code == ErrorCode::Conflict);
    const auto recreated = applied(removed, PutService { sampleService() });
    CHECK(recreated.services.at("rota").id.value == 2);
    CHECK(recreated.services.at("rota").backendServers[0].id.value == 3);
    CHECK(recreated.tombstones.empty());
}

TEST_CASE("A backend server keeps its identifier until its tunnel endpoint changes or it is removed")
{
    auto snapshot = sampleSnapshot();
    snapshot = applied(snapshot, putWeight("rota-1", 7));
    CHECK(snapshot.services.at("rota").backendServers[0].id.value == 1);
    auto movedServer = sampleBackendServer(1);
    movedServer.tunnel.port = 7000;
    snapshot = applied(snapshot, PutBackendServer { "rota", movedServer });
    CHECK(snapshot.services.at("rota").backendServers[0].id.value == 3);
    snapshot = applied(snapshot, RemoveBackendServer { "rota", "rota-2" });
    snapshot = applied(snapshot, PutBackendServer { "rota", sampleBackendServer(2) });
    CHECK(snapshot.services.at("rota").backendServers[1].id.value == 4);
}

TEST_CASE("Nonexistent objects cannot be changed, and a failure domain in use cannot be removed")
{
    const auto snapshot = sampleSnapshot();
    CHECK(refusalError(snapshot, RemoveService { "none" }).code == ErrorCode::NotFound);
    CHECK(refusalError(snapshot, RemoveBackendServer { "rota", "none" }).code == ErrorCode::NotFound);
    CHECK(refusalError(snapshot, PutBackendServer { "none", sampleBackendServer(1) }).code == ErrorCode::NotFound);
    CHECK(refusalError(snapshot, RemoveFailureDomain { "none" }).code == ErrorCode::NotFound);
    CHECK(refusalError(snapshot, protect("service/rota/backend-server/none")).code == ErrorCode::NotFound);
    CHECK(refusalError(snapshot, Unprotect { "service/rota" }).code == ErrorCode::NotFound);
    CHECK(refusalError(snapshot, RemoveFailureDomain { "brum" }).code == ErrorCode::InvalidArgument);
}

TEST_CASE("A protected field is changed only by a change that overrides the protection")
{
    const std::string path = "service/rota/backend-server/rota-1/weight";
    const auto snapshot = applied(sampleSnapshot(), protect(path));
    const auto error = refusalError(snapshot, putWeight("rota-1", 5));
    CHECK(error.code == ErrorCode::Protected);
    CHECK_THAT(error.detail, Catch::Contains("(ada, revision 3: test)"));
    CHECK(refusalError(snapshot, PutService { sampleService("rota", 0) }).code == ErrorCode::Protected);
    CHECK(refusalError(snapshot, RemoveService { "rota" }).code == ErrorCode::Protected);
    CHECK(refusalError(snapshot, protect(path)).code == ErrorCode::Protected);
    // Other fields and other backend servers are not protected.
    applied(snapshot, putWeight("rota-2", 5));
    auto draining = sampleBackendServer(1);
    draining.state = BackendServerState::Draining;
    applied(snapshot, PutBackendServer { "rota", draining });

    auto change = nextChange(snapshot, putWeight("rota-1", 5));
    change.overrides = { "service/rota" };
    CHECK(refusalError(snapshot, change).code == ErrorCode::Protected);
    change.overrides = { path };
    auto outcome = Base::capture([&] { return apply(snapshot, change); });
    REQUIRE(outcome.isOk());
    CHECK(outcome.value->protections.size() == 1);
}

TEST_CASE("Protecting an object protects all its fields and prevents its removal")
{
    auto snapshot = applied(sampleSnapshot(), protect("domain/brum"));
    CHECK(refusalError(
              snapshot, PutFailureDomain { { .name = "brum", .region = "midlands", .state = FailureDomainState::Out } })
              .code
        == ErrorCode::Protected);
    snapshot = applied(snapshot, protect("service/rota/backend-server/rota-1"));
    CHECK(refusalError(snapshot, RemoveBackendServer { "rota", "rota-1" }).code == ErrorCode::Protected);
    snapshot = applied(snapshot, Unprotect { "service/rota/backend-server/rota-1" });
    snapshot = applied(snapshot, RemoveBackendServer { "rota", "rota-1" });
    CHECK(snapshot.protections.size() == 1);
}

TEST_CASE("A protection ends at its expiry")
{
    const auto expiry = Base::WallTime(Base::seconds(5000));
    const auto snapshot = applied(sampleSnapshot(), protect("service/rota", expiry));
    auto change = nextChange(snapshot, putWeight("rota-1", 5));
    change.acceptedAt = expiry - Base::milliseconds(1);
    CHECK(refusalError(snapshot, change).code == ErrorCode::Protected);
    change.acceptedAt = expiry;
    CHECK_FALSE(Base::captureError([&] { return apply(snapshot, change); }));
    CHECK(
        refusalError(snapshot, protect("domain/brum", Base::WallTime(Base::seconds(1)))).code == ErrorCode::OutOfRange);
}

TEST_CASE("Adding a protection updates the revision of its object")
{
    const auto snapshot = sampleSnapshot();
    const auto outdatedBase = nextChange(snapshot, putWeight("rota-1", 5)).base;
    const auto protectedOnce = applied(snapshot, protect("service/rota/backend-server/rota-2"));
    auto change = nextChange(protectedOnce, putWeight("rota-1", 5));
    change.base = outdatedBase;
    CHECK(refusalError(protectedOnce, change).code == ErrorCode::Conflict);
}

TEST_CASE("Differences contain each field that an operation alters")
{
    const auto snapshot = sampleSnapshot();
    CHECK(differences(snapshot, PutService { sampleService() }).empty());
    const std::vector<Difference> expected { { "service/rota/backend-server/rota-1/weight", "100", "5" } };
    CHECK(differences(snapshot, putWeight("rota-1", 5)) == expected);
    const auto removal = differences(snapshot, RemoveFailureDomain { "brum" });
    REQUIRE(removal.size() == 2);
    CHECK(removal[0] == Difference { "domain/brum/region", "midlands", std::nullopt });
}

TEST_CASE("Accepted requests are kept for the deduplication window")
{
    auto snapshot = sampleSnapshot();
    CHECK(snapshot.findRequest("request-1")->revision.value == 1);
    auto change = nextChange(snapshot, putWeight("rota-1", 5));
    change.acceptedAt = snapshot.acceptedAt + requestDeduplicationWindow + Base::seconds(1);
    snapshot = *Base::capture([&] { return apply(snapshot, change); }).value;
    CHECK(snapshot.findRequest("request-1") == nullptr);
    CHECK(snapshot.findRequest("request-3")->digest == digest(change.operation));
}

TEST_CASE("The number of accepted requests kept is bounded even if an endpoint's clock does not advance")
{
    Snapshot snapshot;
    for (std::size_t i = 0; i < maximumAcceptedRequests; ++i)
        snapshot.requests.push_back({ "earlier", { 1 }, {}, 0 });
    snapshot.requests.front().requestId = "oldest";
    auto change = nextChange(snapshot, PutFailureDomain { sampleDomain() });
    change.acceptedAt = {};
    REQUIRE_FALSE(Base::captureError([&] { return applyTo(snapshot, change); }));
    CHECK(snapshot.requests.size() == maximumAcceptedRequests);
    CHECK(snapshot.findRequest("oldest") == nullptr);
    CHECK(snapshot.findRequest(change.requestId) != nullptr);
}
