#include <LibCapacity/Page.h>

#include <array>
#include <cmath>
#include <cstdio>

namespace Capacity {

static constexpr std::string_view beginMarker = "<!-- generated table: begin -->\n";
static constexpr std::string_view endMarker = "<!-- generated table: end -->";
static constexpr double suffixFactor = 1000;

static Variables merged(const Variables& sizes, const Variables& slopes)
{
    auto variables = sizes;
    variables.insert(slopes.begin(), slopes.end());
    return variables;
}

/// Formats a number with three significant digits and, from 1000 on, a suffix k, M or G.
static std::string formatNumber(double value)
{
    static constexpr std::array<const char*, 4> suffixes { "", "k", "M", "G" };
    std::size_t step = 0;
    while (std::abs(value) >= suffixFactor && step + 1 < suffixes.size()) {
        value /= suffixFactor;
        step++;
    }
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%.3g%s", value, suffixes.at(step));
    return text.data();
}

static Base::ErrorOr<std::string> boundCell(const Row& row, const Variables& variables, double value)
{
    if (row.bound.empty())
        return std::string("-");
    TRY_ASSIGN(bound, evaluate(row.bound, variables));
    return formatNumber(bound) + (value <= bound ? ", holds" : ", **missed**");
}

static Base::ErrorOr<std::string> renderRow(const Row& row, const Variables& today, const Variables& target)
{
    TRY_ASSIGN(todayValue, evaluate(row.formula, today));
    TRY_ASSIGN(targetValue, evaluate(row.formula, target));
    TRY_ASSIGN(bound, boundCell(row, target, targetValue));
    std::string line = "| ";
    for (const auto& cell :
        { std::string(row.role), std::string(row.quantity), formatNumber(todayValue) + " " + std::string(row.unit),
            formatNumber(targetValue) + " " + std::string(row.unit), bound, "`" + std::string(row.formula) + "`",
            std::string(row.mechanism), "`" + std::string(row.measuredBy) + "`" })
        line += cell + " | ";
    line.pop_back();
    return line + "\n";
}

Base::ErrorOr<std::string> renderTable(const Variables& slopes)
{
    const auto today = merged(currentDeploymentSizes(), slopes);
    const auto target = merged(targetDeploymentSizes(), slopes);
    std::string table = "| Role | Quantity | Today | Target | Bound | Formula | Mechanism | Measured by |\n"
                        "| --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for (const auto& row : rows()) {
        TRY_ASSIGN(line, renderRow(row, today, target));
        table += line;
    }
    return table;
}

Base::ErrorOr<std::string> replaceTable(std::string_view page, std::string_view table)
{
    const auto begin = page.find(beginMarker);
    const auto end = page.find(endMarker);
    if (begin == std::string_view::npos || end == std::string_view::npos || end < begin)
        return Base::makeError(Base::ErrorCode::Malformed, "the page's markers of the generated table are missing");
    return std::string(page.substr(0, begin + beginMarker.size())) + std::string(table) + std::string(page.substr(end));
}

}
