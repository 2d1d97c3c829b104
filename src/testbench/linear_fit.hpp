#pragma once

#include <utility>
#include <vector>

namespace shallotcove::testbench {

/// A least-squares line through measured points.
struct linear_fit {
    double slope {};
    double intercept {};
    /// Largest distance of a point from the line, relative to the largest measured value.
    double largestResidual {};

    double at(double x) const { return intercept + slope * x; }
};

/// Fits a line through (x, y) points. Requires at least two different values of x.
linear_fit fitLine(const std::vector<std::pair<double, double>>& points);

} // namespace shallotcove::testbench
