#include "Table.h"
#include <LibBase/Verify.h>
#include <algorithm>
#include <array>
#include <ctime>

namespace ControlTool {

Table::Table(std::vector<std::string> heading) { rows_.push_back(std::move(heading)); }

void Table::addRow(std::vector<std::string> cells)
{
    VERIFY(cells.size() == rows_.front().size());
    rows_.push_back(std::move(cells));
}

std::string Table::text() const
{
    std::vector<std::size_t> widths(rows_.front().size(), 0);
    for (const auto& row : rows_) {
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::string text;
    for (const auto& row : rows_) {
        for (std::size_t i = 0; i + 1 < row.size(); ++i)
            text += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
        text += row.back() + "\n";
    }
    return text;
}

std::string formatTime(uint64_t milliseconds)
{
    if (milliseconds == 0)
        return "-";
    constexpr uint64_t millisecondsPerSecond = 1000;
    const auto seconds = static_cast<std::time_t>(milliseconds / millisecondsPerSecond);
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> buffer {};
    const auto length = std::strftime(buffer.data(), buffer.size(), "%Y-%m-%d %H:%M:%SZ", &parts);
    return { buffer.data(), length };
}

}
