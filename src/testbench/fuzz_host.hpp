#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>

#include <shallotcove/core/control_engine.hpp>

#include "fuzz_steps.hpp"
#include "scenario_variants.hpp"

namespace shallotcove::testbench {

/// A caller's packet in flight.
struct fuzz_packet {
    std::uint32_t flow {};
    std::uint32_t number {};
    std::uint32_t attempt {};
    /// Index in run_history::received.
    std::uint32_t receivedIndex {};
};

/// A simulated entry host: a control engine and a packet engine that share a clock with its own offset and
/// drift. A broken variant alters the packet engine's input or output.
class fuzz_host {
public:
    fuzz_host(const core::control_engine_options&, broken_variant, core::duration clockOffset, double drift);

    /// The host's own clock at a time of the simulation.
    core::timestamp clock(core::timestamp now) const;
    void applySnapshot(const std::shared_ptr<const core::routing_snapshot>&, core::timestamp now);
    core::decision handlePacket(const core::packet_summary&, core::timestamp now);
    core::decision handleRedirect(
        const core::packet_summary&, const core::redirect_header&, core::timestamp now);
    core::packet_engine_output advance(core::timestamp now);
    void handleMessage(const core::peer_message&, core::timestamp now);

    core::control_engine control;
    core::control_engine_output lastOutput;
    /// The snapshot that the packet engine currently uses.
    std::shared_ptr<const core::routing_snapshot> activeSnapshot;
    /// Store revision up to which the host has received changes.
    core::config_index watchedIndex;
    bool isLeaving {};

private:
    core::decision handleWithNewestWeights(const core::packet_summary&, core::timestamp now);
    std::shared_ptr<const core::routing_snapshot> applyVariant(
        const std::shared_ptr<const core::routing_snapshot>&);

    broken_variant m_variant;
    core::duration m_clockOffset;
    double m_drift {};
    product m_product;
    newest_weights m_newestWeights;
    /// The first epochs that the host saw of each service; used by broken_variant::DrainIgnored.
    std::map<core::service_id, std::vector<core::epoch_plan>> m_initialEpochs;
    std::deque<std::shared_ptr<const core::routing_snapshot>> m_recentSnapshots;
    std::uint32_t m_snapshotCount {};
};

} // namespace shallotcove::testbench
