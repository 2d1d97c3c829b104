#include "soak_world.hpp"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <sstream>

#include "fault_plan.hpp"
#include "soak_clock.hpp"

namespace shallotcove::soak {

namespace {

    constexpr std::uint16_t packetPort = 7000;
    constexpr std::uint16_t readinessPort = 7001;
    constexpr std::uint16_t peerPort = 7002;
    constexpr std::uint16_t metricsPort = 7003;
    constexpr std::size_t callersPerDataCentre = 2;
    // Extra server addresses for servers that are added during the run.
    constexpr std::size_t spareAddresses = 40;
    constexpr std::size_t probeRouteCount = 3;
    constexpr std::chrono::milliseconds probeInterval { 60 };
    constexpr std::chrono::milliseconds processPollInterval { 20 };
    constexpr std::chrono::milliseconds readinessPollInterval { 250 };
    constexpr std::chrono::seconds startTimeout { 20 };
    // Traffic after the recovery time, from which recovery is evaluated.
    constexpr std::chrono::milliseconds evaluationTime { 3000 };

    const steering::route_address callersRoute { 0xc6120001, 443 };
    const steering::route_address otherRoute { 0xc6120003, 443 };
    constexpr std::uint32_t probeAddress = 0xc6120002;

    core::socket_address loopback(unsigned network, unsigned part, std::size_t number, std::uint16_t port)
    {
        const std::uint32_t address
            = (127U << 24) | (network << 16) | (part << 8) | static_cast<std::uint32_t>(number);
        return { core::ip_address::fromV4(address), port };
    }

    steering::route routeTo(std::string name, steering::route_address at, std::string service)
    {
        steering::route route;
        route.name = std::move(name);
        route.at = at;
        route.targets = { { std::move(service), 1 } };
        route.timeout = std::chrono::milliseconds { 4000 };
        route.latencyGoal = std::chrono::milliseconds { 250 };
        route.priority = 1;
        return route;
    }

} // namespace

soak_world::soak_world(const soak_options& options)
    : m_options(options)
    , m_random(options.seed, 1)
    , m_processes(options.folder)
{
}

tl::expected<std::unique_ptr<soak_world>, std::string> soak_world::create(const soak_options& options)
{
    std::unique_ptr<soak_world> world(new soak_world(options));
    if (const std::optional<std::string> problem = world->open())
        return tl::unexpected(*problem);
    return world;
}

std::optional<std::string> soak_world::open()
{
    tl::expected<std::unique_ptr<platform::testing::store_standin>, std::string> store
        = platform::testing::store_standin::create(m_context);
    if (!store)
        return store.error();
    m_store = std::move(*store);
    if (const std::optional<std::string> problem = openHosts())
        return problem;
    return openServersAndCallers();
}

std::optional<std::string> soak_world::openHosts()
{
    std::vector<unsigned> hostsPerDataCentre(m_options.dataCentres);
    for (std::size_t index = 0; index < m_options.hosts; ++index) {
        const std::size_t dataCentreIndex = index % m_options.dataCentres;
        host_plan plan;
        plan.dataCentre = dataCentreName(dataCentreIndex);
        plan.name = plan.dataCentre + "-" + std::to_string(++hostsPerDataCentre[dataCentreIndex]);
        plan.packetAddress = loopback(m_options.network, 1, index + 1, packetPort);
        plan.readinessAddress = loopback(m_options.network, 1, index + 1, readinessPort);
        plan.peerAddress = loopback(m_options.network, 1, index + 1, peerPort);
        plan.metricsAddress = loopback(m_options.network, 1, index + 1, metricsPort);
        m_network.addHost(plan.packetAddress.address.toV4(), plan.name, plan.dataCentre);
        tl::expected<std::unique_ptr<tcp_proxy>, std::string> proxy
            = tcp_proxy::create(m_context, m_store->address());
        if (!proxy)
            return proxy.error();
        m_hostStates[plan.name].storeConnections = std::move(*proxy);
        m_hosts.push_back(std::move(plan));
    }
    tl::expected<std::unique_ptr<flow_router>, std::string> router = flow_router::create(
        m_context, m_timers, loopback(m_options.network, 0, 1, 0), m_hosts, m_options.isModuloHash);
    if (!router)
        return router.error();
    m_router = std::move(*router);
    return std::nullopt;
}

std::optional<std::string> soak_world::openServersAndCallers()
{
    m_servers = std::make_unique<server_fleet>(m_context, m_timers, m_checker, m_network, m_options.seed + 1);
    m_servers->setCallerPort(packetPort);
    for (std::size_t index = 0; index < m_options.servers + m_options.dataCentres + spareAddresses; ++index) {
        const core::socket_address address = loopback(m_options.network, 3, index + 1, packetPort);
        if (const tl::expected<void, std::string> added = m_servers->addAddress(address); !added)
            return added.error();
        m_freeAddresses.push_back(address);
    }
    m_callers = std::make_unique<caller_fleet>(
        m_context, m_timers, m_checker, *m_router, m_network, m_options.seed + 2);
    m_callers->setRoute(callersRoute);
    m_callers->setLossFilter([this](const steering::flow_address& flow) {
        const steering::server_entry* const server = m_servers->find(m_checker.serverOf(flow));
        if (server == nullptr)
            return true;
        const auto backAt = m_dataCentreBackAt.find(server->dataCentre);
        const bool wasOut = backAt != m_dataCentreBackAt.end() && soakNow() - backAt->second < requestTimeout;
        return !wasOut && !m_dataCentresOut.contains(server->dataCentre);
    });
    for (std::size_t index = 0; index < callersPerDataCentre * m_options.dataCentres; ++index) {
        const core::socket_address address = loopback(m_options.network, 2, index + 1, packetPort);
        if (const tl::expected<void, std::string> added
            = m_callers->addCaller(address, dataCentreName(index % m_options.dataCentres));
            !added)
            return added.error();
    }
    return std::nullopt;
}

void soak_world::writeSettings(const host_plan& plan, std::size_t logLinesPerSecond, bool isTruncated) const
{
    std::ofstream file(m_options.folder + "/" + plan.name + ".json");
    file << "{\"transport\": \"tagged\", \"name\": \"" << plan.name << "\", \"dataCentre\": \""
         << plan.dataCentre << "\",\n\"packetAddress\": \"" << plan.packetAddress.toString()
         << "\", \"readinessAddress\": \"" << plan.readinessAddress.toString() << "\",\n\"peerAddress\": \""
         << plan.peerAddress.toString() << "\", \"metricsAddress\": \"" << plan.metricsAddress.toString()
         << "\",\n\"storeAddress\": \"" << m_hostStates.at(plan.name).storeConnections->address().toString()
         << "\",\n\"seeds\": [";
    for (std::size_t index = 0; index < std::min<std::size_t>(3, m_hosts.size()); ++index)
        file << (index > 0 ? ", \"" : "\"") << m_hosts[index].peerAddress.toString() << '"';
    file << "],\n\"limits\": {\"logLinesPerSecond\": " << logLinesPerSecond << "}"
         << (isTruncated ? "" : "}\n");
}

void soak_world::log(const std::string& text) const
{
    const std::chrono::duration<double> time = soakNow() - m_startedAt;
    std::fprintf(stderr, "%8.3f %s\n", time.count(), text.c_str());
}

void soak_world::run()
{
    m_startedAt = soakNow();
    m_config.services
        = { { "booking", coldTime, m_options.coldFlowsPerSecond }, { "probing", {}, 0 }, { "other", {}, 0 } };
    m_config.routes = steering::shareRoutes(
        { routeTo("callers", callersRoute, "booking"), routeTo("other", otherRoute, "other") });
    for (std::size_t index = 0; index < probeRouteCount; ++index)
        changeConfig();
    for (std::size_t index = 0; index < m_options.servers; ++index)
        addServer("booking", dataCentreName(index % m_options.dataCentres), false);
    for (std::size_t index = 0; index < m_options.dataCentres; ++index)
        addServer("probing", dataCentreName(index), false);
    for (const host_plan& plan : m_hosts) {
        writeSettings(plan, 400, false);
        startHost(plan.name);
    }
    m_router->startProbes();
    watchProcesses();
    beginTraffic();
    m_context.run();
}

void soak_world::beginTraffic()
{
    if (!m_router->areAllReady() && soakNow() - m_startedAt < startTimeout) {
        m_timers.runAfter(readinessPollInterval, [this] { beginTraffic(); });
        return;
    }
    log("traffic begins");
    m_startedAt = soakNow();
    m_callers->start(m_options.requestsPerSecond);
    probeHosts();
    scheduleFaults();
}

void soak_world::scheduleFaults()
{
    std::chrono::milliseconds end = warmUpTime;
    for (const fault& planned : planFaults(m_options)) {
        m_timers.runAfter(planned.at, [this, planned] { inject(planned); });
        end = std::max(end, planned.at + planned.duration);
    }
    m_timers.runAfter(end, [this] { beginRecovery(); });
}

void soak_world::beginRecovery()
{
    log("fault injection ended");
    m_checker.recordFaultsEnd(soakNow());
    m_timers.runAfter(m_bounds.recoveryTime + evaluationTime, [this] {
        m_callers->stop();
        m_isShuttingDown = true;
        m_timers.runAfter(m_bounds.settleTime, [this] { stopHosts(); });
    });
}

void soak_world::stopHosts()
{
    log("stopping hosts");
    for (const host_plan& plan : m_hosts)
        stop(plan.name, {});
    m_timers.runAfter(m_bounds.gracePeriod + std::chrono::seconds { 1 }, [this] { finish(); });
}

void soak_world::finish()
{
    m_checker.finish(soakNow());
    m_context.stop();
}

void soak_world::watchProcesses()
{
    for (const host_exit& ended : m_processes.takeExits())
        handleExit(ended);
    m_timers.runAfter(processPollInterval, [this] { watchProcesses(); });
}

void soak_world::handleExit(const host_exit& ended)
{
    host_state& state = m_hostStates[ended.host];
    const core::timestamp now = soakNow();
    m_checker.recordHostExit(ended.host, state.terminationRequestedAt, ended.wasKilled, ended.status, now);
    if (!state.terminationRequestedAt && !ended.wasKilled) {
        log(ended.host + " exited unexpectedly");
        recordHostDisturbance(ended.host, std::chrono::milliseconds { 1000 });
    }
    state.terminationRequestedAt.reset();
    ++state.exitCount;
    if (!m_isShuttingDown)
        m_timers.runAfter(state.restartDelay, [this, host = ended.host] { startHost(host); });
}

void soak_world::startHost(const std::string& host)
{
    m_checker.recordHostStart(host);
    m_processes.start(host);
    m_timers.runAfter(std::chrono::seconds { 1 }, [this, host] { waitUntilReady(host); });
}

void soak_world::waitUntilReady(const std::string& host)
{
    host_state& state = m_hostStates[host];
    if (!state.isAwaitingReadiness)
        return;
    if (!m_processes.isRunning(host) || !m_router->isReady(host)) {
        m_timers.runAfter(readinessPollInterval, [this, host] { waitUntilReady(host); });
        return;
    }
    state.isAwaitingReadiness = false;
    m_checker.endHostDisturbance(host, soakNow());
}

void soak_world::changeConfig()
{
    // Adds a probe route and, once there are probeRouteCount of them, removes the oldest.
    const auto oldest = std::find_if(m_config.routes.begin(), m_config.routes.end(),
        [](const std::shared_ptr<const steering::route>& route) { return route->name.starts_with("probe"); });
    if (m_nextProbePort >= 1000 + probeRouteCount && oldest != m_config.routes.end()) {
        m_removedProbeRoutes.push_back((*oldest)->at);
        m_config.routes.erase(oldest);
    }
    const std::uint16_t port = m_nextProbePort++;
    m_config.routes.push_back(std::make_shared<const steering::route>(
        routeTo("probe-" + std::to_string(port), { probeAddress, port }, "probing")));
    m_config.version += 1 + m_random(5);
    m_store->putConfig(m_config);
    m_checker.recordConfig(m_config, soakNow());
}

void soak_world::probeHosts()
{
    if (m_isShuttingDown)
        return;
    const std::string& host = m_hosts[m_random(static_cast<std::uint32_t>(m_hosts.size()))].name;
    if (m_router->isReady(host)) {
        const bool isRemoved = !m_removedProbeRoutes.empty() && m_random(2) == 0;
        const std::vector<std::shared_ptr<const steering::route>>& routes = m_config.routes;
        const steering::route_address at = isRemoved
            ? m_removedProbeRoutes.back()
            : routes[2 + m_random(static_cast<std::uint32_t>(routes.size() - 2))]->at;
        m_callers->probe(host, at);
    }
    m_timers.runAfter(probeInterval, [this] { probeHosts(); });
}

std::string soak_world::report() const
{
    std::ostringstream text;
    text << "seed " << m_options.seed << ", " << m_options.hosts << " hosts: " << m_callers->served()
         << " requests served, " << m_callers->lost() << " lost, " << m_callers->refused() << " refusals\n";
    for (const auto& [kind, count] : m_injected)
        text << "  fault   " << textOf(kind) << ": " << count << "\n";
    for (int index = 0; index <= static_cast<int>(promise::Recovery); ++index)
        text << "  checked " << textOf(static_cast<promise>(index)) << ": "
             << m_checker.checkCount(static_cast<promise>(index)) << "\n";
    for (const violation& found : m_checker.violations()) {
        const std::chrono::duration<double> time = found.at - m_startedAt;
        text << "  BROKEN  " << textOf(found.broken) << " at " << time.count() << " s: " << found.text
             << "\n";
    }
    text << (isClean() ? "all promises kept\n" : "promises broken\n");
    return text.str();
}

} // namespace shallotcove::soak
