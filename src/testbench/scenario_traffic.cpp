#include "scenario_traffic.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace shallotcove::testbench {

namespace {

    using namespace std::chrono_literals;

    /// The rate of new flows that a cold server can handle grows by this factor every warmingSeconds.
    constexpr double warmingFactor = 1.5;
    constexpr double warmingSeconds = 2;

    core::duration seconds(double value) { return core::duration { static_cast<std::int64_t>(value * 1e9) }; }

    double toSeconds(core::duration length) { return std::chrono::duration<double>(length).count(); }

} // namespace

scenario_traffic::scenario_traffic(const core::socket_address& service, std::uint64_t seed)
    : m_service(service)
    , m_random(seed)
{
}

std::uint32_t scenario_traffic::openFlow(core::timestamp now)
{
    // A fifth of the flows has a mean duration of 30 s, the others of 5 s; the overall mean is 10 s.
    const double mean = random() < 0.2 ? 30 : 5;
    m_flows.push_back({ .server = {}, .end = now + seconds(-mean * std::log(1 - random())) });
    return std::uint32_t(m_flows.size() - 1);
}

core::packet_summary scenario_traffic::packet(std::uint32_t flow, std::uint32_t number) const
{
    core::packet_summary packet;
    packet.key
        = { { core::ip_address::fromV4(0x0a000000 + flow / 16384), std::uint16_t(40000 + flow % 16384) },
              m_service, core::transport::Tcp };
    packet.isFirst = number == 0;
    packet.bytes = 200;
    return packet;
}

bool scenario_traffic::isDelivered(std::uint32_t flow, std::uint32_t number) const
{
    return m_flows[flow].isFinished || m_flows[flow].delivered > number;
}

std::optional<core::duration> scenario_traffic::deliver(
    std::uint32_t number, std::uint32_t packetNumber, core::backend_server_id id, core::timestamp now)
{
    caller_flow& flow = m_flows[number];
    const auto at = m_servers.find(id);
    if (flow.isFinished || at == m_servers.end())
        return std::nullopt;
    server_load& load = at->second;
    const auto out = m_dataCentreOutSince.find(load.server.dataCentre);
    if (out != m_dataCentreOutSince.end())
        m_report.lastPacketToDataCentreOut
            = std::max(m_report.lastPacketToDataCentreOut, toSeconds(now - out->second));
    if (flow.delivered == 0) {
        if (!acceptFirstPacket(load, now))
            return std::nullopt;
        flow.server = id;
        if (load.isSlow && now < flow.end)
            flow.end = now + 2 * (flow.end - now);
        flow.wasInDataCentreOut = out != m_dataCentreOutSince.end();
        ++load.openFlows;
        ++m_report.established;
    }
    if (flow.server != id) {
        // If a retransmitted first packet reaches another server, the caller ignores the response of that
        // server.
        if (packetNumber > 0)
            breakFlow(flow);
        return std::nullopt;
    }
    if (flow.delivered > packetNumber)
        return std::nullopt;
    flow.delivered = packetNumber + 1;
    if (now >= flow.end) {
        finishFlow(flow);
        return std::nullopt;
    }
    return packetNumber == 0 ? core::duration { 4ms } : seconds(-2 * std::log(1 - random()));
}

bool scenario_traffic::acceptFirstPacket(server_load& load, core::timestamp now)
{
    const std::uint32_t second = std::uint32_t(toSeconds(now.sinceStart));
    if (load.currentSecond != second)
        load.newFlowsInSecond = 0;
    load.currentSecond = second;
    ++load.newFlowsInSecond;
    if (load.isHalved) {
        const core::duration since = now - m_halving->at;
        if (since >= 2s && since < 10s)
            ++m_halving->firstPackets;
        return load.newFlowsInSecond <= load.halvedRate;
    }
    if (!load.isCold)
        return true;
    const double capacity = std::min<double>(load.server.newFlowsPerSecond,
        load.server.coldNewFlowsPerSecond
            * std::pow(warmingFactor, toSeconds(now - load.coldSince) / warmingSeconds));
    m_report.peakColdLoad = std::max(m_report.peakColdLoad, load.newFlowsInSecond / capacity);
    const bool isExcess = load.newFlowsInSecond > capacity;
    if (isExcess)
        m_report.lastColdExcess = std::max(m_report.lastColdExcess, toSeconds(now - load.coldSince));
    return !isExcess;
}

void scenario_traffic::refuse(std::uint32_t number, std::uint32_t packetNumber)
{
    caller_flow& flow = m_flows[number];
    if (flow.isFinished)
        return;
    if (flow.delivered == 0) {
        ++m_report.refused;
        flow.isFinished = true;
    } else if (packetNumber > 0) {
        breakFlow(flow);
    }
}

void scenario_traffic::abandon(std::uint32_t number)
{
    caller_flow& flow = m_flows[number];
    if (flow.isFinished)
        return;
    if (flow.delivered > 0)
        return breakFlow(flow);
    ++m_report.unanswered;
    flow.isFinished = true;
}

void scenario_traffic::finishFlow(caller_flow& flow)
{
    flow.isFinished = true;
    --m_servers[flow.server].openFlows;
}

void scenario_traffic::breakFlow(caller_flow& flow)
{
    m_report.broken += flow.wasInDataCentreOut ? 0 : 1;
    finishFlow(flow);
}

void scenario_traffic::addOrUpdateServer(const core::backend_server& server, bool isCold, core::timestamp now)
{
    const auto [at, isNew] = m_servers.try_emplace(server.id);
    at->second.server = server;
    if (isNew && isCold)
        at->second.coldSince = now;
    at->second.isCold |= isNew && isCold;
}

void scenario_traffic::halveCapacity(core::backend_server_id id, core::timestamp now)
{
    double weights = 0;
    for (const auto& [other, load] : m_servers)
        weights += load.server.weight;
    server_load& load = m_servers.at(id);
    load.isHalved = true;
    load.halvedRate = scenarioFlowsPerSecond * load.server.weight / weights / 2;
    m_halving = capacity_halving { now, m_imbalances.size(), load.halvedRate, 0 };
}

void scenario_traffic::doubleFlowDurations(core::backend_server_id id) { m_servers.at(id).isSlow = true; }

double scenario_traffic::capacityOf(const server_load& load)
{
    return load.isHalved ? load.server.weight / 2.0 : load.server.weight;
}

void scenario_traffic::setDataCentreOut(const std::string& dataCentre, bool isOut, core::timestamp now)
{
    if (isOut)
        m_dataCentreOutSince[dataCentre] = now;
    else
        m_dataCentreOutSince.erase(dataCentre);
    for (caller_flow& flow : m_flows) {
        const auto at = m_servers.find(flow.server);
        flow.wasInDataCentreOut |= at != m_servers.end() && at->second.server.dataCentre == dataCentre;
    }
    for (auto& [id, load] : m_servers) {
        if (!isOut && load.server.dataCentre == dataCentre)
            turnCold(id, now);
    }
}

void scenario_traffic::turnCold(core::backend_server_id id, core::timestamp now)
{
    server_load& load = m_servers.at(id);
    load.isCold = true;
    load.coldSince = now;
    load.newFlowsInSecond = 0;
}

void scenario_traffic::sampleImbalance()
{
    std::vector<double> loads;
    for (const auto& [id, load] : m_servers) {
        if (load.server.state == core::server_state::Active && !load.isCold)
            loads.push_back(double(load.openFlows) / capacityOf(load));
    }
    const double mean = std::accumulate(loads.begin(), loads.end(), 0.0) / double(loads.size());
    m_imbalances.push_back(mean > 0 ? *std::max_element(loads.begin(), loads.end()) / mean : 1);
}

traffic_report scenario_traffic::report(std::uint32_t measuredSeconds) const
{
    traffic_report report = m_report;
    const auto first
        = m_imbalances.end() - std::min<std::ptrdiff_t>(measuredSeconds, std::ssize(m_imbalances));
    report.imbalance = std::accumulate(first, m_imbalances.end(), 0.0) / double(m_imbalances.end() - first);
    if (m_halving) {
        const auto after = m_imbalances.begin() + std::ptrdiff_t(m_halving->sampleIndex);
        report.imbalanceAfterHalving = std::accumulate(after + 8, after + 11, 0.0) / 3;
        report.secondsToRecover = 1 + double(std::find_if(after, m_imbalances.end(), [](double imbalance) {
            return imbalance < 1.25;
        }) - after);
        report.excessAfterHalving = m_halving->firstPackets / (8 * m_halving->capacity);
    }
    return report;
}

} // namespace shallotcove::testbench
