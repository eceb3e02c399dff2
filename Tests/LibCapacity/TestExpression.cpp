#include <LibCapacity/Expression.h>
#include <catch2/catch.hpp>

using Capacity::evaluate;

static const Capacity::Variables variables { { "nodes", 4 }, { "slope.flow_bytes.500000", 40 } };

static Base::Outcome<double> evaluationOutcome(std::string_view formula)
{
    return Base::capture([&] { return evaluate(formula, variables); });
}

TEST_CASE("Formulas follow the usual rules of operator precedence and parentheses", "[capacity]")
{
    CHECK(*evaluationOutcome("2 + 3 * nodes").value == Approx(14));
    CHECK(*evaluationOutcome("(2 + 3) * nodes").value == Approx(20));
    CHECK(*evaluationOutcome("8 / nodes / 2 - 1").value == Approx(0));
    CHECK(*evaluationOutcome("slope.flow_bytes.500000 * 1.5").value == Approx(60));
}

TEST_CASE("Malformed formulas and unknown variables are errors", "[capacity]")
{
    for (const auto* formula : { "", "2 +", "(2", "2 3", "* 2", "2 $ 3" }) {
        INFO(formula);
        CHECK(evaluationOutcome(formula).error.code == Base::ErrorCode::Malformed);
    }
    CHECK(evaluationOutcome("2 * nods").error.code == Base::ErrorCode::NotFound);
}
