#pragma once

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include <pcg_random.hpp>

#include <shallotcove/core/config_json.hpp>

#include "fuzz_host.hpp"
#include "fuzz_operator.hpp"
#include "fuzz_steps.hpp"
#include "fuzz_traffic.hpp"
#include "scenario_store.hpp"

namespace shallotcove::testbench {

/// Simulates operators, callers, backend servers, a store and 3 to 5 entry hosts. The network between them
/// loses, delays and reorders packets and also duplicates messages between hosts. Records what the oracle
/// checks.
class fuzz_world {
public:
    fuzz_world(std::uint64_t seed, broken_variant);

    void apply(const fuzz_step&);
    /// Runs without new flows until all faults have ended and the callers have had time to finish.
    void settle();
    const run_history& history() const { return m_history; }

private:
    struct host_slot {
        std::unique_ptr<fuzz_host> host;
        /// Counts the starts of the host.
        std::uint32_t startCount {};
        core::timestamp pausedUntil;
        /// When the host stopped, began to leave or was paused. The fabric detects this with a delay.
        core::timestamp unavailableSince;
        std::optional<core::timestamp> stopsAt;
        /// Index in run_history::disturbances of the host's leave.
        std::size_t leaveIndex {};
    };
    struct redirect_in_flight {
        std::uint32_t to {};
        fuzz_packet packet;
        core::redirect_header header;
    };
    struct peer_datagram {
        std::uint32_t from {};
        std::uint32_t to {};
        core::peer_message message;
    };
    struct store_write_in_flight {
        std::uint32_t host {};
        std::uint32_t startCount {};
        core::store_write write;
    };
    struct store_write_result {
        std::uint32_t host {};
        std::uint32_t startCount {};
        std::string key;
        std::optional<bool> isWritten;
    };
    using event = std::variant<fuzz_packet, redirect_in_flight, peer_datagram, store_write_in_flight,
        store_write_result, response_in_flight>;

    static core::socket_address addressOf(std::uint32_t index);
    std::optional<std::uint32_t> indexOf(const core::host_id&) const;
    std::uint32_t dataCentreOf(std::uint32_t host) const { return host % m_history.dataCentres; }
    bool isPaused(std::uint32_t host) const { return m_now < m_slots[host].pausedUntil; }
    bool isPartitioned(std::uint32_t dataCentre) const
    {
        return m_now < m_partitionedUntil && dataCentre == m_partitionedDataCentre;
    }
    bool isConnected(std::uint32_t left, std::uint32_t right) const;
    bool isStoreReachable(std::uint32_t host) const;
    bool isLost();
    std::uint32_t runningHosts() const;

    void start(std::uint32_t index);
    void stop(std::uint32_t index);
    void recordDisturbance(
        disturbance_kind, core::duration length, std::uint32_t target = 0, std::uint32_t service = 0);
    void applyFault(const fuzz_step&);
    void applyChange(const fuzz_step&);
    void leave(std::uint32_t index);

    void run(core::duration);
    void tick();
    void openFlows();
    void sendFirstPacket(std::uint32_t flow);
    void sendNext(std::uint32_t flow);
    std::uint32_t pickHost();
    void advance(std::uint32_t index);
    void readStore(std::uint32_t index);
    bool tryAcquireLease(std::uint32_t index);
    void distributeHostList();
    void reportServerHealth(fuzz_host&);
    void dispatch(std::uint32_t index);
    void send(std::uint32_t from, const std::vector<core::addressed_message>&);
    void recordAppliedConfigs(std::uint32_t index);
    void deliverEvents();
    /// Reschedules an event for a paused host to the end of the pause. Returns whether the host is paused.
    template <typename Event> bool deferIfPaused(std::uint32_t host, const Event&);
    void handle(fuzz_packet);
    void handle(const redirect_in_flight&);
    void handle(const peer_datagram&);
    void handle(const store_write_in_flight&);
    void handle(const store_write_result&);
    void handle(const response_in_flight&);
    void applyDecision(std::uint32_t index, const fuzz_packet&, const core::decision&);
    void forward(std::uint32_t index, const fuzz_packet&, const core::socket_address& server);
    void refuse(const fuzz_packet&, core::refusal_reason);
    core::socket_address differentServer(const core::socket_address&);

    pcg32 m_random;
    broken_variant m_variant;
    core::timestamp m_now { std::chrono::seconds { 1 } };
    run_history m_history;
    scenario_store m_store;
    fuzz_traffic m_traffic;
    fuzz_operator m_operator;
    std::vector<host_slot> m_slots;
    std::multimap<core::timestamp, event> m_events;
    std::map<std::pair<std::uint32_t, std::string>, std::uint64_t> m_noted;
    std::uint32_t m_flowsOpened {};
    std::uint32_t m_burstFlows {};
    bool m_isSettling {};
    std::uint32_t m_leaseHolder {};
    core::timestamp m_leaseEnd;
    core::timestamp m_partitionedUntil;
    std::uint32_t m_partitionedDataCentre {};
    core::timestamp m_storeUnreachableUntil;
    core::timestamp m_storeSlowUntil;
    core::timestamp m_messageLossUntil;
    std::uint32_t m_writeResultsToDrop {};
};

} // namespace shallotcove::testbench
