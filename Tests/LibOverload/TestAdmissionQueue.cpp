#include <LibOverload/AdmissionQueue.h>
#include <catch2/catch.hpp>

using namespace std::chrono_literals;

namespace {

/// A packet that waits for one server, or for any one of the service (0).
struct Waiting {
    struct SubqueueId {
        int server { 0 };
        int service { 0 };

        auto operator<=>(const SubqueueId&) const = default;
    };

    int key { 0 };
    uint32_t priority { 0 };
    uint32_t weight { 1 };
    Base::TimePoint deadline {};
    int server { 0 };

    SubqueueId subqueueId() const { return { .server = server, .service = 1 }; }
};
using Queue = Overload::AdmissionQueue<Waiting>;

Waiting entry(int key, uint32_t priority, int server = 0)
{
    return { .key = key, .priority = priority, .deadline = Base::TimePoint { 10s }, .server = server };
}

}

TEST_CASE("A full queue evicts the least important entry", "[admission-queue]")
{
    Queue queue(2);
    CHECK_FALSE(queue.push(entry(1, 2)));
    CHECK_FALSE(queue.push(entry(2, 1)));
    CHECK(queue.push(entry(3, 0))->key == 1);
    CHECK(queue.push(entry(4, 5))->key == 4);
    CHECK(queue.size() == 2);
    CHECK(queue.front({ .service = 1 }, 9).front().key == 3);
}

TEST_CASE("Entries of one backend server are not blocked by those of another", "[admission-queue]")
{
    Queue queue(8);
    queue.push(entry(1, 0, 5));
    queue.push(entry(2, 3, 6));
    queue.push(entry(3, 0));
    CHECK(queue.subqueues().size() == 3);
    CHECK(queue.front({ .server = 6, .service = 1 }, 1).front().key == 2);
    CHECK(queue.waitingCount({ .server = 5, .service = 1 }) == 1);
    CHECK(queue.nextDeadline() == Base::TimePoint { 10s });
    CHECK(queue.removeExpired(Base::TimePoint { 10s }).size() == 3);
    CHECK(queue.subqueues().empty());
    CHECK(queue.nextDeadline() == Base::TimePoint::max());
}
