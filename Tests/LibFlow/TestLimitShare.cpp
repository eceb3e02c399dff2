#include <LibFlow/Process/LimitShare.h>
#include <catch2/catch.hpp>

using namespace Flow;
using namespace std::chrono_literals;

namespace {

constexpr EntryVmId peer { 9 };
const LimitShare::Bounds bounds {
    .limits = { .connections = 100, .slots = 2 }, .deadline = 2s, .slotTimeout = 2s, .idleTimeout = 300s
};
const TimePoint start { 1000s };

}

TEST_CASE(
    "A new owner uses nothing before the first grant of its backup, and only its half after the lease", "[limit-share]")
{
    LimitShare share;
    share.setRole(start, LimitShare::Role::Owner, true, bounds);
    CHECK(share.allowed(start + 5s).slots == 0);
    share.setPeerUsage(peer, start, { .connections = 10, .slots = 1 });
    share.extendLease(start);
    CHECK(share.allowed(start + 500ms).connections == 90);
    CHECK(share.allowed(start + 500ms).slots == 1);
    CHECK(share.allowed(start + 1500ms).connections == 50);
}

TEST_CASE("Owner and backup together never use more than the limits", "[limit-share]")
{
    LimitShare owner;
    LimitShare backup;
    owner.setRole(start, LimitShare::Role::Owner, true, bounds);
    backup.setRole(start, LimitShare::Role::Backup, true, bounds);
    for (auto now = start; now < start + 20s; now += 50ms) {
        if (now < start + 8s) {
            backup.grantLease(now, peer);
            backup.setPeerUsage(peer, now, owner.allowed(now));
            owner.extendLease(now);
        }
        CHECK(owner.allowed(now).slots + backup.allowed(now).slots <= 2);
        CHECK(owner.allowed(now).connections + backup.allowed(now).connections <= 100);
    }
}

TEST_CASE("A backup that takes over accounts for the usage of the lost owner", "[limit-share]")
{
    LimitShare share;
    share.setRole(start, LimitShare::Role::Backup, true, bounds);
    share.grantLease(start, peer);
    share.setPeerUsage(peer, start, { .connections = 40, .slots = 1 });
    share.setRole(start + 100ms, LimitShare::Role::Owner, false, bounds);
    share.recordLostPeer(peer, start + 100ms, true);
    CHECK(share.allowed(start + 200ms).slots == 0);
    CHECK(share.allowed(start + 200ms).connections == 0);
    share.applyReportedSlots(start + 300ms, 1, 0);
    CHECK(share.allowed(start + 400ms).slots == 1);
    CHECK(share.allowed(start + 3s).slots == 2);
    CHECK(share.allowed(start + 3s).connections == 60);
}

TEST_CASE("A backup leases its limits to one owner at a time", "[limit-share]")
{
    LimitShare share;
    share.setRole(start, LimitShare::Role::Backup, true, bounds);
    share.grantLease(start, peer);
    CHECK(share.isLeasedToOther(start + 1s, { 8 }));
    CHECK_FALSE(share.isLeasedToOther(start + 1s, peer));
    CHECK_FALSE(share.isLeasedToOther(start + 2s, { 8 }));
}
