#pragma once

#include <json/json.h>

#include <shallotcove/core/config_json.hpp>
#include <shallotcove/core/service_config.hpp>
#include <shallotcove/rpc/call_result.hpp>

#include "config_change.hpp"

namespace shallotcove::daemon {

rpc::call_result invalidRequest(const core::config_problems&);

/// The id of the server that was added last at an address; 0 if there is none.
core::backend_server_id newestServerAt(const core::service_config&, const core::socket_address&);

/// Builds the part of an answer that all commands share: revision, isRepeat and index.
template <typename Config>
rpc::call_result commandAnswer(const tl::expected<accepted_change<Config>, rpc::call_failure>& accepted)
{
    if (!accepted)
        return tl::unexpected(accepted.error());
    Json::Value answer(Json::objectValue);
    answer["revision"] = static_cast<Json::UInt64>(accepted->revision);
    answer["isRepeat"] = accepted->isRepeat;
    answer["index"] = static_cast<Json::UInt64>(accepted->index.value);
    return answer;
}

} // namespace shallotcove::daemon
