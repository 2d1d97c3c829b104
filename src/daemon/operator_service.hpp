#pragma once

#include <functional>
#include <string>

#include <shallotcove/core/operation_json.hpp>
#include <shallotcove/daemon/event_log.hpp>
#include <shallotcove/daemon/metrics.hpp>
#include <shallotcove/rpc/operator_handler.hpp>

#include "config_commands.hpp"
#include "operator_answers.hpp"
#include "operator_queries.hpp"
#include "operator_store.hpp"

namespace shallotcove::daemon {

/// Implements the operator calls; they arrive on the operator thread. Commands are logged and counted,
/// queries only counted.
class operator_service final : public rpc::operator_handler {
public:
    operator_service(channels&, event_log&, metrics&, const host_description&, operator_store_options);

    rpc::call_result serviceCreate(const Json::Value& operation, const Json::Value& request) override;
    rpc::call_result serviceRemove(const Json::Value& operation, const Json::Value& request) override;
    rpc::call_result serverAdd(const Json::Value& operation, const Json::Value& request) override;
    rpc::call_result serverDrain(const Json::Value& operation, const Json::Value& request) override;
    rpc::call_result serverUndrain(const Json::Value& operation, const Json::Value& request) override;
    rpc::call_result serverRemove(const Json::Value& operation, const Json::Value& request) override;
    rpc::call_result serverWeight(const Json::Value& operation, const Json::Value& request) override;
    rpc::call_result callerClassesSet(const Json::Value& operation, const Json::Value& request) override;
    rpc::call_result dataCentreOut(const Json::Value& operation, const Json::Value& request) override;
    rpc::call_result dataCentreIn(const Json::Value& operation, const Json::Value& request) override;

    rpc::call_result serviceList(const Json::Value& request) override;
    rpc::call_result serviceShow(const Json::Value& request) override;
    rpc::call_result status(const Json::Value& request) override;
    rpc::call_result explainFlow(const Json::Value& request) override;
    rpc::call_result changes(const Json::Value& request) override;
    rpc::call_result watch(const Json::Value& request) override;

private:
    using server_operation = core::service_result (*)(
        const core::service_config&, core::backend_server_id, const core::operation_context&);

    rpc::call_result command(const char* name, const std::string& target, const Json::Value& operation,
        const std::function<rpc::call_result(const core::operation_context&)>& run);
    rpc::call_result query(const char* name, const std::function<rpc::call_result()>& run);
    rpc::call_result queryView(std::function<rpc::call_result(const control_view&)>);
    rpc::call_result changeServer(
        const char* name, const Json::Value& operation, const Json::Value& request, server_operation);
    rpc::call_result changeDataCentre(
        const char* name, const Json::Value& operation, const Json::Value& request, core::data_centre_state);
    rpc::call_result checkDataCentre(const std::string& name);
    void logOutcome(
        const char* name, const std::string& target, const Json::Value& operation, const rpc::call_result&);

    channels& m_channels;
    event_log& m_log;
    metrics& m_metrics;
    host_description m_host;
    operator_store m_store;
    config_commands<operator_store> m_commands;
};

} // namespace shallotcove::daemon
