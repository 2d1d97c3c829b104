#pragma once

#include <chrono>
#include <string>

namespace shallotcove::steering {

/// Operator configuration of a service.
struct service_rules {
    std::string name;
    /// How long a backend server is cold after its start.
    std::chrono::milliseconds coldAfterStart {};
    /// Limit of new flows per second at a cold backend server over all hosts; 0 for none.
    double coldFlowsPerSecond {};

    friend bool operator==(const service_rules&, const service_rules&) = default;
};

} // namespace shallotcove::steering
