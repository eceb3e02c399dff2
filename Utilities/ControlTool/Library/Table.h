#pragma once

#include <string>
#include <vector>

namespace ControlTool {

/// A text table whose columns are as wide as their widest cell.
class Table {
public:
    explicit Table(std::vector<std::string> heading);

    /// Adds a row, which must have as many cells as the heading.
    void addRow(std::vector<std::string>);
    /// The heading and the rows, one per line.
    std::string text() const;

private:
    std::vector<std::vector<std::string>> rows_;
};

/// Formats milliseconds since the epoch as "2026-12-04 06:54:36Z"; "-" for 0.
std::string formatTime(uint64_t milliseconds);

}
