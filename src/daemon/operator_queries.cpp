#include "operator_queries.hpp"

#include <algorithm>
#include <optional>
#include <set>
#include <vector>

#include <shallotcove/core/config_json.hpp>

#include "enum_names.hpp"

namespace shallotcove::daemon {

namespace {

    // An empty name gives the prefix of all keys of this kind.
    const std::string dataCentrePrefix = core::dataCentreKey("");

    Json::Value jsonNumber(std::uint64_t value) { return Json::Value(static_cast<Json::UInt64>(value)); }

    rpc::call_result notFound(const std::string& message)
    {
        return tl::unexpected(rpc::call_failure { rpc::operator_error::NotFound, message });
    }

    std::optional<core::service_config> findService(const control_view& view, const std::string& name)
    {
        const std::optional<core::store_entry> entry = view.engine.entry(core::serviceKey(name));
        if (!entry || entry->isDeleted)
            return std::nullopt;
        tl::expected<core::service_config, core::config_problems> config
            = core::parseServiceConfig(entry->value);
        if (!config)
            return std::nullopt;
        return std::move(*config);
    }

    Json::Value summaryOf(const core::service_config& service)
    {
        Json::Value row(Json::objectValue);
        row["name"] = service.name;
        row["id"] = service.id.value;
        row["address"] = service.address.toString();
        row["protocol"] = service.protocol == core::transport::Tcp ? "tcp" : "udp";
        row["state"] = service.state == core::service_state::Active ? "Active" : "Removing";
        row["revision"] = jsonNumber(service.revision);
        row["servers"] = jsonNumber(static_cast<std::uint64_t>(std::count_if(service.servers.begin(),
            service.servers.end(),
            [](const core::backend_server& server) { return server.state != core::server_state::Removed; })));
        row["epochs"] = jsonNumber(service.epochs.size());
        return row;
    }

    const char* nameOfKind(core::limit_kind kind)
    {
        switch (kind) {
        case core::limit_kind::Clear:
            return "Clear";
        case core::limit_kind::Cold:
            return "Cold";
        case core::limit_kind::Overloaded:
            return "Overloaded";
        case core::limit_kind::Dead:
            return "Dead";
        }
        return "Other";
    }

    Json::Value limitsOf(const control_view& view, core::service_id service)
    {
        Json::Value limits(Json::arrayValue);
        if (!view.snapshot)
            return limits;
        for (const core::effective_limit& entry : view.snapshot->limits) {
            if (entry.limit.service != service || entry.stage == core::limit_stage::Cleared)
                continue;
            Json::Value row(Json::objectValue);
            row["server"] = entry.limit.server.value;
            row["kind"] = nameOfKind(entry.limit.kind);
            row["newFlowsPerSecond"] = entry.limit.newFlowsPerSecond;
            row["isEffective"] = entry.stage == core::limit_stage::Effective;
            limits.append(row);
        }
        return limits;
    }

    Json::Value hostsOf(const control_view& view)
    {
        Json::Value hosts(Json::arrayValue);
        for (const core::member& member : view.engine.members()) {
            Json::Value row(Json::objectValue);
            row["peerAddress"] = member.peerAddress.toString();
            row["dataCentre"] = member.dataCentre;
            row["state"] = nameOf(member.state);
            row["appliedIndex"] = jsonNumber(member.appliedIndex.value);
            hosts.append(row);
        }
        return hosts;
    }

    Json::Value dataCentresOf(const control_view& view)
    {
        std::set<std::string> names;
        for (const core::member& member : view.engine.members())
            names.insert(member.dataCentre);
        for (const core::store_entry& entry : view.engine.entries()) {
            if (!entry.isDeleted && entry.key.starts_with(dataCentrePrefix))
                names.insert(entry.key.substr(dataCentrePrefix.size()));
        }
        Json::Value dataCentres(Json::arrayValue);
        for (const std::string& name : names) {
            // The data centre may be empty for hosts that are known only from the settings or the list of
            // hosts.
            if (name.empty())
                continue;
            const bool isOut = view.snapshot && view.snapshot->dataCentresOut.contains(name);
            Json::Value row(Json::objectValue);
            row["name"] = name;
            row["state"] = isOut ? "Out" : "In";
            dataCentres.append(row);
        }
        return dataCentres;
    }

    template <typename Config> rpc::call_result changesOf(const Config& config, std::uint64_t since)
    {
        std::vector<core::operation_record> records;
        for (const core::operation_record& record : config.operations) {
            if (record.revision > since)
                records.push_back(record);
        }
        Json::Value answer(Json::objectValue);
        answer["revision"] = jsonNumber(config.revision);
        answer["operations"] = core::toJsonValue(records);
        return answer;
    }

} // namespace

rpc::call_result findDataCentre(const control_view& view, const std::string& name)
{
    const std::vector<core::member> members = view.engine.members();
    const bool hasHost = std::any_of(members.begin(), members.end(),
        [&](const core::member& member) { return member.dataCentre == name; });
    const bool hasServer = view.snapshot
        && std::any_of(view.snapshot->services.begin(), view.snapshot->services.end(),
            [&](const std::shared_ptr<const core::service_config>& service) {
                return std::any_of(service->servers.begin(), service->servers.end(),
                    [&](const core::backend_server& server) { return server.dataCentre == name; });
            });
    if (!hasHost && !hasServer)
        return notFound("no backend server or host is in data centre " + name);
    return Json::Value(Json::objectValue);
}

rpc::call_result listServices(const control_view& view)
{
    Json::Value answer(Json::objectValue);
    answer["services"] = Json::Value(Json::arrayValue);
    if (!view.snapshot)
        return answer;
    // Uses the parsed services of the snapshot; parsing thousands of values here would block the peer thread.
    for (const std::shared_ptr<const core::service_config>& service : view.snapshot->services)
        answer["services"].append(summaryOf(*service));
    return answer;
}

rpc::call_result showService(const control_view& view, const std::string& name)
{
    const std::optional<core::service_config> service = findService(view, name);
    if (!service)
        return notFound("service " + name + " does not exist");
    Json::Value answer(Json::objectValue);
    answer["service"] = core::toJsonValue(*service);
    answer["limits"] = limitsOf(view, service->id);
    return answer;
}

rpc::call_result showStatus(const control_view& view, const host_description& host)
{
    Json::Value answer(Json::objectValue);
    answer["host"] = host.name;
    answer["dataCentre"] = host.dataCentre;
    answer["appliedIndex"] = jsonNumber(view.engine.appliedIndex().value);
    answer["sync"] = nameOf(view.snapshot ? view.snapshot->sync : core::sync_state::Starting);
    answer["store"] = host.isStoreAvailable ? "Available" : "Unavailable";
    answer["hosts"] = hostsOf(view);
    answer["unreached"] = Json::Value(Json::arrayValue);
    for (const core::socket_address& address : view.engine.hostsBehind(view.engine.appliedIndex()))
        answer["unreached"].append(address.toString());
    answer["dataCentres"] = dataCentresOf(view);
    return answer;
}

rpc::call_result listChanges(const control_view& view, const core::changes_query& query)
{
    if (!query.service.empty()) {
        const std::optional<core::service_config> service = findService(view, query.service);
        if (!service)
            return notFound("service " + query.service + " does not exist");
        return changesOf(*service, query.sinceRevision);
    }
    const std::optional<core::store_entry> entry = view.engine.entry(core::dataCentreKey(query.dataCentre));
    if (!entry || entry->isDeleted)
        return notFound("no operation was done on data centre " + query.dataCentre);
    const tl::expected<core::data_centre_config, core::config_problems> config
        = core::parseDataCentreConfig(entry->value);
    if (!config)
        return notFound("the value of data centre " + query.dataCentre
            + " is not valid: " + core::describeProblems(config.error()));
    return changesOf(*config, query.sinceRevision);
}

rpc::call_result listChangedKeys(const control_view& view, core::config_index since)
{
    Json::Value answer(Json::objectValue);
    answer["index"] = jsonNumber(view.engine.appliedIndex().value);
    answer["changed"] = Json::Value(Json::arrayValue);
    for (const core::store_entry& entry : view.engine.entries()) {
        if (entry.modified <= since)
            continue;
        Json::Value row(Json::objectValue);
        row["key"] = entry.key;
        row["index"] = jsonNumber(entry.modified.value);
        answer["changed"].append(row);
    }
    return answer;
}

} // namespace shallotcove::daemon
