#include "soak_world.hpp"

#include <algorithm>
#include <csignal>

#include "soak_clock.hpp"

namespace shallotcove::soak {

namespace {

    using platform::testing::store_fault;

    constexpr std::chrono::milliseconds longestRestartDelay { 1500 };
    constexpr std::chrono::milliseconds rollPause { 1000 };
    constexpr std::chrono::milliseconds packetDelay { 60 };
    constexpr std::chrono::milliseconds stormPause { 120 };
    constexpr int stormConfigs = 8;
    // After a disturbance, hosts and routers need this long until requests are served by all of them again.
    constexpr std::chrono::milliseconds aftermath { 3000 };
    // Entries of servers that are silent lapse after three heartbeats.
    constexpr std::chrono::milliseconds entryLapse { 3600 };
    constexpr std::chrono::milliseconds reuseAfter { 2000 };
    constexpr std::chrono::milliseconds servesOnAfterDrain { 700 };

    proxy_mode modeOf(fault_kind kind)
    {
        switch (kind) {
        case fault_kind::StoreConnectionDelayed:
            return proxy_mode::Delayed;
        case fault_kind::StoreConnectionReset:
            return proxy_mode::Reset;
        case fault_kind::StoreConnectionSilent:
            return proxy_mode::Silent;
        default:
            return proxy_mode::AnswersLost;
        }
    }

    store_fault faultOf(fault_kind kind)
    {
        switch (kind) {
        case fault_kind::StoreBusy:
            return store_fault::Busy;
        case fault_kind::StoreRefusesCalls:
            return store_fault::TooManyCalls;
        case fault_kind::StoreSilent:
            return store_fault::Silent;
        default:
            return store_fault::Down;
        }
    }

} // namespace

void soak_world::inject(const fault& planned)
{
    log(std::string(textOf(planned.kind)) + ", " + std::to_string(planned.length.count()) + " ms");
    ++m_injected[planned.kind];
    if (disturbsTraffic(planned.kind))
        m_checker.recordTrafficTrouble(soakNow(), soakNow() + planned.length + aftermath);
    switch (planned.kind) {
    case fault_kind::HostKilled:
    case fault_kind::HostsKilledTogether:
    case fault_kind::AllHostsKilled:
    case fault_kind::HostStopped:
    case fault_kind::DataCentreStoppedInTurn:
    case fault_kind::HostPaused:
    case fault_kind::SettingsChanged:
        return injectHostFault(planned);
    case fault_kind::StoreConnectionDelayed:
    case fault_kind::StoreConnectionReset:
    case fault_kind::StoreConnectionSilent:
    case fault_kind::StoreAnswersLost:
    case fault_kind::PacketsToHostLost:
    case fault_kind::PacketsFromHostLost:
    case fault_kind::PacketsDelayed:
        return injectConnectionFault(planned);
    case fault_kind::StoreBusy:
    case fault_kind::StoreRefusesCalls:
    case fault_kind::StoreSilent:
    case fault_kind::StoreDown:
    case fault_kind::StoreForgetsHistory:
        return injectStoreFault(planned);
    case fault_kind::ServerCrashes:
    case fault_kind::ServerReplaced:
    case fault_kind::AddressReused:
    case fault_kind::ServerAdded:
        return injectServerFault(planned);
    case fault_kind::DataCentreCut:
    case fault_kind::DataCentreOut:
    case fault_kind::ConfigChanged:
    case fault_kind::ConfigStorm:
        return injectOperatorChange(planned);
    }
}

void soak_world::injectHostFault(const fault& planned)
{
    const std::size_t first = planned.target % m_hosts.size();
    const std::string& host = m_hosts[first].name;
    const std::chrono::milliseconds restartDelay = std::min(planned.length, longestRestartDelay);
    switch (planned.kind) {
    case fault_kind::HostKilled:
        return kill(host, restartDelay);
    case fault_kind::HostsKilledTogether:
        for (std::size_t index = 0; index < (m_hosts.size() + 1) / 2; ++index)
            kill(m_hosts[(first + index) % m_hosts.size()].name, restartDelay);
        return;
    case fault_kind::AllHostsKilled:
        for (const host_plan& plan : m_hosts)
            kill(plan.name, restartDelay);
        return;
    case fault_kind::HostStopped:
        return stop(host, restartDelay);
    case fault_kind::DataCentreStoppedInTurn: {
        std::chrono::milliseconds delay {};
        for (const host_plan& plan : m_hosts) {
            if (plan.dataCentre != m_hosts[first].dataCentre)
                continue;
            m_work.runAfter(delay, [this, name = plan.name] { stop(name, {}); });
            delay += rollPause;
        }
        return;
    }
    case fault_kind::HostPaused:
        return pause(host, planned.length);
    default:
        return changeSettings(host, planned);
    }
}

void soak_world::kill(const std::string& host, std::chrono::milliseconds restartDelay)
{
    if (!m_processes.signal(host, SIGKILL))
        return;
    host_state& state = m_states[host];
    state.restartDelay = restartDelay;
    if (!std::exchange(state.isAwaited, true))
        m_checker.beginHostTrouble(host, soakNow());
}

void soak_world::stop(const std::string& host, std::chrono::milliseconds restartDelay)
{
    host_state& state = m_states[host];
    if (state.toldToEndAt || !m_processes.signal(host, SIGTERM))
        return;
    state.toldToEndAt = soakNow();
    state.restartDelay = restartDelay;
    if (!std::exchange(state.isAwaited, true))
        m_checker.beginHostTrouble(host, soakNow());
    m_work.runAfter(m_bounds.grace, [this, host, ending = state.endings] {
        // The platform's next signal; a host that was paused meanwhile had less than its time.
        if (m_states[host].endings == ending && m_states[host].pauses == 0) {
            log(host + " did not end in its grace time");
            m_checker.recordOverdueEnd(host, soakNow());
        }
        if (m_states[host].endings == ending)
            kill(host, {});
    });
}

void soak_world::pause(const std::string& host, std::chrono::milliseconds length)
{
    if (!m_processes.signal(host, SIGSTOP))
        return;
    ++m_states[host].pauses;
    m_checker.beginHostTrouble(host, soakNow());
    m_work.runAfter(length, [this, host] {
        host_state& state = m_states[host];
        m_checker.endHostTrouble(host, soakNow());
        if (--state.pauses > 0)
            return;
        m_processes.signal(host, SIGCONT);
        if (state.toldToEndAt)
            state.toldToEndAt = soakNow();
    });
}

void soak_world::changeSettings(const std::string& host, const fault& planned)
{
    const auto plan = std::find_if(
        m_hosts.begin(), m_hosts.end(), [&host](const host_plan& known) { return known.name == host; });
    writeSettings(*plan, 100 + planned.target % 900, planned.target % 3 == 0);
    if (planned.target % 2 == 0)
        m_processes.signal(host, SIGHUP);
    // A host that starts meanwhile needs a file that it can read.
    m_work.runAfter(
        std::chrono::milliseconds { 200 }, [this, plan = *plan] { writeSettings(plan, 400, false); });
}

void soak_world::troubleHost(const std::string& host, std::chrono::milliseconds length)
{
    m_checker.beginHostTrouble(host, soakNow());
    m_work.runAfter(length, [this, host] { m_checker.endHostTrouble(host, soakNow()); });
}

void soak_world::injectConnectionFault(const fault& planned)
{
    const std::string host = m_hosts[planned.target % m_hosts.size()].name;
    troubleHost(host, planned.length);
    switch (planned.kind) {
    case fault_kind::PacketsToHostLost:
        m_router->setLost(host, true);
        m_work.runAfter(planned.length, [this, host] { m_router->setLost(host, false); });
        return;
    case fault_kind::PacketsFromHostLost:
        m_network.setHostMute(host, true);
        m_work.runAfter(planned.length, [this, host] { m_network.setHostMute(host, false); });
        return;
    case fault_kind::PacketsDelayed:
        m_router->setDelay(host, packetDelay);
        m_work.runAfter(planned.length, [this, host] { m_router->setDelay(host, {}); });
        return;
    default:
        m_storeTroubleUntil = std::max(m_storeTroubleUntil, soakNow() + planned.length);
        m_states[host].storeConnections->setMode(modeOf(planned.kind));
        m_work.runAfter(
            planned.length, [this, host] { m_states[host].storeConnections->setMode(proxy_mode::Pass); });
    }
}

void soak_world::injectStoreFault(const fault& planned)
{
    if (planned.kind != fault_kind::StoreForgetsHistory)
        return harmStore(faultOf(planned.kind), planned.length);
    m_checker.beginStoreTrouble(soakNow());
    m_store->dropHistory();
    m_checker.endStoreTrouble(soakNow());
}

void soak_world::harmStore(store_fault harm, std::chrono::milliseconds length)
{
    m_storeTroubleUntil = std::max(m_storeTroubleUntil, soakNow() + length);
    m_checker.beginStoreTrouble(soakNow());
    m_store->setFault(harm);
    m_work.runAfter(length, [this] {
        m_store->setFault(store_fault::None);
        m_checker.endStoreTrouble(soakNow());
    });
}

void soak_world::injectServerFault(const fault& planned)
{
    const std::string server = pickServer(planned.target);
    const std::string dataCentre = nameOf(planned.target % m_options.dataCentres);
    if (planned.kind == fault_kind::ServerAdded) {
        addServer("booking", dataCentre, true);
        return;
    }
    // Enough servers stay for the load.
    if (server.empty() || 3 * m_servers->living("booking").size() < 2 * m_options.servers)
        return;
    if (planned.kind == fault_kind::ServerReplaced)
        return replaceServer(server);
    if (planned.kind == fault_kind::ServerCrashes)
        return crashServer(server, planned.length);
    reuseAddress(server, planned.length);
}

std::string soak_world::pickServer(std::uint32_t target) const
{
    const std::vector<std::string> servers = m_servers->living("booking");
    return servers.empty() ? "" : servers[target % servers.size()];
}

void soak_world::addServer(const std::string& service, const std::string& dataCentre, bool isCold)
{
    if (m_freeAddresses.empty())
        return;
    const core::socket_address address = m_freeAddresses.front();
    m_freeAddresses.erase(m_freeAddresses.begin());
    addServerAt(address, service, dataCentre, isCold);
}

void soak_world::addServerAt(const core::socket_address& address, const std::string& service,
    const std::string& dataCentre, bool isCold)
{
    steering::server_entry entry;
    entry.wireId = (std::uint64_t { m_random() } << 8) | 1;
    char digits[20];
    std::snprintf(digits, sizeof digits, "%010llx", static_cast<unsigned long long>(entry.wireId));
    entry.id = std::string("i-") + digits;
    entry.service = service;
    entry.address = address;
    entry.dataCentre = dataCentre;
    entry.slots = 3;
    entry.coldFor = isCold ? coldTime : std::chrono::milliseconds {};
    entry.startedAtMs = 1;
    m_checker.recordServer(entry, soakNow());
    if (isCold)
        m_checker.recordCold(entry.id, m_options.coldFlowsPerSecond, soakNow() + coldTime);
    m_servers->start(entry);
    m_store->putServer(entry);
}

void soak_world::replaceServer(const std::string& server)
{
    steering::server_entry entry = *m_servers->find(server);
    addServer(entry.service, entry.dataCentre, true);
    entry.state = steering::server_state::Draining;
    m_servers->drain(server);
    m_store->putServer(entry);
    m_checker.recordLeaving(server, soakNow());
    m_work.runAfter(m_bounds.drain + servesOnAfterDrain, [this, server, address = entry.address] {
        endServer(server);
        m_store->removeServer(server);
        m_work.runAfter(reuseAfter, [this, address] { m_freeAddresses.push_back(address); });
    });
}

void soak_world::endServer(const std::string& server)
{
    // Hosts that could not learn of the drain went on using the server, and its last flows end with it.
    if (soakNow() - m_storeTroubleUntil < 2 * m_bounds.drain)
        m_checker.recordTrafficTrouble(soakNow(), soakNow() + aftermath);
    m_servers->end(server);
}

void soak_world::crashServer(const std::string& server, std::chrono::milliseconds replacedAfter)
{
    const steering::server_entry entry = *m_servers->find(server);
    m_checker.recordTrafficTrouble(soakNow(), soakNow() + entryLapse + aftermath);
    m_servers->end(server);
    m_work.runAfter(entryLapse, [this, server] {
        m_store->removeServer(server);
        m_checker.recordLeaving(server, soakNow());
    });
    m_work.runAfter(replacedAfter, [this, entry] { addServer(entry.service, entry.dataCentre, true); });
}

void soak_world::reuseAddress(const std::string& server, std::chrono::milliseconds length)
{
    const steering::server_entry entry = *m_servers->find(server);
    crashServer(server, length);
    m_work.runAfter(
        reuseAfter, [this, entry] { addServerAt(entry.address, "other", entry.dataCentre, false); });
}

void soak_world::injectOperatorChange(const fault& planned)
{
    const std::string dataCentre = nameOf(planned.target % m_options.dataCentres);
    if (planned.kind == fault_kind::DataCentreCut)
        return cutDataCentre(dataCentre, planned.length);
    if (planned.kind == fault_kind::DataCentreOut)
        return takeOut(dataCentre, planned.length);
    const int configs = planned.kind == fault_kind::ConfigStorm ? stormConfigs : 1;
    for (int index = 0; index < configs; ++index)
        m_work.runAfter(index * stormPause, [this] { changeConfig(); });
}

void soak_world::cutDataCentre(const std::string& dataCentre, std::chrono::milliseconds length)
{
    m_storeTroubleUntil = std::max(m_storeTroubleUntil, soakNow() + length);
    const auto setMode = [this, dataCentre](proxy_mode mode) {
        for (const host_plan& plan : m_hosts) {
            if (plan.dataCentre == dataCentre)
                m_states[plan.name].storeConnections->setMode(mode);
        }
    };
    for (const host_plan& plan : m_hosts)
        troubleHost(plan.name, length);
    m_network.setDataCentreCut(dataCentre, true);
    setMode(proxy_mode::Silent);
    m_work.runAfter(length, [this, dataCentre, setMode] {
        m_network.setDataCentreCut(dataCentre, false);
        setMode(proxy_mode::Pass);
    });
}

void soak_world::takeOut(const std::string& dataCentre, std::chrono::milliseconds length)
{
    if (!m_dataCentresOut.insert(dataCentre).second || m_dataCentresOut.size() == m_options.dataCentres) {
        m_dataCentresOut.erase(dataCentre);
        return;
    }
    m_store->setDataCentreOut(dataCentre, true);
    m_checker.recordDataCentreOut(dataCentre, true, soakNow());
    // Longer than the time in which it has to be empty.
    m_work.runAfter(m_bounds.evacuate + length, [this, dataCentre] {
        m_store->setDataCentreOut(dataCentre, false);
        m_checker.recordDataCentreOut(dataCentre, false, soakNow());
        m_dataCentresOut.erase(dataCentre);
        m_backSince[dataCentre] = soakNow();
    });
}

} // namespace shallotcove::soak
