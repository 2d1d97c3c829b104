#pragma once
#include <shallotcove/steering/flow_address.hpp>

namespace shallotcove::steering {

/// The item marks a data centre as taken out; it has no content.
struct data_centre_out {
    friend bool operator==(const data_centre_out&, const data_centre_out&) = default;
};

} // namespace shallotcove::steering
