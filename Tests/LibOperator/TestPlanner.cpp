#include "../LibConfiguration/Samples.h"
#include <LibOperator/Explanation.h>
#include <LibOperator/Planner.h>
#include <catch2/catch.hpp>

using namespace Configuration;

TEST_CASE("A plan applies its operations in order and does not modify the snapshot")
{
    const auto snapshot = sampleSnapshot();
    const auto planned = Operator::plan(snapshot, {},
        { PutFailureDomain { sampleDomain("notts") }, PutBackendServer { "rota", sampleBackendServer(3, "notts") },
            PutBackendServer { "rota", sampleBackendServer(4, "leic") }, RemoveService { "sheets" } },
        {});
    REQUIRE(planned.size() == 4);
    CHECK(planned[0].outcome == Outcome::Accepted);
    CHECK(planned[1].outcome == Outcome::Accepted);
    CHECK(planned[1].baseRevision.value == 2);
    CHECK(planned[1].differences.size() == 8);
    CHECK(planned[2].outcome == Outcome::Invalid);
    CHECK(planned[3].outcome == Outcome::NotFound);
}

TEST_CASE("A plan reports operations that a protection forbids unless the protection is overridden")
{
    const auto snapshot = applied(sampleSnapshot(), Protect { { .path = "service/rota" } });
    const std::vector<Configuration::Operation> operations { RemoveService { "rota" } };
    CHECK(Operator::plan(snapshot, {}, operations, {})[0].outcome == Outcome::Protected);
    CHECK(
        Operator::plan(snapshot, {}, operations, { .overrides = { "service/rota" } })[0].outcome == Outcome::Accepted);
}

TEST_CASE("Each field is attributed to the newest change that altered it")
{
    const auto snapshot = sampleSnapshot();
    Change creation { .revision = { 1 }, .author = "ada" };
    Change weight { .revision = { 2 }, .author = "bob" };
    weight.differences = { { "service/rota/backend-server/rota-1/weight", "50", "100" } };
    const auto fields = Operator::fieldsWithin(snapshot, "service/rota/backend-server/rota-1");
    CHECK(fields.size() == 8);
    const auto explained = Operator::explain(fields, { .changes = { weight, creation }, .isTruncated = false });
    for (const auto& field : explained) {
        REQUIRE(field.setBy);
        CHECK(field.setBy->author == (field.path.ends_with("/weight") ? "bob" : "ada"));
    }
    const auto truncated = Operator::explain(fields, { .changes = { weight }, .isTruncated = true });
    CHECK_FALSE(truncated[0].setBy);
    CHECK(Operator::fieldsWithin(snapshot, "service/none").empty());
}
