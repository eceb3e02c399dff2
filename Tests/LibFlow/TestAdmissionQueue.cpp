#include <LibFlow/Request/AdmissionQueue.h>
#include <catch2/catch.hpp>

using namespace Flow;
using namespace std::chrono_literals;

namespace {

AdmissionQueue::Entry entry(uint16_t port, uint32_t priority, BackendServerId server = {})
{
    return { .key = { .caller = { .port = port } },
        .token = port,
        .service = { 1 },
        .priority = priority,
        .deadline = TimePoint { 10s },
        .backendServer = server };
}

}

TEST_CASE("A full queue evicts the least important entry", "[admission-queue]")
{
    AdmissionQueue queue(2);
    CHECK_FALSE(queue.push(entry(1, 2)));
    CHECK_FALSE(queue.push(entry(2, 1)));
    CHECK(queue.push(entry(3, 0))->token == 1);
    CHECK(queue.push(entry(4, 5))->token == 4);
    CHECK(queue.size() == 2);
    CHECK(queue.front({ .service = { 1 } }, 9).front().token == 3);
}

TEST_CASE("Entries of one backend server are not blocked by those of another", "[admission-queue]")
{
    AdmissionQueue queue(8);
    queue.push(entry(1, 0, { 5 }));
    queue.push(entry(2, 3, { 6 }));
    queue.push(entry(3, 0));
    CHECK(queue.subqueues().size() == 3);
    CHECK(queue.front({ .backendServer = { 6 }, .service = { 1 } }, 1).front().token == 2);
    CHECK(queue.waitingCount({ 1 }, { 5 }) == 1);
    CHECK(queue.removeExpired(TimePoint { 10s }).size() == 3);
    CHECK(queue.subqueues().empty());
}
