#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <json/json.h>
#include <shallotcove/core/caller_classes_change.hpp>
#include <shallotcove/core/config_json.hpp>
#include <shallotcove/core/flow.hpp>
#include <shallotcove/core/flow_key.hpp>
#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/new_service.hpp>
#include <shallotcove/core/operation_context.hpp>
#include <shallotcove/core/operation_record.hpp>
#include <shallotcove/core/operations.hpp>
#include <shallotcove/core/server_addition.hpp>
#include <shallotcove/core/server_reference.hpp>
#include <shallotcove/core/server_weight_change.hpp>
#include <shallotcove/core/service_config.hpp>
#include <tl/expected.hpp>

namespace shallotcove::core {

struct changes_query {
    /// Exactly one of service and dataCentre is set.
    std::string service;
    std::string dataCentre;
    /// Selects the operations after this revision.
    std::uint64_t sinceRevision {};

    friend bool operator==(const changes_query&, const changes_query&) = default;
};

// Parameters of operator calls. Each parse function reports all problems together, with paths such as
// "request.server.weight"; unknown fields are rejected. src/rpc/operator_schema.json describes the fields.

/// Parses the field `operation` of a call that changes the configuration.
tl::expected<operation_context, config_problems> parseOperationContext(const Json::Value& operation);

/// Parses the request of serviceCreate.
tl::expected<new_service, config_problems> parseServiceCreate(const Json::Value& request);

/// Parses the request of serviceRemove and serviceShow: the service's name.
tl::expected<std::string, config_problems> parseServiceName(const Json::Value& request);

/// Parses the request of serverAdd.
tl::expected<server_addition, config_problems> parseServerAdd(const Json::Value& request);

/// Parses the request of serverDrain, serverUndrain and serverRemove.
tl::expected<server_reference, config_problems> parseServerReference(const Json::Value& request);

/// Parses the request of serverWeight.
tl::expected<server_weight_change, config_problems> parseServerWeight(const Json::Value& request);

/// Parses the request of callerClassesSet.
tl::expected<caller_classes_change, config_problems> parseCallerClassesSet(const Json::Value& request);

/// Parses the request of dataCentreOut and dataCentreIn: the data centre's name.
tl::expected<std::string, config_problems> parseDataCentreName(const Json::Value& request);

/// Parses the request of explainFlow.
tl::expected<flow_key, config_problems> parseExplainFlow(const Json::Value& request);

/// Parses the request of changes.
tl::expected<changes_query, config_problems> parseChanges(const Json::Value& request);

/// Parses the request of watch: the config index after which changes are reported.
tl::expected<config_index, config_problems> parseWatch(const Json::Value& request);

/// Parses the request of calls without fields: serviceList and status.
tl::expected<void, config_problems> parseNoFields(const Json::Value& request);

/// Joins all problems into the message of an InvalidArgument error, one line each.
std::string describeProblems(const config_problems& problems);

/// Configuration of a service for the answer to serviceShow.
Json::Value toJsonValue(const service_config&);

/// Array of operations for the answer to changes.
Json::Value toJsonValue(const std::vector<operation_record>& operations);

} // namespace shallotcove::core
