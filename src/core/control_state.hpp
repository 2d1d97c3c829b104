#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <pcg_random.hpp>

#include <shallotcove/core/capacity_estimator.hpp>
#include <shallotcove/core/control_engine.hpp>
#include <shallotcove/core/limit_policy.hpp>

#include "config_exchange.hpp"
#include "config_replica.hpp"
#include "limit_table.hpp"
#include "load_reporter.hpp"
#include "member_table.hpp"
#include "planner_driver.hpp"
#include "prober.hpp"
#include "snapshot_builder.hpp"
#include "sync_tracker.hpp"
#include <shallotcove/core/token_bucket.hpp>

namespace shallotcove::core {

/// State of a control_engine. Message handling is in control_messages.cpp, periodic work in
/// control_advance.cpp.
class control_engine::implementation {
public:
    explicit implementation(const control_engine_options&);

    void handleMessage(host_id from, const socket_address& fromAddress, const peer_message&, timestamp now);
    void handleStoreEntries(const std::vector<store_entry>&, config_index upTo);
    void handleStoreContents(const std::vector<store_entry>&, config_index upTo);
    void handleHostList(const std::vector<listed_host>&, timestamp now);
    void handlePacketEngineOutput(const packet_engine_output&, timestamp now);
    control_engine_output advance(timestamp now);
    std::vector<socket_address> hostsBehind(config_index index) const;

    member_table members;
    config_replica replica;
    planner_driver planning;
    limit_policy policy;

private:
    struct sender {
        host_id id;
        socket_address address;
    };
    /// A probe sent on behalf of another host.
    struct relayed_probe {
        sender origin;
        std::uint64_t probe {};
        host_id target;
        timestamp expires;
    };

    void applyEntries(const std::vector<store_entry>&);

    // Messages.
    void handle(const sender&, const ping&, timestamp now);
    void handle(const sender&, const ping_request&, timestamp now);
    void handle(const sender&, const ack&, timestamp now);
    void handle(const sender&, const config_pull&, timestamp now);
    void handle(const sender&, const config_push&, timestamp now);
    void handle(const sender&, const track_batch&, timestamp now);
    void handle(const sender&, const hint&, timestamp now);
    void handle(const sender&, const load_report&, timestamp now);
    /// Returns whether the gossip contained members or limits unknown to this host.
    bool mergeGossip(const sender&, const gossip&, timestamp now);
    /// Sends all members to a host that joins.
    void sendAllMembers(const sender& to);
    gossip gossipFor(host_id receiver, bool addRandomMember);
    void send(const sender&, peer_message);
    std::optional<socket_address> addressOf(host_id) const;

    // Periodic work.
    void updateConfiguration();
    void detectPause(timestamp now);
    void sendProbes(timestamp now);
    void announce(timestamp now);
    void pullConfiguration(timestamp now);
    void advanceLimits(timestamp now);
    void advancePlanning(timestamp now);
    void sendLoadReport(timestamp now);
    capacity_estimator::capacity_factors estimateCapacity(const std::vector<planner_service>&, timestamp now);
    /// Hosts that hold the planner's lease or, if no holder is known, hosts that may take it next.
    std::vector<sender> reportReceivers() const;
    void updateSnapshot();
    /// Whether this host may place flows, and so takes part in limits and planning.
    bool isPlacing() const;
    /// Whether this host is one of the first count alive hosts of its data centre in the order of
    /// watchRank().
    bool isAmongFirstInDataCentre(std::uint32_t count) const;
    void updateRankInDataCentre();
    void setContacts();

    control_engine_options m_options;
    pcg32 m_random;
    prober m_prober;
    config_exchange m_exchange;
    limit_table m_limits;
    snapshot_builder m_configuration;
    load_reporter m_reporter;
    capacity_estimator m_capacity;
    sync_tracker m_sync;
    sync_state m_snapshotSync { sync_state::Starting };
    config_index m_snapshotIndex;
    bool m_hasSnapshot {};
    /// Number of alive hosts in this host's data centre that come before it in the order of watchRank().
    std::uint32_t m_rankInDataCentre {};
    bool m_hasConfigurationChanged {};
    control_engine_output m_output;
    std::map<std::uint64_t, relayed_probe> m_relays;
    std::uint64_t m_lastRelay {};
    std::optional<timestamp> m_lastAdvance;
    timestamp m_nextAnnouncement;
    bool m_shouldAnnounceMembers {};
    bool m_shouldAnnounceLimits {};
    /// Limits the bytes of limit announcements, so that they stay within the control traffic budget of 13
    /// KB/s together with probes, tracked flows and hints. The burst is three announcements.
    token_bucket m_announcementBudget { 2000, 16800, 16800, {} };
    timestamp m_nextPlanning;
    timestamp m_nextLimits;
};

} // namespace shallotcove::core
