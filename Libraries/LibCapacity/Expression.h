#pragma once

#include <LibBase/Error.h>
#include <map>
#include <string>
#include <string_view>

namespace Capacity {

/// The variables of formulas, by name: the sizes of a deployment and the measured figures (slopes).
using Variables = std::map<std::string, double, std::less<>>;

/// Evaluates a formula of numbers, variable names (letters, digits, '_' and '.'), + - * / and parentheses. Returns
/// ErrorCode::Malformed with the position if the formula cannot be parsed, and NotFound with the name of an unknown
/// variable.
Base::ErrorOr<double> evaluate(std::string_view formula, const Variables&);

}
