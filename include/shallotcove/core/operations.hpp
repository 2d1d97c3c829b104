#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <shallotcove/core/caller_class.hpp>
#include <shallotcove/core/data_centre_config.hpp>
#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/ip_address.hpp>
#include <shallotcove/core/new_service.hpp>
#include <shallotcove/core/operation_context.hpp>
#include <shallotcove/core/operation_error.hpp>
#include <shallotcove/core/operation_failure.hpp>
#include <shallotcove/core/operation_result.hpp>
#include <shallotcove/core/service_config.hpp>
#include <tl/expected.hpp>

namespace shallotcove::core {

using service_result = tl::expected<operation_result<service_config>, operation_failure>;

using data_centre_result = tl::expected<operation_result<data_centre_config>, operation_failure>;

/// Field `server` of the operator call serverAdd.
struct new_server {
    std::string dataCentre;
    socket_address address;
    std::uint32_t weight { 100 };
    std::uint32_t coldNewFlowsPerSecond { 10 };
    std::uint32_t newFlowsPerSecond {};

    friend bool operator==(const new_server&, const new_server&) = default;
};

// Each function checks its arguments, the operation id and the expected revision, and returns the new value.
// None of them changes the epochs: the planner derives these from the servers and their states.

service_result createService(const std::optional<service_config>& current, const new_service&,
    service_id newId, const operation_context&);

service_result removeService(const service_config& current, const operation_context&);

service_result addServer(const service_config& current, const new_server&, const operation_context&);

service_result drainServer(const service_config& current, backend_server_id, const operation_context&);

service_result undrainServer(const service_config& current, backend_server_id, const operation_context&);

service_result removeServer(const service_config& current, backend_server_id, const operation_context&);

service_result setServerWeight(
    const service_config& current, backend_server_id, std::uint32_t weight, const operation_context&);

service_result setCallerClasses(
    const service_config& current, const std::vector<caller_class>&, const operation_context&);

data_centre_result setDataCentreState(const std::optional<data_centre_config>& current,
    const std::string& name, data_centre_state, const operation_context&);

} // namespace shallotcove::core
