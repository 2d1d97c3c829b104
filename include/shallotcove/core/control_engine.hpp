#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <shallotcove/core/address_decision.hpp>
#include <shallotcove/core/capacity_estimator.hpp>
#include <shallotcove/core/control_engine_options.hpp>
#include <shallotcove/core/control_engine_output.hpp>
#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/ip_address.hpp>
#include <shallotcove/core/listed_host.hpp>
#include <shallotcove/core/member.hpp>
#include <shallotcove/core/packet_engine.hpp>
#include <shallotcove/core/packet_engine_output.hpp>
#include <shallotcove/core/peer_message.hpp>
#include <shallotcove/core/store_entry.hpp>
#include <shallotcove/core/store_write.hpp>
#include <shallotcove/core/time.hpp>
#include <tl/expected.hpp>

namespace shallotcove::core {

struct routing_snapshot;
enum class control_engine_error : std::uint8_t { NoPeerAddress, NoDataCentre };

/// Membership, configuration, limits and planning of one entry host. Not thread-safe; used by the peer thread
/// only.
class control_engine {
public:
    static tl::expected<control_engine, control_engine_error> create(const control_engine_options&);

    control_engine(control_engine&&) noexcept;
    control_engine& operator=(control_engine&&) noexcept;
    ~control_engine();

    // Commands. Their results are part of the next output of advance().

    void handleMessage(host_id from, const socket_address& fromAddress, const peer_message&, timestamp now);
    /// Applies changes delivered by a watch on the store, which are complete up to upTo.
    void handleStoreEntries(const std::vector<store_entry>&, config_index upTo, timestamp now);
    /// Applies a complete read of the store as of upTo; keys that are not among the entries were deleted.
    void handleStoreContents(const std::vector<store_entry>&, config_index upTo, timestamp now);
    void handleHostList(const std::vector<listed_host>&, timestamp now);
    /// Sets whether this host holds the planner's lease according to the store's last answer.
    void handleLease(bool isHeld, timestamp now);
    /// Handles the result of a planner's write: true if written, false if refused, nothing if the answer was
    /// lost.
    void handleWriteResult(const std::string& key, std::optional<bool> wasWritten, timestamp now);
    void handlePacketEngineOutput(const packet_engine_output&, timestamp now);
    /// Sets the state of a backend server as reported by its health endpoint.
    void handleHealth(service_id, backend_server_id, bool isHealthy, timestamp now);
    /// Announces that this host is leaving.
    void leave(timestamp now);
    control_engine_output advance(timestamp now);

    // Queries.

    std::vector<member> members() const;
    config_index appliedIndex() const;
    std::optional<store_entry> entry(const std::string& key) const;
    std::vector<store_entry> entries() const;
    /// Hosts that have not applied index and may still be serving; an address is reused only when there are
    /// none.
    std::vector<socket_address> hostsBehind(config_index index) const;

private:
    class implementation;
    explicit control_engine(std::unique_ptr<implementation>);
    std::unique_ptr<implementation> m_implementation;
};

} // namespace shallotcove::core
