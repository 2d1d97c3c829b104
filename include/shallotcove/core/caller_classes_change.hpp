#pragma once

#include <string>
#include <vector>

#include <json/json.h>
#include <shallotcove/core/caller_class.hpp>
#include <shallotcove/core/ids.hpp>

namespace shallotcove::core {

/// Parameters of the operator call callerClassesSet.
struct caller_classes_change {
    std::string service;
    std::vector<caller_class> classes;

    friend bool operator==(const caller_classes_change&, const caller_classes_change&) = default;
};

} // namespace shallotcove::core
