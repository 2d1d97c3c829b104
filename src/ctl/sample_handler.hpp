#pragma once

#include <string>

#include <shallotcove/core/operation_json.hpp>

#include "fake_operator_handler.hpp"

namespace shallotcove::ctl {

/// For tests: runs changes of the service rezervari with the functions of core, without storing the result.
/// The service has revision 3, the active server 1 at 10.0.0.1:6080 and the draining server 2.
class sample_handler {
public:
    static core::service_config service()
    {
        const core::new_service definition { "rezervari", *core::socket_address::parse("192.0.2.1:443"),
            core::transport::Tcp, {} };
        core::service_config config
            = core::createService(std::nullopt, definition, { 7 }, { "op-1", "ana", {} })->config;
        for (const char* const address : { "10.0.0.1:6080", "10.0.0.2:6080" }) {
            const core::new_server server { "buc-a", *core::socket_address::parse(address), 100, 10, 0 };
            config = core::addServer(config, server, { "op-" + std::string(address), "ion", {} })->config;
        }
        config.servers[1].state = core::server_state::Draining;
        return config;
    }

    static rpc::call_result handleCall(const rpc::fake_operator_handler::recorded_call& call)
    {
        const tl::expected<core::operation_context, core::config_problems> context
            = core::parseOperationContext(call.operation);
        if (!context)
            return invalidArgument(context.error());
        if (call.name == "serviceCreate")
            return runOperation(
                core::parseServiceCreate(call.request), [&](const core::new_service& definition) {
                    return core::createService(service(), definition, { 8 }, *context);
                });
        if (call.name == "serverAdd")
            return runOperation(
                core::parseServerAdd(call.request), [&](const core::server_addition& addition) {
                    return core::addServer(service(), addition.server, *context);
                });
        if (call.name == "serverDrain")
            return runOperation(
                core::parseServerReference(call.request), [&](const core::server_reference& reference) {
                    return core::drainServer(service(), reference.server, *context);
                });
        if (call.name == "serverUndrain")
            return runOperation(
                core::parseServerReference(call.request), [&](const core::server_reference& reference) {
                    return core::undrainServer(service(), reference.server, *context);
                });
        if (call.name == "serverWeight")
            return runOperation(
                core::parseServerWeight(call.request), [&](const core::server_weight_change& change) {
                    return core::setServerWeight(service(), change.server, change.weight, *context);
                });
        if (call.name == "callerClassesSet")
            return runOperation(
                core::parseCallerClassesSet(call.request), [&](const core::caller_classes_change& change) {
                    return core::setCallerClasses(service(), change.classes, *context);
                });
        if (call.name == "dataCentreIn")
            return runOperation(core::parseDataCentreName(call.request), [&](const std::string& name) {
                return core::setDataCentreState(std::nullopt, name, core::data_centre_state::In, *context);
            });
        return Json::Value(Json::objectValue);
    }

private:
    static rpc::call_result invalidArgument(const core::config_problems& problems)
    {
        return tl::unexpected(
            rpc::call_failure { rpc::operator_error::InvalidArgument, core::describeProblems(problems) });
    }

    template <typename Parsed, typename Operation>
    static rpc::call_result runOperation(const Parsed& parsed, Operation operation)
    {
        if (!parsed)
            return invalidArgument(parsed.error());
        const auto result = operation(*parsed);
        if (!result) {
            // The errors of core have the same order as the operator errors, which start at 1001.
            const int code = 1001 + static_cast<int>(result.error().error);
            return tl::unexpected(
                rpc::call_failure { static_cast<rpc::operator_error>(code), result.error().message });
        }
        Json::Value value;
        value["revision"] = Json::UInt64(result->revision);
        value["isRepeat"] = result->isRepeat;
        return value;
    }
};

} // namespace shallotcove::ctl
