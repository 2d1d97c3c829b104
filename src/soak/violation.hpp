#pragma once

#include <string>

#include <shallotcove/core/time.hpp>

#include "promise.hpp"

namespace shallotcove::soak {

/// A promise that was broken, as observed by callers, servers or the operator.
struct violation {
    promise broken {};
    core::timestamp at;
    std::string text;

    friend bool operator==(const violation&, const violation&) = default;
};

} // namespace shallotcove::soak
