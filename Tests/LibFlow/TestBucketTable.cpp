#include <LibFlow/Version/BucketTable.h>
#include <algorithm>
#include <catch2/catch.hpp>

using namespace Flow;

namespace {

std::vector<BucketTable::Share> shares(uint32_t count, uint32_t weight = 100)
{
    std::vector<BucketTable::Share> all;
    for (uint32_t id = 1; id <= count; ++id)
        all.push_back({ .backendServer = { id }, .weight = weight });
    return all;
}

std::size_t bucketsOf(const BucketTable& table, uint32_t id)
{
    std::size_t count = 0;
    for (uint32_t bucket = 0; bucket < table.bucketCount(); ++bucket)
        count += table.target(bucket).value == id ? 1 : 0;
    return count;
}

std::size_t moves(const BucketTable& before, const BucketTable& after)
{
    std::size_t count = 0;
    for (uint32_t bucket = 0; bucket < after.bucketCount(); ++bucket)
        count += before.target(bucket) != after.target(bucket) ? 1 : 0;
    return count;
}

}

TEST_CASE("Each backend server gets its share of buckets to within one bucket", "[bucket-table]")
{
    auto weighted = shares(14);
    weighted[3].weight = 30;
    weighted[5].weight = 0;
    BucketTable table({ 7 }, weighted);
    REQUIRE(table.bucketCount() == 512);
    double unit = 512.0 / (12 * 100 + 30);
    for (const auto& share : weighted)
        CHECK(bucketsOf(table, share.backendServer.value) == Approx(unit * share.weight).margin(1));
}

TEST_CASE("The bucket table does not depend on the order of the shares", "[bucket-table]")
{
    auto forward = shares(9);
    auto backward = forward;
    std::reverse(backward.begin(), backward.end());
    CHECK(BucketTable({ 3 }, forward) == BucketTable({ 3 }, backward));
    CHECK_FALSE(BucketTable({ 3 }, forward) == BucketTable({ 4 }, forward));
}

TEST_CASE("Removing one backend server moves few buckets of others", "[bucket-table]")
{
    auto before = shares(14);
    auto after = before;
    after[4].weight = 0;
    BucketTable first({ 1 }, before);
    BucketTable second({ 1 }, after);
    CHECK(moves(first, second) <= 3 * bucketsOf(first, 5));
}

TEST_CASE("A service whose weights are all zero has no buckets", "[bucket-table]")
{
    CHECK(BucketTable({ 1 }, shares(3, 0)).bucketCount() == 0);
    CHECK_FALSE(BucketTable({ 1 }, {}).lookUp(42).isValid());
}
