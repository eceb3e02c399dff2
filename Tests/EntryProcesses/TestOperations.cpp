// Checks that the commands of docs/OPERATIONS.md lead from three kinds of failed requests to their causes.

#include "SimulatedFleet.h"

#include <catch2/catch.hpp>

namespace {

constexpr Base::milliseconds conditionTimeout { 10'000 };
/// Shell commands pause the simulated network, so the logs are checked rarely.
constexpr Base::milliseconds logPollInterval { 2000 };

std::string readPage()
{
    std::ifstream file("docs/OPERATIONS.md");
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Returns the page's command that begins with the given text, with the page's example replaced; empty if there is
/// none.
std::string documented(const std::string& begin, const std::string& example = {}, const std::string& actual = {})
{
    const auto page = readPage();
    const auto place = page.find("\n$ " + begin);
    if (place == std::string::npos)
        return {};
    auto command = page.substr(place + 3, page.find('\n', place + 1) - place - 3);
    if (const auto found = command.find(example); !example.empty() && found != std::string::npos)
        command.replace(found, example.size(), actual);
    return command;
}

bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

}

TEST_CASE("the documented commands trace a refused connection to the operators' evacuation")
{
    SimulatedFleet fleet({ .seed = 3, .entryVmsPerZone = 1, .serversPerZone = 3 });
    for (const auto& zone : fleet.deployment().zones())
        fleet.deployment().records().put("op/evacuate/" + zone, "{}");
    REQUIRE(fleet.runUntil(conditionTimeout, [&] { return fleet.invariants().lastReset().port != 0; }));
    const auto caller = fleet.invariants().lastReset().toString();
    fleet.runFor(Base::milliseconds(500));
    const auto refused = fleet.shell(documented("flow ", "100.65.0.29:1039", caller));
    INFO(refused);
    CHECK(contains(refused, "\"name\":\"flow_refused\""));
    CHECK(contains(refused, "\"reason\":\"no_server\""));
    const auto changes = fleet.shell(documented("grep -hE '\"event\":(5020"));
    INFO(changes);
    for (const auto& zone : fleet.deployment().zones())
        CHECK(contains(changes, "\"failure_domain\":\"" + zone + "\",\"evacuated\":true"));
}

TEST_CASE("the documented commands trace repeated connection attempts to the crashed server")
{
    SimulatedFleet fleet({ .seed = 4, .entryVmsPerZone = 1, .serversPerZone = 4 });
    auto& server = *fleet.deployment().servers()[1];
    REQUIRE(server.options().service == "rota");
    server.crash(fleet.deployment().loop().now());
    const auto offered = [&] { return fleet.shell(documented("grep -h '\"event\":5002'")); };
    CHECK(fleet.runUntil(
        conditionTimeout, [&] { return contains(offered(), "\"what\":\"reoffered\""); }, logPollInterval));
    const auto mostAffected = [&] {
        return fleet.shell(documented("jq -r 'select(.event==5001)") + "\n" + documented("jq -r 'select(.event==5002)")
            + " | sort -rn | head -1");
    };
    const auto digits = server.options().id.substr(2);
    CHECK(fleet.runUntil(
        conditionTimeout, [&] { return contains(mostAffected(), digits); }, logPollInterval));
}

TEST_CASE("the documented commands trace an unanswered request to the server that holds its flow")
{
    SimulatedFleet fleet({ .seed = 5, .entryVmsPerZone = 1, .serversPerZone = 3 });
    // The crashed server still holds flows but no longer responds.
    auto& server = *fleet.deployment().servers()[1];
    REQUIRE(server.options().service == "rota");
    server.crash(fleet.deployment().loop().now());
    fleet.invariants().markAllDisturbed(fleet.deployment().loop().now());
    const auto unanswered = [&]() -> std::string {
        for (const auto& request : fleet.invariants().failures()) {
            if (contains(fleet.shell(documented("grep -h '\"request\":\"", "369191acba7b873d", request)), "forwarded"))
                return request;
        }
        return {};
    };
    REQUIRE(fleet.runUntil(
        conditionTimeout, [&] { return !unanswered().empty(); }, logPollInterval));
    const auto lines = fleet.shell(documented("grep -h '\"request\":\"", "369191acba7b873d", unanswered()));
    INFO(lines);
    const auto digits = server.options().id.substr(2);
    CHECK(contains(lines, "\"server\":\"" + digits + "\""));
    fleet.deployment().removeServer(server);
    fleet.runFor(Base::milliseconds(1000));
    const auto history = fleet.shell(documented("grep -h '\"server\":\"", "9046ff59e0", digits));
    INFO(history);
    CHECK(contains(history, "backend_server_unlisted"));
    CHECK_FALSE(contains(history, "draining"));
}
