// Random fault schedules, reproducible by seed. At any time: no node reverts to an older configuration or enforces one
// that was not accepted, and no lease epoch has two holders. Within 9 s after the faults have ended: every running node
// has the newest revision in force.

#include <ControlFakes/FakeFleet.h>
#include <catch2/catch.hpp>
#include <cstdlib>

using Base::milliseconds;
using Base::seconds;
using ControlFakes::FakeFleet;

namespace {

constexpr seconds convergenceTimeout { 9 };

/// Injects random faults into a fleet, several at a time.
class FaultSchedule {
public:
    FaultSchedule(FakeFleet& fleet, uint64_t seed)
        : fleet_(fleet)
        , random_(seed)
    {
        fleet_.network.isCut = [this](std::size_t from, std::size_t to) { return isCut(from, to); };
    }

    /// Injects one or two random faults, advances the time by a random duration of 0.1 to 3.1 s, and sometimes accepts
    /// a change.
    void step()
    {
        injectFault();
        if (random_.chance(0.5))
            injectFault();
        fleet_.run(milliseconds(100 + random_.below(3000)));
        if (random_.chance(0.4))
            fleet_.acceptChange();
    }

    /// Ends all faults and starts every node that is not running.
    void endFaults()
    {
        partitionedDomain_.reset();
        oneWayLossFrom_.reset();
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
        if (partitionedDomain_ && isAcross
            && (fleet_.domainOf(from) == *partitionedDomain_ || fleet_.domainOf(to) == *partitionedDomain_))
            return true;
        return oneWayLossFrom_ == from && to % 2 == 0;
    }

    void injectFault()
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
            partitionedDomain_ = random_.chance(0.5) ? std::nullopt : std::optional(random_.below(3));
            break;
        case 7:
            oneWayLossFrom_ = random_.chance(0.5) ? std::nullopt : std::optional<std::size_t>(node);
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
    std::optional<std::size_t> partitionedDomain_;
    std::optional<std::size_t> oneWayLossFrom_;
};

/// Offset of the seeds, set by EELGRASSHATCH_SEED.
uint64_t seedOffset()
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
    schedule.endFaults();
    CHECK(fleet.runUntil([&] { return fleet.isInForceEverywhere(); }, convergenceTimeout));
    CHECK(fleet.reverts() == 0);
    CHECK(fleet.epochConflicts() == 0);
}

}

TEST_CASE("A fleet of four nodes recovers from random fault schedules")
{
    for (uint64_t seed = 1; seed <= 40; ++seed)
        runSchedule(seedOffset() + seed, 4);
}

TEST_CASE("A fleet of 21 nodes recovers from random fault schedules")
{
    for (uint64_t seed = 1; seed <= 12; ++seed)
        runSchedule(seedOffset() + seed, 21);
}
