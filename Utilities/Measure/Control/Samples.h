#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace Measure {

/// A set of samples and its order statistics.
class Samples {
public:
    void add(double value) { values_.push_back(value); }
    bool isEmpty() const { return values_.empty(); }

    /// Returns the value that the given share of the samples does not exceed, or zero if there are no samples.
    double quantile(double share)
    {
        if (values_.empty())
            return 0;
        std::sort(values_.begin(), values_.end());
        const auto index = static_cast<std::size_t>(share * static_cast<double>(values_.size()));
        return values_[std::min(index, values_.size() - 1)];
    }

    double worst() { return quantile(1); }

private:
    std::vector<double> values_;
};

}
