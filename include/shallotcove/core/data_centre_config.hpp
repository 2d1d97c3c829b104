#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <shallotcove/core/data_centre_state.hpp>
#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/operation_record.hpp>

namespace shallotcove::core {

/// Value of the key data-centres/<name>.
struct data_centre_config {
    std::string name;
    data_centre_state state { data_centre_state::In };
    std::uint64_t revision {};
    std::vector<operation_record> operations;

    friend bool operator==(const data_centre_config&, const data_centre_config&) = default;
};

} // namespace shallotcove::core
