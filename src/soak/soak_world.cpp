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
    // Addresses of servers beyond those in use, for servers that come later.
    constexpr std::size_t spareAddresses = 40;
    constexpr std::size_t probeRoutes = 3;
    constexpr std::chrono::milliseconds probePause { 60 };
    constexpr std::chrono::milliseconds processPoll { 20 };
    constexpr std::chrono::milliseconds readyPoll { 250 };
    constexpr std::chrono::seconds startLimit { 20 };
    // Traffic after the recovery time, to be judged.
    constexpr std::chrono::milliseconds judgedTail { 3000 };

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
    return openEnds();
}

std::optional<std::string> soak_world::openHosts()
{
    std::vector<unsigned> numbers(m_options.dataCentres);
    for (std::size_t index = 0; index < m_options.hosts; ++index) {
        const std::size_t place = index % m_options.dataCentres;
        host_plan plan;
        plan.dataCentre = nameOf(place);
        plan.name = plan.dataCentre + "-" + std::to_string(++numbers[place]);
        plan.packets = loopback(m_options.network, 1, index + 1, packetPort);
        plan.readiness = loopback(m_options.network, 1, index + 1, readinessPort);
        plan.peers = loopback(m_options.network, 1, index + 1, peerPort);
        plan.metrics = loopback(m_options.network, 1, index + 1, metricsPort);
        m_network.addHost(plan.packets.address.toV4(), plan.name, plan.dataCentre);
        tl::expected<std::unique_ptr<tcp_proxy>, std::string> proxy
            = tcp_proxy::create(m_context, m_store->address());
        if (!proxy)
            return proxy.error();
        m_states[plan.name].storeConnections = std::move(*proxy);
        m_hosts.push_back(std::move(plan));
    }
    tl::expected<std::unique_ptr<flow_router>, std::string> router = flow_router::create(
        m_context, m_work, loopback(m_options.network, 0, 1, 0), m_hosts, m_options.isModuloHash);
    if (!router)
        return router.error();
    m_router = std::move(*router);
    return std::nullopt;
}

std::optional<std::string> soak_world::openEnds()
{
    m_servers = std::make_unique<server_fleet>(m_context, m_work, m_checker, m_network, m_options.seed + 1);
    m_servers->setCallerPort(packetPort);
    for (std::size_t index = 0; index < m_options.servers + m_options.dataCentres + spareAddresses; ++index) {
        const core::socket_address address = loopback(m_options.network, 3, index + 1, packetPort);
        if (const tl::expected<void, std::string> added = m_servers->addAddress(address); !added)
            return added.error();
        m_freeAddresses.push_back(address);
    }
    m_callers = std::make_unique<caller_fleet>(
        m_context, m_work, m_checker, *m_router, m_network, m_options.seed + 2);
    m_callers->setRoute(callersRoute);
    m_callers->setLossFilter([this](const steering::flow_address& flow) {
        const steering::server_entry* const server = m_servers->find(m_checker.serverOf(flow));
        if (server == nullptr)
            return true;
        const auto back = m_backSince.find(server->dataCentre);
        const bool wasOut = back != m_backSince.end() && soakNow() - back->second < requestTimeout;
        return !wasOut && !m_dataCentresOut.contains(server->dataCentre);
    });
    for (std::size_t index = 0; index < callersPerDataCentre * m_options.dataCentres; ++index) {
        const core::socket_address address = loopback(m_options.network, 2, index + 1, packetPort);
        if (const tl::expected<void, std::string> added
            = m_callers->addCaller(address, nameOf(index % m_options.dataCentres));
            !added)
            return added.error();
    }
    return std::nullopt;
}

void soak_world::writeSettings(const host_plan& plan, std::size_t logLinesPerSecond, bool isBroken) const
{
    std::ofstream file(m_options.folder + "/" + plan.name + ".json");
    file << "{\"transport\": \"tagged\", \"name\": \"" << plan.name << "\", \"dataCentre\": \""
         << plan.dataCentre << "\",\n\"packetAddress\": \"" << plan.packets.toString()
         << "\", \"readinessAddress\": \"" << plan.readiness.toString() << "\",\n\"peerAddress\": \""
         << plan.peers.toString() << "\", \"metricsAddress\": \"" << plan.metrics.toString()
         << "\",\n\"storeAddress\": \"" << m_states.at(plan.name).storeConnections->address().toString()
         << "\",\n\"seeds\": [";
    for (std::size_t index = 0; index < std::min<std::size_t>(3, m_hosts.size()); ++index)
        file << (index > 0 ? ", \"" : "\"") << m_hosts[index].peers.toString() << '"';
    file << "],\n\"limits\": {\"logLinesPerSecond\": " << logLinesPerSecond << "}" << (isBroken ? "" : "}\n");
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
    m_config.routes = { routeTo("callers", callersRoute, "booking"), routeTo("other", otherRoute, "other") };
    for (std::size_t index = 0; index < probeRoutes; ++index)
        changeConfig();
    for (std::size_t index = 0; index < m_options.servers; ++index)
        addServer("booking", nameOf(index % m_options.dataCentres), false);
    for (std::size_t index = 0; index < m_options.dataCentres; ++index)
        addServer("probing", nameOf(index), false);
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
    if (!m_router->areAllReady() && soakNow() - m_startedAt < startLimit) {
        m_work.runAfter(readyPoll, [this] { beginTraffic(); });
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
    std::chrono::milliseconds end = calmStart;
    for (const fault& planned : planFaults(m_options)) {
        m_work.runAfter(planned.at, [this, planned] { inject(planned); });
        end = std::max(end, planned.at + planned.length);
    }
    m_work.runAfter(end, [this] { beginCalm(); });
}

void soak_world::beginCalm()
{
    log("no more faults");
    m_checker.recordCalmFrom(soakNow());
    m_work.runAfter(m_bounds.recovery + judgedTail, [this] {
        m_callers->stop();
        m_isEnding = true;
        m_work.runAfter(m_bounds.stable, [this] { endHosts(); });
    });
}

void soak_world::endHosts()
{
    log("hosts are told to end");
    for (const host_plan& plan : m_hosts)
        stop(plan.name, {});
    m_work.runAfter(m_bounds.grace + std::chrono::seconds { 1 }, [this] { finish(); });
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
    m_work.runAfter(processPoll, [this] { watchProcesses(); });
}

void soak_world::handleExit(const host_exit& ended)
{
    host_state& state = m_states[ended.host];
    const core::timestamp now = soakNow();
    m_checker.recordExit(ended.host, state.toldToEndAt, ended.wasKilled, ended.status, now);
    if (!state.toldToEndAt && !ended.wasKilled) {
        log(ended.host + " ended by itself");
        troubleHost(ended.host, std::chrono::milliseconds { 1000 });
    }
    state.toldToEndAt.reset();
    ++state.endings;
    if (!m_isEnding)
        m_work.runAfter(state.restartDelay, [this, host = ended.host] { startHost(host); });
}

void soak_world::startHost(const std::string& host)
{
    m_checker.recordStart(host);
    m_processes.start(host);
    m_work.runAfter(std::chrono::seconds { 1 }, [this, host] { awaitReady(host); });
}

void soak_world::awaitReady(const std::string& host)
{
    host_state& state = m_states[host];
    if (!state.isAwaited)
        return;
    if (!m_processes.isRunning(host) || !m_router->isReady(host)) {
        m_work.runAfter(readyPoll, [this, host] { awaitReady(host); });
        return;
    }
    state.isAwaited = false;
    m_checker.endHostTrouble(host, soakNow());
}

void soak_world::changeConfig()
{
    // Removes the oldest probe route once there are enough, and adds a new one.
    const auto oldest = std::find_if(m_config.routes.begin(), m_config.routes.end(),
        [](const steering::route& route) { return route.name.starts_with("probe"); });
    if (m_nextProbePort >= 1000 + probeRoutes && oldest != m_config.routes.end()) {
        m_formerProbes.push_back(oldest->at);
        m_config.routes.erase(oldest);
    }
    const std::uint16_t port = m_nextProbePort++;
    m_config.routes.push_back(routeTo("probe-" + std::to_string(port), { probeAddress, port }, "probing"));
    m_config.version += 1 + m_random(5);
    m_store->putConfig(m_config);
    m_checker.recordConfig(m_config, soakNow());
}

void soak_world::probeHosts()
{
    if (m_isEnding)
        return;
    const std::string& host = m_hosts[m_random(static_cast<std::uint32_t>(m_hosts.size()))].name;
    if (m_router->isReady(host)) {
        const bool isFormer = !m_formerProbes.empty() && m_random(2) == 0;
        const std::vector<steering::route>& routes = m_config.routes;
        const steering::route_address at = isFormer
            ? m_formerProbes.back()
            : routes[2 + m_random(static_cast<std::uint32_t>(routes.size() - 2))].at;
        m_callers->probe(host, at);
    }
    m_work.runAfter(probePause, [this] { probeHosts(); });
}

std::string soak_world::report() const
{
    std::ostringstream text;
    text << "seed " << m_options.seed << ", " << m_options.hosts << " hosts: " << m_callers->served()
         << " requests served, " << m_callers->lost() << " lost, " << m_callers->refused() << " refusals\n";
    for (const auto& [kind, count] : m_injected)
        text << "  fault   " << textOf(kind) << ": " << count << "\n";
    for (int kept = 0; kept <= static_cast<int>(promise::Recovery); ++kept)
        text << "  checked " << textOf(static_cast<promise>(kept)) << ": "
             << m_checker.checks(static_cast<promise>(kept)) << "\n";
    for (const violation& found : m_checker.violations()) {
        const std::chrono::duration<double> time = found.at - m_startedAt;
        text << "  BROKEN  " << textOf(found.broken) << " at " << time.count() << " s: " << found.text
             << "\n";
    }
    text << (isClean() ? "all promises kept\n" : "promises broken\n");
    return text.str();
}

} // namespace shallotcove::soak
