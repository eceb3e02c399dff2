#include "SlopeSeries.h"

namespace Measure {

static std::string sizeText(double size) { return std::to_string(static_cast<uint64_t>(size)); }

void reportSeries(const SlopeSeries& series, Report& report)
{
    std::vector<Sample> samples;
    samples.reserve(series.sizes.size());
    for (const auto size : series.sizes) {
        samples.push_back({ .size = size, .quantity = series.measure(size) });
        report.figure("slope." + series.name + "." + sizeText(size), samples.back().quantity, series.unit);
    }
    const auto fit = fitSamples(samples);
    report.note("slope." + series.name + " by " + series.sizeOf + ": " + std::string(toString(fit.growth)));
    report.figure("slope." + series.name + ".intercept", fit.intercept, series.unit);
    report.figure("slope." + series.name + ".slope", fit.slope, series.unit);
    report.figure("slope." + series.name + ".residual", fit.relativeResidual, "ratio");
}

int measureSlopes(const Request& request, Report& report)
{
    for (const auto& makeSeries : { configurationSeries, flowSeries, controlSeries }) {
        for (const auto& series : makeSeries(request.seed))
            reportSeries(series, report);
    }
    return 0;
}

}
