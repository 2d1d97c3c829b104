#include "soak_world.hpp"

#include <algorithm>
#include <csignal>

#include "soak_clock.hpp"

namespace shallotcove::soak {

namespace {

    using platform::testing::store_fault;

    constexpr std::chrono::milliseconds maxRestartDelay { 1500 };
    constexpr std::chrono::milliseconds rollingStopInterval { 1000 };
    constexpr std::chrono::milliseconds packetDelay { 60 };
    constexpr std::chrono::milliseconds stormInterval { 120 };
    constexpr int configsPerStorm = 8;
    // Time that hosts and routers need after a fault until all of them serve requests again.
    constexpr std::chrono::milliseconds recoveryMargin { 3000 };
    // The store entry of a server that stops sending heartbeats expires after three missed ones.
    constexpr std::chrono::milliseconds entryExpiry { 3600 };
    constexpr std::chrono::milliseconds addressReuseDelay { 2000 };
    constexpr std::chrono::milliseconds serviceTimeAfterDrain { 700 };

    proxy_mode modeOf(fault_kind kind)
    {
        switch (kind) {
        case fault_kind::StoreConnectionDelayed:
            return proxy_mode::Delayed;
        case fault_kind::StoreConnectionReset:
            return proxy_mode::Reset;
        case fault_kind::StoreConnectionSilent:
            return proxy_mode::Blackhole;
        default:
            return proxy_mode::ResponsesDropped;
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
    log(std::string(textOf(planned.kind)) + ", " + std::to_string(planned.duration.count()) + " ms");
    ++m_injected[planned.kind];
    if (disturbsTraffic(planned.kind))
        m_checker.recordTrafficDisturbance(soakNow(), soakNow() + planned.duration + recoveryMargin);
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
    case fault_kind::StoreResponsesLost:
    case fault_kind::PacketsToHostLost:
    case fault_kind::PacketsFromHostLost:
    case fault_kind::PacketsDelayed:
        return injectConnectionFault(planned);
    case fault_kind::StoreBusy:
    case fault_kind::StoreRefusesCalls:
    case fault_kind::StoreSilent:
    case fault_kind::StoreDown:
    case fault_kind::StoreHistoryDropped:
        return injectStoreFault(planned);
    case fault_kind::ServerCrashed:
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
    const std::chrono::milliseconds restartDelay = std::min(planned.duration, maxRestartDelay);
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
            m_timers.runAfter(delay, [this, name = plan.name] { stop(name, {}); });
            delay += rollingStopInterval;
        }
        return;
    }
    case fault_kind::HostPaused:
        return pause(host, planned.duration);
    default:
        return changeSettings(host, planned);
    }
}

void soak_world::kill(const std::string& host, std::chrono::milliseconds restartDelay)
{
    if (!m_processes.signal(host, SIGKILL))
        return;
    host_state& state = m_hostStates[host];
    state.restartDelay = restartDelay;
    if (!std::exchange(state.isAwaitingReadiness, true))
        m_checker.beginHostDisturbance(host, soakNow());
}

void soak_world::stop(const std::string& host, std::chrono::milliseconds restartDelay)
{
    host_state& state = m_hostStates[host];
    if (state.terminationRequestedAt || !m_processes.signal(host, SIGTERM))
        return;
    state.terminationRequestedAt = soakNow();
    state.restartDelay = restartDelay;
    if (!std::exchange(state.isAwaitingReadiness, true))
        m_checker.beginHostDisturbance(host, soakNow());
    m_timers.runAfter(m_bounds.gracePeriod, [this, host, exitCount = state.exitCount] {
        // The platform sends SIGKILL after the grace period. A host that is paused at that moment did not
        // have the full period and is not reported.
        if (m_hostStates[host].exitCount == exitCount && m_hostStates[host].activePauses == 0) {
            log(host + " did not exit within its grace period");
            m_checker.recordOverdueShutdown(host, soakNow());
        }
        if (m_hostStates[host].exitCount == exitCount)
            kill(host, {});
    });
}

void soak_world::pause(const std::string& host, std::chrono::milliseconds duration)
{
    if (!m_processes.signal(host, SIGSTOP))
        return;
    ++m_hostStates[host].activePauses;
    m_checker.beginHostDisturbance(host, soakNow());
    m_timers.runAfter(duration, [this, host] {
        host_state& state = m_hostStates[host];
        m_checker.endHostDisturbance(host, soakNow());
        if (--state.activePauses > 0)
            return;
        m_processes.signal(host, SIGCONT);
        if (state.terminationRequestedAt)
            state.terminationRequestedAt = soakNow();
    });
}

void soak_world::changeSettings(const std::string& host, const fault& planned)
{
    const auto plan = std::find_if(m_hosts.begin(), m_hosts.end(),
        [&host](const host_plan& candidate) { return candidate.name == host; });
    writeSettings(*plan, 100 + planned.target % 900, planned.target % 3 == 0);
    if (planned.target % 2 == 0)
        m_processes.signal(host, SIGHUP);
    // Restores valid settings, because a host that starts in the meantime has to read the file.
    m_timers.runAfter(
        std::chrono::milliseconds { 200 }, [this, plan = *plan] { writeSettings(plan, 400, false); });
}

void soak_world::recordHostDisturbance(const std::string& host, std::chrono::milliseconds duration)
{
    m_checker.beginHostDisturbance(host, soakNow());
    m_timers.runAfter(duration, [this, host] { m_checker.endHostDisturbance(host, soakNow()); });
}

void soak_world::injectConnectionFault(const fault& planned)
{
    const std::string host = m_hosts[planned.target % m_hosts.size()].name;
    recordHostDisturbance(host, planned.duration);
    switch (planned.kind) {
    case fault_kind::PacketsToHostLost:
        m_router->setPacketsDropped(host, true);
        m_timers.runAfter(planned.duration, [this, host] { m_router->setPacketsDropped(host, false); });
        return;
    case fault_kind::PacketsFromHostLost:
        m_network.setHostOutputDropped(host, true);
        m_timers.runAfter(planned.duration, [this, host] { m_network.setHostOutputDropped(host, false); });
        return;
    case fault_kind::PacketsDelayed:
        m_router->setDelay(host, packetDelay);
        m_timers.runAfter(planned.duration, [this, host] { m_router->setDelay(host, {}); });
        return;
    default:
        m_storeDisturbedUntil = std::max(m_storeDisturbedUntil, soakNow() + planned.duration);
        m_hostStates[host].storeConnections->setMode(modeOf(planned.kind));
        m_timers.runAfter(planned.duration,
            [this, host] { m_hostStates[host].storeConnections->setMode(proxy_mode::Forward); });
    }
}

void soak_world::injectStoreFault(const fault& planned)
{
    if (planned.kind != fault_kind::StoreHistoryDropped)
        return setStoreFault(faultOf(planned.kind), planned.duration);
    m_checker.beginStoreDisturbance(soakNow());
    m_store->dropHistory();
    m_checker.endStoreDisturbance(soakNow());
}

void soak_world::setStoreFault(store_fault storeFault, std::chrono::milliseconds duration)
{
    m_storeDisturbedUntil = std::max(m_storeDisturbedUntil, soakNow() + duration);
    m_checker.beginStoreDisturbance(soakNow());
    m_store->setFault(storeFault);
    m_timers.runAfter(duration, [this] {
        m_store->setFault(store_fault::None);
        m_checker.endStoreDisturbance(soakNow());
    });
}

void soak_world::injectServerFault(const fault& planned)
{
    const std::string server = pickServer(planned.target);
    const std::string dataCentre = dataCentreName(planned.target % m_options.dataCentres);
    if (planned.kind == fault_kind::ServerAdded) {
        addServer("booking", dataCentre, true);
        return;
    }
    // Keeps enough servers for the load.
    if (server.empty() || 3 * m_servers->readyServers("booking").size() < 2 * m_options.servers)
        return;
    if (planned.kind == fault_kind::ServerReplaced)
        return replaceServer(server);
    if (planned.kind == fault_kind::ServerCrashed)
        return crashServer(server, planned.duration);
    reuseAddress(server, planned.duration);
}

std::string soak_world::pickServer(std::uint32_t target) const
{
    const std::vector<std::string> servers = m_servers->readyServers("booking");
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
        m_checker.recordColdServer(entry.id, m_options.coldFlowsPerSecond, soakNow() + coldTime);
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
    m_checker.recordServerLeaving(server, soakNow());
    m_timers.runAfter(m_bounds.drainTime + serviceTimeAfterDrain, [this, server, address = entry.address] {
        endServer(server);
        m_store->removeServer(server);
        m_timers.runAfter(addressReuseDelay, [this, address] { m_freeAddresses.push_back(address); });
    });
}

void soak_world::endServer(const std::string& server)
{
    // Hosts that could not reach the store missed the drain and kept using the server, so its remaining flows
    // are lost with it.
    if (soakNow() - m_storeDisturbedUntil < 2 * m_bounds.drainTime)
        m_checker.recordTrafficDisturbance(soakNow(), soakNow() + recoveryMargin);
    m_servers->terminate(server);
}

void soak_world::crashServer(const std::string& server, std::chrono::milliseconds replacedAfter)
{
    const steering::server_entry entry = *m_servers->find(server);
    m_checker.recordTrafficDisturbance(soakNow(), soakNow() + entryExpiry + recoveryMargin);
    m_servers->terminate(server);
    m_timers.runAfter(entryExpiry, [this, server] {
        m_store->removeServer(server);
        m_checker.recordServerLeaving(server, soakNow());
    });
    m_timers.runAfter(replacedAfter, [this, entry] { addServer(entry.service, entry.dataCentre, true); });
}

void soak_world::reuseAddress(const std::string& server, std::chrono::milliseconds duration)
{
    const steering::server_entry entry = *m_servers->find(server);
    crashServer(server, duration);
    m_timers.runAfter(
        addressReuseDelay, [this, entry] { addServerAt(entry.address, "other", entry.dataCentre, false); });
}

void soak_world::injectOperatorChange(const fault& planned)
{
    const std::string dataCentre = dataCentreName(planned.target % m_options.dataCentres);
    if (planned.kind == fault_kind::DataCentreCut)
        return cutDataCentre(dataCentre, planned.duration);
    if (planned.kind == fault_kind::DataCentreOut)
        return takeDataCentreOut(dataCentre, planned.duration);
    const int configs = planned.kind == fault_kind::ConfigStorm ? configsPerStorm : 1;
    for (int index = 0; index < configs; ++index)
        m_timers.runAfter(index * stormInterval, [this] { changeConfig(); });
}

void soak_world::cutDataCentre(const std::string& dataCentre, std::chrono::milliseconds duration)
{
    m_storeDisturbedUntil = std::max(m_storeDisturbedUntil, soakNow() + duration);
    const auto setMode = [this, dataCentre](proxy_mode mode) {
        for (const host_plan& plan : m_hosts) {
            if (plan.dataCentre == dataCentre)
                m_hostStates[plan.name].storeConnections->setMode(mode);
        }
    };
    for (const host_plan& plan : m_hosts)
        recordHostDisturbance(plan.name, duration);
    m_network.setDataCentreCut(dataCentre, true);
    setMode(proxy_mode::Blackhole);
    m_timers.runAfter(duration, [this, dataCentre, setMode] {
        m_network.setDataCentreCut(dataCentre, false);
        setMode(proxy_mode::Forward);
    });
}

void soak_world::takeDataCentreOut(const std::string& dataCentre, std::chrono::milliseconds duration)
{
    if (!m_dataCentresOut.insert(dataCentre).second || m_dataCentresOut.size() == m_options.dataCentres) {
        m_dataCentresOut.erase(dataCentre);
        return;
    }
    m_store->setDataCentreOut(dataCentre, true);
    m_checker.recordDataCentreOut(dataCentre, true, soakNow());
    // Keeps the data centre out for longer than the time in which new flows to it have to stop.
    m_timers.runAfter(m_bounds.evacuationTime + duration, [this, dataCentre] {
        m_store->setDataCentreOut(dataCentre, false);
        m_checker.recordDataCentreOut(dataCentre, false, soakNow());
        m_dataCentresOut.erase(dataCentre);
        m_dataCentreBackAt[dataCentre] = soakNow();
    });
}

} // namespace shallotcove::soak
