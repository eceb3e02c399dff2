#include <LibBase/Ring.h>
#include <catch2/catch.hpp>

TEST_CASE("A full ring rejects elements and counts them as refused", "[base]")
{
    Base::Ring<int> ring(2);
    CHECK(ring.tryPush(1));
    CHECK(ring.tryPush(2));
    CHECK_FALSE(ring.tryPush(3));
    CHECK(ring.refusedCount() == 1);
    int value = 0;
    REQUIRE(ring.tryPop(value));
    CHECK(value == 1);
}
