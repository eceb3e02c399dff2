// Random schedules of faults, the same for the same seed. Throughout: no node goes back or serves what was not
// accepted, and no lease epoch has two holders. After the faults have ended: every running node holds the newest within
// 9 s.

#include <ControlFakes/FakeFleet.h>
#include <catch2/catch.hpp>
#include <cstdlib>

using Base::milliseconds;
using Base::seconds;
using ControlFakes::FakeFleet;

namespace {

constexpr seconds inForceBound { 9 };

/// Throws random faults at a fleet, several at once.
class FaultSchedule {
public:
    FaultSchedule(FakeFleet& fleet, uint64_t seed)
        : fleet_(fleet)
        , random_(seed)
    {
        fleet_.network.isCut = [this](std::size_t from, std::size_t to) { return isCut(from, to); };
    }

    /// One step: a random event, then some time.
    void step()
    {
        act();
        if (random_.chance(0.5))
            act();
        fleet_.run(milliseconds(100 + random_.below(3000)));
        if (random_.chance(0.4))
            fleet_.acceptChange();
    }

    /// Ends all faults and starts every node that is down.
    void heal()
    {
        cutDomain_.reset();
        oneWayFrom_.reset();
        fleet_.network.loss = 0;
        fleet_.store.faults = {};
        for (std::size_t node = 0; node < fleet_.size(); ++node) {
            if (fleet_.isRunning(node))
                fleet_.resume(node);
            else
                fleet_.start(node);
        }
    }

private:
    bool isCut(std::size_t from, std::size_t to) const
    {
        const bool isAcross = fleet_.domainOf(from) != fleet_.domainOf(to);
        if (cutDomain_ && isAcross && (fleet_.domainOf(from) == *cutDomain_ || fleet_.domainOf(to) == *cutDomain_))
            return true;
        return oneWayFrom_ == from && to % 2 == 0;
    }

    void act()
    {
        const auto node = random_.below(fleet_.size());
        switch (random_.below(10)) {
        case 0:
            fleet_.store.faults.isDown = !fleet_.store.faults.isDown;
            break;
        case 1:
            fleet_.store.faults.responseDelay = milliseconds(random_.chance(0.5) ? 3 : 1200);
            break;
        case 2:
            fleet_.store.faults.responseLossProbability = random_.chance(0.5) ? 0 : 0.4;
            break;
        case 3:
            fleet_.store.faults.losesWatchNotifications = !fleet_.store.faults.losesWatchNotifications;
            break;
        case 4:
            if (fleet_.isRunning(node))
                fleet_.kill(node);
            else
                fleet_.start(node);
            break;
        case 5:
            if (fleet_.isRunning(node))
                fleet_.pause(node, milliseconds(500 + random_.below(14'000)));
            break;
        case 6:
            cutDomain_ = random_.chance(0.5) ? std::nullopt : std::optional(random_.below(3));
            break;
        case 7:
            oneWayFrom_ = random_.chance(0.5) ? std::nullopt : std::optional<std::size_t>(node);
            break;
        case 8:
            fleet_.network.loss = random_.chance(0.5) ? 0 : 0.1;
            break;
        default:
            fleet_.acceptChange();
            break;
        }
    }

    FakeFleet& fleet_;
    Base::Random random_;
    std::optional<std::size_t> cutDomain_;
    std::optional<std::size_t> oneWayFrom_;
};

/// Seeds start here; EELGRASSHATCH_SEED moves them.
uint64_t firstSeed()
{
    const char* text = std::getenv("EELGRASSHATCH_SEED");
    return text ? std::strtoull(text, nullptr, 10) : 0;
}

void runSchedule(uint64_t seed, std::size_t nodes)
{
    CAPTURE(seed, nodes);
    FakeFleet fleet({ .nodes = nodes, .domains = 3, .seed = seed });
    fleet.startAll();
    fleet.acceptChange();
    FaultSchedule schedule(fleet, Base::mix(seed, 77));
    for (int step = 0; step < 25; ++step)
        schedule.step();
    schedule.heal();
    CHECK(fleet.runUntil([&] { return fleet.isInForceEverywhere(); }, inForceBound));
    CHECK(fleet.reverts() == 0);
    CHECK(fleet.epochConflicts() == 0);
}

}

TEST_CASE("Random schedules of faults on a fleet of today's size")
{
    for (uint64_t seed = 1; seed <= 40; ++seed)
        runSchedule(firstSeed() + seed, 4);
}

TEST_CASE("Random schedules of faults on a larger fleet")
{
    for (uint64_t seed = 1; seed <= 12; ++seed)
        runSchedule(firstSeed() + seed, 21);
}
