#pragma once

#include <chrono>
#include <string>

namespace shallotcove::steering {

/// What operators say of a service.
struct service_rules {
    std::string name;
    /// How long a backend server is cold after its start.
    std::chrono::milliseconds coldAfterStart {};
    /// Flows per second that a cold backend server bears over all hosts; 0 for no bound.
    double coldFlowsPerSecond {};

    friend bool operator==(const service_rules&, const service_rules&) = default;
};

} // namespace shallotcove::steering
