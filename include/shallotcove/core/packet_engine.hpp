#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

#include <shallotcove/core/capacity_estimator.hpp>
#include <shallotcove/core/class_evidence.hpp>
#include <shallotcove/core/decision.hpp>
#include <shallotcove/core/flow.hpp>
#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/ip_address.hpp>
#include <shallotcove/core/packet_engine_options.hpp>
#include <shallotcove/core/packet_engine_output.hpp>
#include <shallotcove/core/peer_message.hpp>
#include <shallotcove/core/server_evidence.hpp>
#include <shallotcove/core/time.hpp>
#include <tl/expected.hpp>

namespace shallotcove::core {

struct routing_snapshot;
enum class packet_engine_error : std::uint8_t { CapacityOutOfRange, IdleTimeoutOutOfRange };

/// Decides on every packet of one entry host. Not thread safe: the packet thread owns it. handle*() neither
/// allocate nor lock.
class packet_engine {
public:
    static tl::expected<packet_engine, packet_engine_error> create(const packet_engine_options&);

    packet_engine(packet_engine&&) noexcept;
    packet_engine& operator=(packet_engine&&) noexcept;
    ~packet_engine();

    /// Replaces the configuration, membership and limits that the engine decides by.
    void applySnapshot(std::shared_ptr<const routing_snapshot>, timestamp now);
    /// Decides on a packet from the fabric at fabricAddress.
    decision handlePacket(const packet_summary&, const socket_address& fabricAddress, timestamp now);
    /// Decides on a packet that another host redirected here.
    decision handleRedirect(const packet_summary&, const redirect_header&, timestamp now);
    void handleTrackBatch(const track_batch&, timestamp now);
    void handleHint(const hint&, timestamp now);
    /// Does periodic work: retirement scan, refresh of tracked flows, expiry. Call every 10 to 100 ms.
    packet_engine_output advance(timestamp now);

    std::size_t localFlowCount() const;
    std::size_t trackedFlowCount() const;

private:
    class implementation;
    explicit packet_engine(std::unique_ptr<implementation>);
    std::unique_ptr<implementation> m_implementation;
};

} // namespace shallotcove::core
