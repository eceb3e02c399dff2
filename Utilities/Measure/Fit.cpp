#include "Fit.h"

#include <LibBase/Verify.h>
#include <cmath>

namespace Measure {

/// A more complex growth is chosen only if its residual is below this fraction of the simpler growth's residual.
static constexpr double maximumResidualFraction = 0.5;

std::string_view toString(Growth growth)
{
    switch (growth) {
    case Growth::Constant:
        return "constant";
    case Growth::Logarithmic:
        return "logarithmic";
    case Growth::Linear:
        return "linear";
    }
    return "unknown";
}

static double basis(Growth growth, double size)
{
    switch (growth) {
    case Growth::Constant:
        return 0;
    case Growth::Logarithmic:
        return std::log2(size);
    case Growth::Linear:
        return size;
    }
    return 0;
}

double Fit::at(double size) const { return intercept + slope * basis(growth, size); }

static double meanOf(const std::vector<Sample>& samples, double Sample::*member)
{
    double sum = 0;
    for (const auto& sample : samples)
        sum += sample.*member;
    return sum / static_cast<double>(samples.size());
}

static double residualOf(const std::vector<Sample>& samples, const Fit& fit)
{
    double sum = 0;
    for (const auto& sample : samples) {
        const double difference = sample.quantity - fit.at(sample.size);
        sum += difference * difference;
    }
    const double mean = std::abs(meanOf(samples, &Sample::quantity));
    return mean > 0 ? std::sqrt(sum / static_cast<double>(samples.size())) / mean : 0;
}

static Fit fitGrowth(const std::vector<Sample>& samples, Growth growth)
{
    std::vector<Sample> transformed;
    transformed.reserve(samples.size());
    for (const auto& sample : samples)
        transformed.push_back({ .size = basis(growth, sample.size), .quantity = sample.quantity });
    const double meanSize = meanOf(transformed, &Sample::size);
    const double meanQuantity = meanOf(transformed, &Sample::quantity);
    double covariance = 0;
    double variance = 0;
    for (const auto& sample : transformed) {
        covariance += (sample.size - meanSize) * (sample.quantity - meanQuantity);
        variance += (sample.size - meanSize) * (sample.size - meanSize);
    }
    Fit fit { .growth = growth, .slope = variance > 0 ? covariance / variance : 0 };
    fit.intercept = meanQuantity - fit.slope * meanSize;
    fit.relativeResidual = residualOf(samples, fit);
    return fit;
}

Fit fitSamples(const std::vector<Sample>& samples)
{
    VERIFY(samples.size() >= 2);
    auto best = fitGrowth(samples, Growth::Constant);
    for (const auto growth : { Growth::Logarithmic, Growth::Linear }) {
        const auto candidate = fitGrowth(samples, growth);
        if (candidate.relativeResidual < best.relativeResidual * maximumResidualFraction)
            best = candidate;
    }
    return best;
}

}
