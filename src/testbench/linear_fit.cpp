#include "linear_fit.hpp"

#include <algorithm>
#include <cmath>

namespace shallotcove::testbench {

linear_fit fitLine(const std::vector<std::pair<double, double>>& points)
{
    const double count = static_cast<double>(points.size());
    double sumX = 0;
    double sumY = 0;
    for (const std::pair<double, double>& point : points) {
        sumX += point.first;
        sumY += point.second;
    }
    double covariance = 0;
    double variance = 0;
    for (const std::pair<double, double>& point : points) {
        covariance += (point.first - sumX / count) * (point.second - sumY / count);
        variance += (point.first - sumX / count) * (point.first - sumX / count);
    }
    linear_fit fit;
    fit.slope = covariance / variance;
    fit.intercept = sumY / count - fit.slope * sumX / count;
    double largestValue = 0;
    double largestDistance = 0;
    for (const std::pair<double, double>& point : points) {
        largestValue = std::max(largestValue, std::abs(point.second));
        largestDistance = std::max(largestDistance, std::abs(point.second - fit.at(point.first)));
    }
    fit.largestResidual = largestValue == 0 ? 0 : largestDistance / largestValue;
    return fit;
}

} // namespace shallotcove::testbench
