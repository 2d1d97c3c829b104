#pragma once

#include <algorithm>
#include <concepts>
#include <memory>
#include <unordered_map>
#include <utility>

#include <shallotcove/core/packet_engine.hpp>
#include <shallotcove/core/rendezvous.hpp>
#include <shallotcove/core/routing_snapshot.hpp>

namespace shallotcove::testbench {

/// The packet engine of a simulated entry host: the product or a baseline.
template <typename Variant>
concept flow_variant = requires(Variant& variant, std::shared_ptr<const core::routing_snapshot> snapshot,
    const core::packet_summary& packet, const core::redirect_header& header,
    const core::peer_message& message, core::timestamp now)
{
    {
        Variant::name
        } -> std::convertible_to<const char*>;
    variant.applySnapshot(snapshot, now);
    {
        variant.handlePacket(packet, now)
        } -> std::same_as<core::decision>;
    {
        variant.handleRedirect(packet, header, now)
        } -> std::same_as<core::decision>;
    variant.handleMessage(message, now);
    {
        variant.advance(now)
        } -> std::same_as<core::packet_engine_output>;
};

/// The packet engine of the product.
class product {
public:
    static constexpr const char* name = "product";
    static constexpr bool hasLoadFeedback = true;

    void applySnapshot(std::shared_ptr<const core::routing_snapshot> snapshot, core::timestamp now)
    {
        m_engine.applySnapshot(std::move(snapshot), now);
    }
    core::decision handlePacket(const core::packet_summary& packet, core::timestamp now)
    {
        return m_engine.handlePacket(packet, {}, now);
    }
    core::decision handleRedirect(
        const core::packet_summary& packet, const core::redirect_header& header, core::timestamp now)
    {
        return m_engine.handleRedirect(packet, header, now);
    }
    void handleMessage(const core::peer_message& message, core::timestamp now)
    {
        if (const core::track_batch* const batch = std::get_if<core::track_batch>(&message))
            m_engine.handleTrackBatch(*batch, now);
        if (const core::hint* const hints = std::get_if<core::hint>(&message))
            m_engine.handleHint(*hints, now);
    }
    core::packet_engine_output advance(core::timestamp now) { return m_engine.advance(now); }

private:
    core::packet_engine m_engine
        = std::move(*core::packet_engine::create({ .localFlows = 1U << 15, .trackedFlows = 1U << 14 }));
};

/// The product without the correction of weights by load reports.
class no_load_feedback : public product {
public:
    static constexpr const char* name = "no feedback";
    static constexpr bool hasLoadFeedback = false;
};

/// The product with equal weights and without limits for cold servers.
class equal_weights : public product {
public:
    static constexpr const char* name = "equal weights";
    static constexpr bool hasLoadFeedback = false;

    void applySnapshot(std::shared_ptr<const core::routing_snapshot> snapshot, core::timestamp now)
    {
        const std::shared_ptr<core::routing_snapshot> equal
            = std::make_shared<core::routing_snapshot>(*snapshot);
        equal->limits.clear();
        for (std::shared_ptr<const core::service_config>& config : equal->services) {
            const std::shared_ptr<core::service_config> changed
                = std::make_shared<core::service_config>(*config);
            for (core::epoch_plan& epoch : changed->epochs) {
                for (core::weighted_server& server : epoch.servers)
                    server.weight = 100;
            }
            config = changed;
        }
        product::applySnapshot(equal, now);
    }
};

/// Baseline: forwards each packet to the server that the newest known epoch chooses, without flow state.
class newest_weights {
public:
    static constexpr const char* name = "newest weights";
    static constexpr bool hasLoadFeedback = false;

    void applySnapshot(std::shared_ptr<const core::routing_snapshot> snapshot, core::timestamp)
    {
        m_snapshot = std::move(snapshot);
    }
    core::decision handlePacket(const core::packet_summary& packet, core::timestamp)
    {
        const core::service_config* const service = findService(packet);
        if (service == nullptr || service->epochs.empty())
            return {};
        const std::optional<core::backend_server_id> choice
            = core::chooseServer(flowOf(packet), service->epochs.back().servers);
        return choice ? forward(*service, *choice) : core::decision {};
    }
    core::decision handleRedirect(const core::packet_summary&, const core::redirect_header&, core::timestamp)
    {
        return {};
    }
    void handleMessage(const core::peer_message&, core::timestamp) { }
    core::packet_engine_output advance(core::timestamp)
    {
        core::packet_engine_output output;
        // There are no tracked flows that could keep an epoch from being retired.
        if (m_snapshot != nullptr)
            output.retirementScanIndex = output.preparedScanIndex = m_snapshot->appliedIndex;
        return output;
    }

protected:
    core::flow_hash flowOf(const core::packet_summary& packet) const
    {
        return core::hashFlow(packet.key, m_snapshot->flowHashSeed);
    }
    const core::service_config* findService(const core::packet_summary& packet) const
    {
        if (m_snapshot == nullptr || m_snapshot->sync == core::sync_state::Starting)
            return nullptr;
        for (const std::shared_ptr<const core::service_config>& service : m_snapshot->services) {
            if (service->address == packet.key.service)
                return service.get();
        }
        return nullptr;
    }
    core::decision forward(const core::service_config& service, core::backend_server_id id) const
    {
        core::decision result;
        for (const core::backend_server& server : service.servers) {
            if (server.id != id || server.state == core::server_state::Removed)
                continue;
            const bool isOut = m_snapshot->dataCentresOut.contains(server.dataCentre);
            result.kind = isOut ? core::decision_kind::Refuse : core::decision_kind::Forward;
            result.server = id;
        }
        return result;
    }

private:
    std::shared_ptr<const core::routing_snapshot> m_snapshot;
};

/// Baseline: like newest_weights, but a host remembers the server of each flow that it has forwarded.
class local_table : public newest_weights {
public:
    static constexpr const char* name = "local table";

    core::decision handlePacket(const core::packet_summary& packet, core::timestamp now)
    {
        const core::service_config* const service = findService(packet);
        if (service == nullptr)
            return {};
        const std::uint64_t flow = flowOf(packet).high;
        const auto known = m_flows.find(flow);
        if (known != m_flows.end())
            return forward(*service, known->second);
        const core::decision placed = newest_weights::handlePacket(packet, now);
        if (placed.kind == core::decision_kind::Forward)
            m_flows.emplace(flow, placed.server);
        return placed;
    }

private:
    std::unordered_map<std::uint64_t, core::backend_server_id> m_flows;
};

} // namespace shallotcove::testbench
