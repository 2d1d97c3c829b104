#include "fuzz_operator.hpp"

#include <algorithm>

#include <shallotcove/core/address_decision.hpp>
#include <shallotcove/core/config_json.hpp>

namespace shallotcove::testbench {

namespace {

    constexpr std::uint32_t initialServers = 4;
    constexpr std::uint32_t addressCount = 2;
    constexpr std::uint32_t maximumServers = 8;
    /// Allows a cold server at least one new flow per second from each host of the largest fleet.
    constexpr std::uint32_t coldNewFlowsPerSecond = 8;
    constexpr std::uint32_t newFlowsPerSecond = 200;

    core::new_server makeServer(std::uint32_t dataCentre, std::uint32_t address, std::uint32_t weight)
    {
        return { fuzz_operator::dataCentreName(dataCentre),
            { core::ip_address::fromV4(0x7f000300 + address), 6080 }, weight, coldNewFlowsPerSecond,
            newFlowsPerSecond };
    }

} // namespace

fuzz_operator::fuzz_operator(scenario_store& store, run_history& history, const operator_options& options)
    : m_store(store)
    , m_history(history)
    , m_options(options)
{
}

void fuzz_operator::createInitialService(core::timestamp now)
{
    core::service_config service;
    service.id = { ++m_lastServiceId };
    service.name = "service-1";
    service.address = fuzz_traffic::serviceAddress(0);
    core::epoch_plan plan { { 1 }, core::epoch_phase::Active, {} };
    m_services.push_back({ service.name, 1, 0, false });
    for (std::uint32_t index = 0; index < initialServers; ++index) {
        const core::new_server added
            = makeServer(index % m_options.dataCentres, ++m_lastServerAddress, 50 + 50 * (index % 3));
        const std::string id = nextOperationId();
        service = core::addServer(service, added, { id, "operator", {} }).value().config;
        plan.servers.push_back({ { index + 1 }, added.weight });
        recordAccepted(
            { .kind = accepted_kind::ServerAdded, .service = 1, .dataCentre = index % m_options.dataCentres },
            service, id, now);
    }
    service.epochs = { plan };
    m_store.write(core::serviceKey(service.name), core::formatServiceConfig(service));
    m_store.write(core::addressKey(service.address, service.protocol),
        core::formatAddressReservation({ service.name, service.id, false }));
    m_history.accepted.push_back(
        { .at = now, .kind = accepted_kind::ServiceCreated, .service = 1, .operation = nextOperationId() });
}

std::optional<core::service_config> fuzz_operator::readService(const std::string& name) const
{
    const core::store_entry* const entry = m_store.find(core::serviceKey(name));
    if (entry == nullptr)
        return std::nullopt;
    return core::parseServiceConfig(entry->value).value();
}

void fuzz_operator::recordAccepted(accepted_change change, const core::service_config& service,
    const std::string& operation, core::timestamp now)
{
    change.at = now;
    change.revision = service.revision;
    change.operation = operation;
    if (change.kind == accepted_kind::ServerAdded) {
        const core::backend_server& added = service.servers.back();
        change.server = added.id.value;
        change.coldNewFlowsPerSecond = added.coldNewFlowsPerSecond;
        m_servers[added.address] = { change.service, change.server, change.dataCentre, true };
    }
    m_history.accepted.push_back(change);
}

void fuzz_operator::apply(const service_state& state, accepted_change change,
    const operation_function& operation, repetition repeat, core::timestamp now)
{
    const std::optional<core::service_config> previous = readService(state.name);
    const std::string key = core::serviceKey(state.name);
    change.service = state.id;
    core::operation_context context { nextOperationId(), "operator", previous->revision };
    const int attempts = repeat == repetition::None ? 1 : 2;
    for (int attempt = 0; attempt < attempts; ++attempt) {
        const core::service_result changed = operation(*readService(state.name), context);
        if (changed && !changed->isRepeat) {
            m_store.write(key, core::formatServiceConfig(changed->config));
            recordAccepted(change, changed->config, context.operationId, now);
        }
        // SameOperation: the response was lost and the client retries. SameRevision: another operator acts on
        // the same revision.
        if (repeat == repetition::SameRevision)
            context.operationId = nextOperationId();
    }
}

fuzz_operator::service_state* fuzz_operator::pickService(std::uint32_t number)
{
    service_state& picked = m_services[number % m_services.size()];
    return picked.isRemoved ? nullptr : &picked;
}

void fuzz_operator::addServer(std::uint32_t number, repetition repeat, core::timestamp now)
{
    const service_state* const service = pickService(number);
    if (service == nullptr || readService(service->name)->servers.size() >= maximumServers)
        return;
    const std::uint32_t dataCentre = number / 7 % m_options.dataCentres;
    const core::new_server added = makeServer(dataCentre, ++m_lastServerAddress, 50 + 100 * (number / 3 % 3));
    apply(
        *service, { .kind = accepted_kind::ServerAdded, .dataCentre = dataCentre },
        [&](const core::service_config& current, const core::operation_context& context) {
            return core::addServer(current, added, context);
        },
        repeat, now);
}

void fuzz_operator::changeServer(
    accepted_kind kind, std::uint32_t number, repetition repeat, core::timestamp now)
{
    const service_state* const service = pickService(number);
    if (service == nullptr)
        return;
    const core::service_config current = *readService(service->name);
    if (current.servers.empty())
        return;
    const core::backend_server& server = current.servers[number / 5 % current.servers.size()];
    // Operators drain a server before they remove it and keep at least one server active.
    const std::ptrdiff_t active = std::count_if(current.servers.begin(), current.servers.end(),
        [](const core::backend_server& item) { return item.state == core::server_state::Active; });
    if ((kind == accepted_kind::ServerDrained && active < 2)
        || (kind == accepted_kind::ServerRemoved && server.state != core::server_state::Draining))
        return;
    const std::uint32_t weight = 20 + 30 * (number % 7);
    apply(
        *service, { .kind = kind, .server = server.id.value },
        [&](const core::service_config& value, const core::operation_context& context) {
            if (kind == accepted_kind::ServerDrained)
                return core::drainServer(value, server.id, context);
            if (kind == accepted_kind::ServerUndrained)
                return core::undrainServer(value, server.id, context);
            if (kind == accepted_kind::ServerRemoved)
                return core::removeServer(value, server.id, context);
            return core::setServerWeight(value, server.id, weight, context);
        },
        repeat, now);
}

void fuzz_operator::createService(
    std::uint32_t number, const applied_check& isAppliedEverywhere, core::timestamp now)
{
    const std::uint32_t address = number % addressCount;
    const core::socket_address at = fuzz_traffic::serviceAddress(address);
    const std::string name = "service-" + std::to_string(m_lastServiceId + 1);
    const std::string key = core::addressKey(at, core::transport::Tcp);
    const core::store_entry* const entry = m_store.find(key);
    std::optional<core::stored_reservation> stored;
    std::vector<core::host_progress> hosts;
    if (entry != nullptr) {
        stored = { core::parseAddressReservation(entry->value).value(), entry->modified };
        const core::config_index applied
            = isAppliedEverywhere(entry->modified) ? entry->modified : core::config_index {};
        hosts.push_back({ "hosts", applied, true, false });
    }
    const core::address_decision decision
        = core::decideAddress(name, at, core::transport::Tcp, stored, hosts);
    if (decision.availability != core::address_availability::Free && !m_options.ignoresReservations)
        return;
    const std::string operation = nextOperationId();
    const core::service_config created = core::createService(
        {}, { name, at, core::transport::Tcp, {} }, { ++m_lastServiceId }, { operation, "operator", {} })
                                             .value()
                                             .config;
    m_store.write(core::serviceKey(name), core::formatServiceConfig(created));
    m_store.write(key, core::formatAddressReservation({ name, created.id, false }));
    m_services.push_back({ name, created.id.value, address, false });
    recordAccepted({ .kind = accepted_kind::ServiceCreated, .service = created.id.value, .address = address },
        created, operation, now);
    for (std::uint32_t index = 0; index < 2; ++index) {
        const std::uint32_t dataCentre = (number / 3 + index) % m_options.dataCentres;
        const core::new_server added = makeServer(dataCentre, ++m_lastServerAddress, 100);
        apply(
            m_services.back(), { .kind = accepted_kind::ServerAdded, .dataCentre = dataCentre },
            [&](const core::service_config& current, const core::operation_context& context) {
                return core::addServer(current, added, context);
            },
            repetition::None, now);
    }
}

void fuzz_operator::removeService(std::uint32_t number, core::timestamp now)
{
    service_state* const service = pickService(number);
    if (service == nullptr)
        return;
    apply(
        *service, { .kind = accepted_kind::ServiceRemoved },
        [](const core::service_config& current, const core::operation_context& context) {
            return core::removeService(current, context);
        },
        repetition::None, now);
    service->isRemoved = true;
    const core::socket_address at = fuzz_traffic::serviceAddress(service->address);
    m_store.write(core::addressKey(at, core::transport::Tcp),
        core::formatAddressReservation({ service->name, { service->id }, true }));
}

void fuzz_operator::setDataCentre(std::uint32_t number, bool isOut, core::timestamp now)
{
    const std::uint32_t dataCentre = number % m_options.dataCentres;
    const std::string name = dataCentreName(dataCentre);
    const core::store_entry* const entry = m_store.find(core::dataCentreKey(name));
    std::optional<core::data_centre_config> current;
    if (entry != nullptr)
        current = core::parseDataCentreConfig(entry->value).value();
    const core::data_centre_state state = isOut ? core::data_centre_state::Out : core::data_centre_state::In;
    if ((current ? current->state : core::data_centre_state::In) == state)
        return;
    const std::string operation = nextOperationId();
    const core::data_centre_result changed
        = core::setDataCentreState(current, name, state, { operation, "operator", {} });
    if (!changed || changed->isRepeat)
        return;
    m_store.write(core::dataCentreKey(name), core::formatDataCentreConfig(changed->config));
    m_history.accepted.push_back({ .at = now,
        .kind = isOut ? accepted_kind::DataCentreOut : accepted_kind::DataCentreIn,
        .dataCentre = dataCentre,
        .revision = changed->config.revision,
        .operation = operation });
}

std::uint32_t fuzz_operator::dataCentreNumber(const std::string& name) const
{
    std::uint32_t number {};
    while (number < m_options.dataCentres && dataCentreName(number) != name)
        ++number;
    return number;
}

fuzz_server* fuzz_operator::serverAt(const core::socket_address& address)
{
    const auto found = m_servers.find(address);
    return found == m_servers.end() ? nullptr : &found->second;
}

fuzz_server* fuzz_operator::pickServer(std::uint32_t number)
{
    const auto picked = std::next(m_servers.begin(), std::ptrdiff_t(number % m_servers.size()));
    return picked->second.isAlive ? &picked->second : nullptr;
}

std::uint32_t fuzz_operator::pickAddress(std::uint32_t number) const
{
    return m_services[number % m_services.size()].address;
}

} // namespace shallotcove::testbench
