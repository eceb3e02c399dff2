#pragma once

#include <string_view>
#include <vector>

namespace Measure {

/// One measured size and the quantity at that size.
struct Sample {
    double size { 0 };
    double quantity { 0 };
};

/// How a quantity grows with size.
enum class Growth : unsigned char {
    Constant,
    Logarithmic,
    Linear,
};

std::string_view toString(Growth);

/// Least-squares fit: quantity = intercept + slope * basis(size).
struct Fit {
    Growth growth { Growth::Constant };
    double intercept { 0 };
    double slope { 0 };
    /// Root mean square error, divided by the mean quantity.
    double relativeResidual { 0 };

    /// Returns the fitted quantity at a size.
    double at(double size) const;
};

/// Returns the best fit of at least two samples. Logarithmic or linear growth is chosen only if it at least halves
/// the residual of the best fit so far, starting with constant growth.
Fit fitSamples(const std::vector<Sample>&);

}
