#include "operator_service.hpp"

#include <algorithm>

#include <shallotcove/daemon/clock.hpp>
#include <shallotcove/rpc/operator_error.hpp>

namespace shallotcove::daemon {

namespace {

    rpc::call_result peerThreadTimeout()
    {
        return tl::unexpected(rpc::call_failure {
            rpc::operator_error::StoreUnavailable, "the host does not answer in time; nothing was changed" });
    }

    // A string field of a request that may be invalid; empty if the field is absent or no string. Used to log
    // refused calls too.
    std::string stringField(const Json::Value& request, const char* field)
    {
        return request.isObject() && request[field].isString() ? request[field].asString() : std::string();
    }

    std::string outcomeOf(const rpc::call_result& result)
    {
        return result ? "ok" : rpc::errorName(result.error().error);
    }

} // namespace

operator_service::operator_service(channels& shared, event_log& log, metrics& metrics,
    const host_description& host, operator_store_options options)
    : m_channels(shared)
    , m_log(log)
    , m_metrics(metrics)
    , m_host(host)
    , m_store(shared, std::move(options))
    , m_commands(m_store)
{
}

rpc::call_result operator_service::query(const char* name, const std::function<rpc::call_result()>& run)
{
    const core::timestamp start = monotonicNow();
    rpc::call_result result = run();
    m_metrics.add(metric::OperatorCalls, { name, outcomeOf(result) }, 1);
    m_metrics.observe(
        metric::OperatorCallTime, { name }, std::chrono::duration<double>(monotonicNow() - start).count());
    return result;
}

rpc::call_result operator_service::command(const char* name, const std::string& target,
    const Json::Value& operation, const std::function<rpc::call_result(const core::operation_context&)>& run)
{
    rpc::call_result result = query(name, [&]() -> rpc::call_result {
        const tl::expected<core::operation_context, core::config_problems> context
            = core::parseOperationContext(operation);
        if (!context)
            return invalidRequest(context.error());
        return run(*context);
    });
    logOutcome(name, target, operation, result);
    return result;
}

void operator_service::logOutcome(
    const char* name, const std::string& target, const Json::Value& operation, const rpc::call_result& result)
{
    const std::string id = stringField(operation, "operationId");
    const std::string author = stringField(operation, "author");
    if (result)
        m_log.write<event::OperationAccepted>(name, id, author, target, (*result)["revision"].asUInt64());
    else if (result.error().error == rpc::operator_error::OutcomeUnknown)
        m_log.write<event::OperationUnknown>(name, id, author, target);
    else
        m_log.write<event::OperationRefused>(
            name, id, author, target, rpc::errorName(result.error().error), result.error().message);
}

rpc::call_result operator_service::queryView(std::function<rpc::call_result(const control_view&)> viewQuery)
{
    std::optional<rpc::call_result> answer = m_store.runQuery<rpc::call_result>(std::move(viewQuery));
    return answer ? std::move(*answer) : peerThreadTimeout();
}

rpc::call_result operator_service::serviceCreate(const Json::Value& operation, const Json::Value& request)
{
    return command("serviceCreate", stringField(request, "name"), operation,
        [&](const core::operation_context& context) -> rpc::call_result {
            const tl::expected<core::new_service, core::config_problems> parsed
                = core::parseServiceCreate(request);
            if (!parsed)
                return invalidRequest(parsed.error());
            const accepted_service accepted = m_commands.createService(*parsed, context);
            rpc::call_result answer = commandAnswer(accepted);
            if (answer)
                (*answer)["id"] = accepted->config.id.value;
            return answer;
        });
}

rpc::call_result operator_service::serviceRemove(const Json::Value& operation, const Json::Value& request)
{
    return command("serviceRemove", stringField(request, "service"), operation,
        [&](const core::operation_context& context) -> rpc::call_result {
            const tl::expected<std::string, core::config_problems> name = core::parseServiceName(request);
            return name ? commandAnswer(m_commands.removeService(*name, context))
                        : invalidRequest(name.error());
        });
}

rpc::call_result operator_service::serverAdd(const Json::Value& operation, const Json::Value& request)
{
    return command("serverAdd", stringField(request, "service"), operation,
        [&](const core::operation_context& context) -> rpc::call_result {
            const tl::expected<core::server_addition, core::config_problems> parsed
                = core::parseServerAdd(request);
            if (!parsed)
                return invalidRequest(parsed.error());
            const accepted_service accepted = m_commands.changeService(
                parsed->service, context, [&](const core::service_config& current) {
                    return core::addServer(current, parsed->server, context);
                });
            rpc::call_result answer = commandAnswer(accepted);
            if (answer)
                (*answer)["server"] = newestServerAt(accepted->config, parsed->server.address).value;
            return answer;
        });
}

rpc::call_result operator_service::changeServer(
    const char* name, const Json::Value& operation, const Json::Value& request, server_operation apply)
{
    return command(name, stringField(request, "service"), operation,
        [&](const core::operation_context& context) -> rpc::call_result {
            const tl::expected<core::server_reference, core::config_problems> parsed
                = core::parseServerReference(request);
            if (!parsed)
                return invalidRequest(parsed.error());
            return commandAnswer(
                m_commands.changeService(parsed->service, context, [&](const core::service_config& current) {
                    return apply(current, parsed->server, context);
                }));
        });
}

rpc::call_result operator_service::serverDrain(const Json::Value& operation, const Json::Value& request)
{
    return changeServer("serverDrain", operation, request, core::drainServer);
}

rpc::call_result operator_service::serverUndrain(const Json::Value& operation, const Json::Value& request)
{
    return changeServer("serverUndrain", operation, request, core::undrainServer);
}

rpc::call_result operator_service::serverRemove(const Json::Value& operation, const Json::Value& request)
{
    return changeServer("serverRemove", operation, request, core::removeServer);
}

rpc::call_result operator_service::serverWeight(const Json::Value& operation, const Json::Value& request)
{
    return command("serverWeight", stringField(request, "service"), operation,
        [&](const core::operation_context& context) -> rpc::call_result {
            const tl::expected<core::server_weight_change, core::config_problems> parsed
                = core::parseServerWeight(request);
            if (!parsed)
                return invalidRequest(parsed.error());
            return commandAnswer(
                m_commands.changeService(parsed->service, context, [&](const core::service_config& current) {
                    return core::setServerWeight(current, parsed->server, parsed->weight, context);
                }));
        });
}

rpc::call_result operator_service::callerClassesSet(const Json::Value& operation, const Json::Value& request)
{
    return command("callerClassesSet", stringField(request, "service"), operation,
        [&](const core::operation_context& context) -> rpc::call_result {
            const tl::expected<core::caller_classes_change, core::config_problems> parsed
                = core::parseCallerClassesSet(request);
            if (!parsed)
                return invalidRequest(parsed.error());
            return commandAnswer(
                m_commands.changeService(parsed->service, context, [&](const core::service_config& current) {
                    return core::setCallerClasses(current, parsed->classes, context);
                }));
        });
}

rpc::call_result operator_service::changeDataCentre(
    const char* name, const Json::Value& operation, const Json::Value& request, core::data_centre_state state)
{
    return command(name, stringField(request, "dataCentre"), operation,
        [&](const core::operation_context& context) -> rpc::call_result {
            const tl::expected<std::string, core::config_problems> dataCentre
                = core::parseDataCentreName(request);
            if (!dataCentre)
                return invalidRequest(dataCentre.error());
            if (rpc::call_result found = checkDataCentre(*dataCentre); !found)
                return found;
            return commandAnswer(m_commands.setDataCentre(*dataCentre, state, context));
        });
}

// Without this check, a misspelt name would be written to the store and have no effect on traffic.
rpc::call_result operator_service::checkDataCentre(const std::string& name)
{
    return queryView([name](const control_view& view) { return findDataCentre(view, name); });
}

rpc::call_result operator_service::dataCentreOut(const Json::Value& operation, const Json::Value& request)
{
    return changeDataCentre("dataCentreOut", operation, request, core::data_centre_state::Out);
}

rpc::call_result operator_service::dataCentreIn(const Json::Value& operation, const Json::Value& request)
{
    return changeDataCentre("dataCentreIn", operation, request, core::data_centre_state::In);
}

} // namespace shallotcove::daemon
