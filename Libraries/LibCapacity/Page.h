#pragma once

#include <LibCapacity/Model.h>
#include <string>

namespace Capacity {

/// Renders the Markdown table of all rows with their formulas, values for the current and the target deployment, and
/// whether the bound is met. Returns ErrorCode::NotFound if a formula uses a slope that was not measured.
Base::ErrorOr<std::string> renderTable(const Variables& slopes);

/// Returns the page with the text between the two marker lines replaced by the table, or ErrorCode::Malformed if a
/// marker is missing.
Base::ErrorOr<std::string> replaceTable(std::string_view page, std::string_view table);

}
