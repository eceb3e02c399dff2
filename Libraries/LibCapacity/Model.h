#pragma once

#include <LibCapacity/Expression.h>
#include <span>
#include <string_view>

namespace Capacity {

/// One row of the capacity page: the demand of a role for one resource.
struct Row {
    std::string_view role;
    std::string_view quantity;
    /// Formula of the demand; its variables are the sizes of the deployment and the slopes.
    std::string_view formula;
    std::string_view unit;
    /// Formula of the upper limit; empty if there is none.
    std::string_view bound;
    /// The part of the product that determines the demand.
    std::string_view mechanism;
    /// The command that measures the slopes.
    std::string_view measuredBy;
};

/// All rows in the order of the page.
std::span<const Row> rows();

/// Sizes of the deployment targeted within two years.
Variables targetDeploymentSizes();

/// Sizes of one current deployment.
Variables currentDeploymentSizes();

}
