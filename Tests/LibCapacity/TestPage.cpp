#include <LibCapacity/Page.h>
#include <LibCapacity/SlopeFile.h>
#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

static std::string readFile(const char* path)
{
    std::ifstream file(path);
    REQUIRE(file);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

TEST_CASE("The committed capacity page matches its formulas and the committed slopes", "[capacity]")
{
    const auto page = readFile("docs/CAPACITY.md");
    const auto updated = Base::capture([&]() -> Base::ErrorOr<std::string> {
        TRY_ASSIGN(slopes, Capacity::parseSlopes(readFile("docs/slopes.txt")));
        TRY_ASSIGN(table, Capacity::renderTable(slopes));
        return Capacity::replaceTable(page, table);
    });
    INFO(updated.error.detail);
    REQUIRE(updated.isOk());
    CHECK(*updated.value == page);
}

TEST_CASE("The table marks a bound that is missed", "[capacity]")
{
    auto slopes = Base::capture([] { return Capacity::parseSlopes(readFile("docs/slopes.txt")); });
    REQUIRE(slopes.isOk());
    (*slopes.value)["slope.control_processor.3400"] = 1.0;
    const auto table = Base::capture([&] { return Capacity::renderTable(*slopes.value); });
    REQUIRE(table.isOk());
    CHECK(table.value->find("0.019, **missed**") != std::string::npos);
}

TEST_CASE("Slope files with malformed lines are refused", "[capacity]")
{
    CHECK(Base::capture([] { return Capacity::parseSlopes("# note\nFIGURE a 1 B\n"); }).isOk());
    CHECK(Base::capture([] { return Capacity::parseSlopes("FIGURE a\n"); }).error.code == Base::ErrorCode::Malformed);
    CHECK(Base::capture([] { return Capacity::parseSlopes("a 1\n"); }).error.code == Base::ErrorCode::Malformed);
}

TEST_CASE("A page without markers is refused", "[capacity]")
{
    CHECK(
        Base::capture([] { return Capacity::replaceTable("text", "table"); }).error.code == Base::ErrorCode::Malformed);
}
