#pragma once
#include <shallotcove/steering/flow_address.hpp>

namespace shallotcove::steering {

/// Content of an item that marks a data centre as taken out of service. The item carries no further data.
struct data_centre_out {
    friend bool operator==(const data_centre_out&, const data_centre_out&) = default;
};

} // namespace shallotcove::steering
