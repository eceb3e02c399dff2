#include <LibOverload/RetryBudget.h>
#include <catch2/catch.hpp>

TEST_CASE("Further attempts are limited to a share of the first ones, for each key alone", "[retry-budget]")
{
    Overload::RetryBudget<int> budget;
    CHECK_FALSE(budget.tryConsume(1));
    for (int attempt = 0; attempt < 10; ++attempt)
        budget.recordFirstAttempt(1, 100);
    CHECK_FALSE(budget.tryConsume(2));
    CHECK(budget.tryConsume(1));
    CHECK_FALSE(budget.tryConsume(1));
    for (int attempt = 0; attempt < 1000; ++attempt)
        budget.recordFirstAttempt(1, 100);
    int allowed = 0;
    while (budget.tryConsume(1))
        ++allowed;
    CHECK(allowed == 10);
}
