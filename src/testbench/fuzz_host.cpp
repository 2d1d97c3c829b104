#include "fuzz_host.hpp"

#include <utility>

namespace shallotcove::testbench {

fuzz_host::fuzz_host(const core::control_engine_options& options, broken_variant variant,
    core::duration clockOffset, double drift)
    : control(std::move(*core::control_engine::create(options)))
    , m_variant(variant)
    , m_clockOffset(clockOffset)
    , m_drift(drift)
{
}

core::timestamp fuzz_host::clock(core::timestamp now) const
{
    const core::duration drifted { std::int64_t(double(now.sinceStart.count()) * m_drift) };
    return now + m_clockOffset + drifted;
}

std::shared_ptr<const core::routing_snapshot> fuzz_host::applyVariant(
    const std::shared_ptr<const core::routing_snapshot>& snapshot)
{
    const std::shared_ptr<core::routing_snapshot> altered
        = std::make_shared<core::routing_snapshot>(*snapshot);
    switch (m_variant) {
    case broken_variant::NoColdLimits:
        altered->limits.clear();
        return altered;
    case broken_variant::OutIgnored:
        altered->dataCentresOut.clear();
        return altered;
    case broken_variant::DrainIgnored:
        for (std::shared_ptr<const core::service_config>& config : altered->services) {
            const std::shared_ptr<core::service_config> previous
                = std::make_shared<core::service_config>(*config);
            previous->epochs = m_initialEpochs.emplace(config->id, config->epochs).first->second;
            for (core::backend_server& server : previous->servers)
                server.state = core::server_state::Active;
            config = previous;
        }
        return altered;
    case broken_variant::RevertedConfig:
        // Replaces every fifth snapshot by the oldest of the last 20.
        m_recentSnapshots.push_back(snapshot);
        if (m_recentSnapshots.size() > 20)
            m_recentSnapshots.pop_front();
        return ++m_snapshotCount % 5 == 0 ? m_recentSnapshots.front() : snapshot;
    default:
        return snapshot;
    }
}

void fuzz_host::applySnapshot(
    const std::shared_ptr<const core::routing_snapshot>& snapshot, core::timestamp now)
{
    activeSnapshot = applyVariant(snapshot);
    m_product.applySnapshot(activeSnapshot, clock(now));
    m_newestWeights.applySnapshot(activeSnapshot, clock(now));
}

core::decision fuzz_host::handlePacket(const core::packet_summary& packet, core::timestamp now)
{
    if (m_variant == broken_variant::NewestWeights)
        return handleWithNewestWeights(packet, now);
    core::decision result = m_product.handlePacket(packet, clock(now));
    if (m_variant == broken_variant::ResetAtLeave && isLeaving && !packet.isFirst)
        result.kind = core::decision_kind::Refuse;
    return result;
}

core::decision fuzz_host::handleWithNewestWeights(const core::packet_summary& packet, core::timestamp now)
{
    core::decision result = m_newestWeights.handlePacket(packet, clock(now));
    if (result.kind != core::decision_kind::Forward)
        return result;
    for (const std::shared_ptr<const core::service_config>& service : activeSnapshot->services)
        for (const core::backend_server& server : service->servers)
            if (service->address == packet.key.service && server.id == result.server)
                result.serverAddress = server.address;
    return result;
}

core::decision fuzz_host::handleRedirect(
    const core::packet_summary& packet, const core::redirect_header& header, core::timestamp now)
{
    return m_product.handleRedirect(packet, header, clock(now));
}

core::packet_engine_output fuzz_host::advance(core::timestamp now)
{
    return m_variant == broken_variant::NewestWeights ? m_newestWeights.advance(clock(now))
                                                      : m_product.advance(clock(now));
}

void fuzz_host::handleMessage(const core::peer_message& message, core::timestamp now)
{
    m_product.handleMessage(message, clock(now));
}

} // namespace shallotcove::testbench
