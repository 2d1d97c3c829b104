#include "operator_queries.hpp"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>
#include <optional>
#include <set>
#include <vector>

#include <shallotcove/core/rendezvous.hpp>
#include <shallotcove/core/routing_snapshot.hpp>

namespace shallotcove::daemon {

namespace {

    struct flow_choices {
        Json::Value epochs { Json::arrayValue };
        std::set<std::uint32_t> servers;
        /// Choice of the newest active epoch.
        std::optional<core::backend_server_id> activeChoice;
    };

    std::string hexadecimal(const core::flow_hash& hash)
    {
        std::array<char, 33> text {};
        std::snprintf(text.data(), text.size(), "%016" PRIx64 "%016" PRIx64, hash.high, hash.low);
        return text.data();
    }

    const core::service_config* findService(
        const core::routing_snapshot& snapshot, const core::flow_key& flow)
    {
        for (const std::shared_ptr<const core::service_config>& service : snapshot.services) {
            if (service->address == flow.service && service->protocol == flow.protocol)
                return service.get();
        }
        return nullptr;
    }

    flow_choices chooseServersByEpoch(const core::service_config& service, const core::flow_hash& hash)
    {
        flow_choices choices;
        for (const core::epoch_plan& epoch : service.epochs) {
            const std::optional<core::backend_server_id> choice = core::chooseServer(hash, epoch.servers);
            Json::Value row(Json::objectValue);
            row["number"] = static_cast<Json::UInt64>(epoch.number.value);
            row["phase"] = epoch.phase == core::epoch_phase::Active ? "Active" : "Prepared";
            row["server"] = choice ? choice->value : 0;
            choices.epochs.append(row);
            choices.servers.insert(choice ? choice->value : 0);
            if (epoch.phase == core::epoch_phase::Active)
                choices.activeChoice = choice;
        }
        return choices;
    }

    bool isLimited(const core::routing_snapshot& snapshot, core::service_id service,
        const std::set<std::uint32_t>& servers)
    {
        return std::any_of(
            snapshot.limits.begin(), snapshot.limits.end(), [&](const core::effective_limit& entry) {
                return entry.limit.service == service && servers.contains(entry.limit.server.value);
            });
    }

    void addOwners(Json::Value& answer, const core::routing_snapshot& snapshot, const core::flow_hash& hash)
    {
        std::vector<core::host_id> ids;
        for (const core::member& owner : snapshot.owners)
            ids.push_back(owner.id);
        const core::host_ranks ranks = core::rankHosts(hash, ids);
        answer["owner"] = ranks.owner ? snapshot.owners[*ranks.owner].peerAddress.toString() : "";
        answer["backup"] = ranks.backup ? snapshot.owners[*ranks.backup].peerAddress.toString() : "";
    }

    std::string explainChoice(const flow_choices& choices, bool isLimitedServer)
    {
        const std::string server
            = choices.activeChoice ? "server " + std::to_string(choices.activeChoice->value) : "";
        if (choices.servers.empty())
            return "the service has no epoch yet";
        if (choices.servers.size() > 1)
            return "live epochs differ: the owner decides; a new flow goes to " + server;
        if (server.empty())
            return "no live epoch has a server";
        if (isLimitedServer)
            return "all live epochs choose " + server + ", which is or was limited: the owner decides";
        return "all live epochs choose " + server;
    }

} // namespace

rpc::call_result explainFlow(const control_view& view, const core::flow_key& flow)
{
    const core::service_config* const service = view.snapshot ? findService(*view.snapshot, flow) : nullptr;
    if (service == nullptr)
        return tl::unexpected(rpc::call_failure { rpc::operator_error::NotFound,
            "no service has the address " + flow.service.toString()
                + (flow.protocol == core::transport::Tcp ? "/tcp" : "/udp") });
    const core::flow_hash hash = core::hashFlow(flow, view.snapshot->flowHashSeed);
    flow_choices choices = chooseServersByEpoch(*service, hash);
    const bool isLimitedServer = isLimited(*view.snapshot, service->id, choices.servers);
    Json::Value answer(Json::objectValue);
    answer["service"] = service->name;
    answer["flowHash"] = hexadecimal(hash);
    answer["isAmbiguous"] = choices.servers.size() > 1 || isLimitedServer;
    answer["epochs"] = choices.epochs;
    addOwners(answer, *view.snapshot, hash);
    answer["server"] = choices.activeChoice ? choices.activeChoice->value : 0;
    answer["reason"] = explainChoice(choices, isLimitedServer);
    return answer;
}

} // namespace shallotcove::daemon
