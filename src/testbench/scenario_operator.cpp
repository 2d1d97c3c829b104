#include "scenario_operator.hpp"

#include <array>

#include <shallotcove/core/config_json.hpp>
#include <shallotcove/core/operations.hpp>

namespace shallotcove::testbench {

namespace {

    constexpr const char* serviceName = "rezervari";

    core::operation_context makeOperationContext(const scenario_store& store)
    {
        return { std::to_string(store.revision().value), "operator", {} };
    }

    core::service_config changedService(
        const core::service_config& service, const scenario_change& change, const scenario_store& store)
    {
        const core::operation_context context = makeOperationContext(store);
        const core::backend_server_id target { change.target };
        if (change.kind == change_kind::DrainServer)
            return core::drainServer(service, target, context).value().config;
        if (change.kind == change_kind::HalveWeight) {
            const std::uint32_t weight = service.servers[change.target - 1].weight;
            return core::setServerWeight(service, target, weight / 2, context).value().config;
        }
        const core::new_server added { dataCentreName(0),
            { core::ip_address::fromV4(0x7f000300 + service.nextServerId), 6080 }, 100, 5, 60 };
        return core::addServer(service, added, context).value().config;
    }

} // namespace

std::string dataCentreName(std::uint32_t number)
{
    constexpr std::array<const char*, dataCentreCount> names { "buc-a", "buc-b", "buc-c" };
    return names.at(number);
}

core::service_config makeScenarioService(std::uint32_t serverCount)
{
    core::service_config service;
    service.id = { 1 };
    service.name = serviceName;
    service.address = { core::ip_address::fromV4(0xc0000201), 443 };
    service.revision = 1;
    service.nextServerId = serverCount + 1;
    core::epoch_plan plan { { 1 }, core::epoch_phase::Active, {} };
    for (std::uint32_t id = 1; id <= serverCount; ++id) {
        const std::uint32_t weight = 50 + 25 * (id % 5);
        const core::socket_address address { core::ip_address::fromV4(0x7f000300 + id), 6080 };
        service.servers.push_back({ { id }, dataCentreName(id % dataCentreCount), address, weight,
            core::server_state::Active, 5, 60 });
        plan.servers.push_back({ { id }, weight });
    }
    service.epochs.push_back(plan);
    return service;
}

void storeService(scenario_store& store, scenario_traffic& traffic, const core::service_config& service,
    core::timestamp now)
{
    store.write(core::serviceKey(serviceName), core::formatServiceConfig(service));
    for (const core::backend_server& server : service.servers)
        traffic.addOrUpdateServer(server, !traffic.hasServer(server.id) && service.revision > 1, now);
}

void applyChange(
    scenario_store& store, scenario_traffic& traffic, const scenario_change& change, core::timestamp now)
{
    if (change.kind == change_kind::ServerTurnsCold)
        return traffic.turnCold({ change.target }, now);
    const bool isOut = change.kind == change_kind::DataCentreOut;
    if (isOut || change.kind == change_kind::DataCentreIn) {
        const std::string name = dataCentreName(change.target);
        core::data_centre_config config;
        config.name = name;
        config.revision = 1;
        config.state = isOut ? core::data_centre_state::Out : core::data_centre_state::In;
        store.write(core::dataCentreKey(name), core::formatDataCentreConfig(config));
        traffic.setDataCentreOut(name, isOut, now);
        return;
    }
    if (change.kind == change_kind::HalveCapacity)
        return traffic.halveCapacity({ change.target }, now);
    if (change.kind == change_kind::SlowServer)
        return traffic.doubleFlowDurations({ change.target });
    const core::service_config service
        = core::parseServiceConfig(store.value(core::serviceKey(serviceName))).value();
    storeService(store, traffic, changedService(service, change, store), now);
}

} // namespace shallotcove::testbench
