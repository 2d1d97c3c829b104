#include "operator_service.hpp"

namespace shallotcove::daemon {

rpc::call_result operator_service::serviceList(const Json::Value& request)
{
    return query("serviceList", [&]() -> rpc::call_result {
        const tl::expected<void, core::config_problems> parsed = core::parseNoFields(request);
        return parsed ? queryView(listServices) : invalidRequest(parsed.error());
    });
}

rpc::call_result operator_service::serviceShow(const Json::Value& request)
{
    return query("serviceShow", [&]() -> rpc::call_result {
        const tl::expected<std::string, core::config_problems> name = core::parseServiceName(request);
        if (!name)
            return invalidRequest(name.error());
        return queryView([name = *name](const control_view& view) { return showService(view, name); });
    });
}

rpc::call_result operator_service::status(const Json::Value& request)
{
    return query("status", [&]() -> rpc::call_result {
        const tl::expected<void, core::config_problems> parsed = core::parseNoFields(request);
        if (!parsed)
            return invalidRequest(parsed.error());
        host_description host = m_host;
        host.isStoreAvailable = m_channels.isStoreAvailable.load();
        return queryView([host](const control_view& view) { return showStatus(view, host); });
    });
}

rpc::call_result operator_service::explainFlow(const Json::Value& request)
{
    return query("explainFlow", [&]() -> rpc::call_result {
        const tl::expected<core::flow_key, core::config_problems> flow = core::parseExplainFlow(request);
        if (!flow)
            return invalidRequest(flow.error());
        return queryView(
            [flow = *flow](const control_view& view) { return daemon::explainFlow(view, flow); });
    });
}

rpc::call_result operator_service::changes(const Json::Value& request)
{
    return query("changes", [&]() -> rpc::call_result {
        const tl::expected<core::changes_query, core::config_problems> changesQuery
            = core::parseChanges(request);
        if (!changesQuery)
            return invalidRequest(changesQuery.error());
        return queryView([changesQuery = *changesQuery](
                             const control_view& view) { return listChanges(view, changesQuery); });
    });
}

rpc::call_result operator_service::watch(const Json::Value& request)
{
    return query("watch", [&]() -> rpc::call_result {
        const tl::expected<core::config_index, core::config_problems> since = core::parseWatch(request);
        if (!since)
            return invalidRequest(since.error());
        return queryView([since = *since](const control_view& view) { return listChangedKeys(view, since); });
    });
}

} // namespace shallotcove::daemon
