#pragma once

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include <pcg_random.hpp>

#include <shallotcove/wire/peer_codec.hpp>

#include "scenario_operator.hpp"
#include "scenario_store.hpp"
#include "scenario_table.hpp"
#include "scenario_traffic.hpp"
#include "scenario_variants.hpp"

namespace shallotcove::testbench {

struct cluster_report {
    traffic_report traffic;
    double controlBytesPerSecondPerHost {};
    double redirectsPerPacket {};
};

/// Simulated entry hosts, each with a control engine and a variant of the packet engine. An event queue
/// between them delays, drops and reorders packets and messages. Only the decision logic of the product runs;
/// there are no sockets, threads or real clocks.
template <flow_variant Variant> class scenario_cluster {
public:
    scenario_cluster(const scenario& plan, std::uint64_t seed, const wire::peer_key& key)
        : m_plan(plan)
        , m_random(seed)
        , m_key(key)
        , m_traffic(makeScenarioService(plan.servers).address, seed + 1)
    {
        storeService(m_store, m_traffic, makeScenarioService(plan.servers), m_now);
        for (std::size_t index = 0; index < hostCount; ++index)
            start(index);
    }

    cluster_report run()
    {
        const core::duration trafficTime = std::chrono::seconds { m_plan.trafficSeconds };
        const core::timestamp begin = m_now + warmUp;
        const core::timestamp end = begin + trafficTime;
        std::vector<scenario_change> changes = m_plan.changes;
        while (m_now < end) {
            m_now = m_now + tick;
            for (const scenario_change& change : changes) {
                if (begin + std::chrono::seconds { change.atSecond } <= m_now)
                    apply(change);
            }
            std::erase_if(changes, [&](const scenario_change& change) {
                return begin + std::chrono::seconds { change.atSecond } <= m_now;
            });
            if (m_now >= begin)
                openFlows();
            deliverEvents();
            for (std::size_t index = 0; index < hostCount; ++index)
                advance(index);
            if (m_now.sinceStart % std::chrono::seconds { 1 } == core::duration::zero() && m_now > begin)
                m_traffic.sampleImbalance();
        }
        const double seconds = std::chrono::duration<double>(trafficTime + warmUp).count();
        return { m_traffic.report(m_plan.measuredSeconds), double(m_controlBytes) / seconds / hostCount,
            double(m_redirects) / double(std::max<std::uint64_t>(1, m_packets)) };
    }

private:
    static constexpr std::size_t hostCount = 9;
    static constexpr core::duration tick = std::chrono::milliseconds { 5 };
    static constexpr core::duration warmUp = std::chrono::seconds { 15 };
    static constexpr core::duration fabricDetection = std::chrono::seconds { 3 };
    static constexpr double lossProbability = 0.002;
    /// Callers retransmit a packet after 1, 2, 4 and 8 s and abandon the flow when the last retransmission
    /// times out.
    static constexpr std::uint32_t maximumAttempts = 5;

    struct entry_host {
        std::optional<core::control_engine> control;
        std::unique_ptr<Variant> packets;
        core::control_engine_output lastOutput;
        core::config_index watchedIndex;
        std::uint64_t incarnation { 1 };
        bool isPartitioned {};
        core::timestamp lostSince;
    };
    struct caller_transmission {
        std::uint32_t flow {};
        std::uint32_t number {};
        std::uint32_t attempt {};
    };
    struct redirect_in_flight {
        std::size_t to {};
        caller_transmission packet;
        core::redirect_header header;
    };
    struct peer_datagram {
        std::size_t from {};
        std::size_t to {};
        core::peer_message message;
    };
    using event = std::variant<caller_transmission, redirect_in_flight, peer_datagram>;

    static core::socket_address addressOf(std::size_t index)
    {
        return { core::ip_address::fromV4(0x7f010000 + std::uint32_t(index)), 7946 };
    }
    static std::uint32_t dataCentreOf(std::size_t index) { return index % dataCentreCount; }
    static std::optional<std::size_t> indexOf(const core::host_id& id)
    {
        for (std::size_t index = 0; index < hostCount; ++index) {
            if (core::hostIdFor(addressOf(index)) == id)
                return index;
        }
        return std::nullopt;
    }

    void start(std::size_t index)
    {
        entry_host& host = m_hosts[index];
        core::control_engine_options options;
        options.self.peerAddress = addressOf(index);
        options.self.packetAddress = addressOf(index);
        options.self.dataCentre = dataCentreName(dataCentreOf(index));
        options.self.incarnation = ++host.incarnation * 1000;
        options.hasLoadFeedback = Variant::hasLoadFeedback;
        options.randomSeed = m_random();
        options.flowHashSeed = m_key.flowHashSeed();
        host.control.emplace(std::move(*core::control_engine::create(options)));
        host.packets = std::make_unique<Variant>();
        host.watchedIndex = {};
        std::vector<core::listed_host> list;
        for (std::size_t other = 0; other < hostCount; ++other)
            list.push_back({ addressOf(other), dataCentreName(dataCentreOf(other)), false });
        host.control->handleHostList(list, m_now);
    }

    void apply(const scenario_change& change)
    {
        switch (change.kind) {
        case change_kind::LoseHost:
            m_hosts[change.target].control.reset();
            m_hosts[change.target].lostSince = m_now;
            return;
        case change_kind::StartHost:
            return start(change.target);
        case change_kind::Partition:
        case change_kind::Heal:
            for (std::size_t index = 0; index < hostCount; ++index) {
                if (dataCentreOf(index) == change.target)
                    m_hosts[index].isPartitioned = change.kind == change_kind::Partition;
            }
            return;
        default:
            applyChange(m_store, m_traffic, change, m_now);
        }
    }

    /// Picks the host to which the fabric sends a packet. The fabric omits a lost host after fabricDetection.
    std::size_t pickHost(core::timestamp now)
    {
        for (;;) {
            const std::size_t index = m_random(hostCount);
            const entry_host& host = m_hosts[index];
            if (host.control || now - host.lostSince < fabricDetection)
                return index;
        }
    }

    bool isLost() { return double(m_random(1'000'000)) < lossProbability * 1e6; }

    /// Returns a delay between 0.5 and 2.5 ms, so that packets overtake each other.
    core::duration randomDelay() { return std::chrono::microseconds { 500 + m_random(2000) }; }

    void openFlows()
    {
        for (std::uint64_t count = scenarioFlowsPerSecond * std::uint64_t(tick.count()) / 1'000'000'000;
             count > 0; --count)
            m_events.emplace(m_now, caller_transmission { m_traffic.openFlow(m_now), 0, 0 });
    }

    void deliverEvents()
    {
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            const auto [time, next] = std::move(*m_events.begin());
            m_events.erase(m_events.begin());
            std::visit([&, at = time](const auto& item) { handle(item, at); }, next);
        }
    }

    void handle(const caller_transmission& sent, core::timestamp now)
    {
        if (m_traffic.isDelivered(sent.flow, sent.number))
            return;
        if (sent.attempt == maximumAttempts)
            return m_traffic.abandon(sent.flow);
        const core::duration timeout = std::chrono::seconds { 1 << sent.attempt };
        m_events.emplace(now + timeout, caller_transmission { sent.flow, sent.number, sent.attempt + 1 });
        ++m_packets;
        entry_host& host = m_hosts[pickHost(now)];
        if (isLost() || !host.control)
            return;
        applyDecision(
            host, sent, host.packets->handlePacket(m_traffic.packet(sent.flow, sent.number), now), now);
    }

    void handle(const redirect_in_flight& item, core::timestamp now)
    {
        entry_host& host = m_hosts[item.to];
        if (!host.control)
            return;
        const core::packet_summary packet = m_traffic.packet(item.packet.flow, item.packet.number);
        applyDecision(host, item.packet, host.packets->handleRedirect(packet, item.header, now), now);
    }

    void handle(const peer_datagram& item, core::timestamp now)
    {
        entry_host& host = m_hosts[item.to];
        if (!host.control)
            return;
        const core::socket_address from = addressOf(item.from);
        host.control->handleMessage(core::hostIdFor(from), from, item.message, now);
        dispatch(item.to, now);
    }

    void applyDecision(entry_host& host, const caller_transmission& sent, const core::decision& decision,
        core::timestamp now)
    {
        if (decision.kind == core::decision_kind::Refuse)
            return m_traffic.refuse(sent.flow, sent.number);
        if (decision.kind == core::decision_kind::Redirect) {
            ++m_redirects;
            const std::optional<std::size_t> to = indexOf(decision.redirectTo);
            if (to && !isLost() && m_hosts[*to].isPartitioned == host.isPartitioned)
                m_events.emplace(now + randomDelay(), redirect_in_flight { *to, sent, decision.header });
            return;
        }
        if (decision.kind != core::decision_kind::Forward || isLost())
            return;
        const std::optional<core::duration> next
            = m_traffic.deliver(sent.flow, sent.number, decision.server, now);
        if (next)
            m_events.emplace(now + *next, caller_transmission { sent.flow, sent.number + 1, 0 });
    }

    void advance(std::size_t index)
    {
        entry_host& host = m_hosts[index];
        if (!host.control)
            return;
        const core::packet_engine_output output = host.packets->advance(m_now);
        send(index, output.messages, m_now);
        host.control->handlePacketEngineOutput(output, m_now);
        host.control->handleLease(!host.isPartitioned && tryAcquireLease(index), m_now);
        if (host.lastOutput.shouldWatchStore && !host.isPartitioned
            && host.watchedIndex < m_store.revision()) {
            host.control->handleStoreEntries(
                m_store.entriesSince(host.watchedIndex), m_store.revision(), m_now);
            host.watchedIndex = m_store.revision();
        }
        dispatch(index, m_now);
    }

    /// Acquires or renews the planner lease. Once the holder has not renewed it for 5 s, the next host that
    /// wants it acquires it.
    bool tryAcquireLease(std::size_t index)
    {
        const bool isWanted = m_hosts[index].lastOutput.shouldHoldPlannerLease;
        if (isWanted && (index == m_leaseHolder || m_now >= m_leaseEnd)) {
            m_leaseHolder = index;
            m_leaseEnd = m_now + std::chrono::seconds { 5 };
        }
        return isWanted && index == m_leaseHolder;
    }

    void dispatch(std::size_t index, core::timestamp now)
    {
        entry_host& host = m_hosts[index];
        host.lastOutput = host.control->advance(now);
        if (host.lastOutput.snapshot)
            host.packets->applySnapshot(host.lastOutput.snapshot, now);
        for (const core::peer_message& message : host.lastOutput.forPacketEngine)
            host.packets->handleMessage(message, now);
        for (const core::store_write& write : host.lastOutput.writes)
            host.control->handleWriteResult(write.key,
                host.isPartitioned ? std::nullopt : std::optional(m_store.compareAndSwap(write)), now);
        send(index, host.lastOutput.messages, now);
    }

    void send(std::size_t from, const std::vector<core::addressed_message>& messages, core::timestamp now)
    {
        for (const core::addressed_message& sent : messages) {
            const core::host_id receiver
                = sent.to == core::host_id {} ? core::hostIdFor(sent.toAddress) : sent.to;
            const auto encoded = wire::encodePeerMessage({ {}, 1, ++m_sequence }, sent.message, m_key);
            m_controlBytes += encoded ? encoded->size() : 0;
            const std::optional<std::size_t> to = indexOf(receiver);
            if (encoded && to && !isLost() && m_hosts[*to].isPartitioned == m_hosts[from].isPartitioned)
                m_events.emplace(now + randomDelay(), peer_datagram { from, *to, sent.message });
        }
    }

    scenario m_plan;
    pcg32 m_random;
    wire::peer_key m_key;
    core::timestamp m_now;
    scenario_store m_store;
    scenario_traffic m_traffic;
    std::array<entry_host, hostCount> m_hosts;
    std::multimap<core::timestamp, event> m_events;
    std::size_t m_leaseHolder {};
    core::timestamp m_leaseEnd;
    std::uint64_t m_sequence {};
    std::uint64_t m_controlBytes {};
    std::uint64_t m_packets {};
    std::uint64_t m_redirects {};
};

} // namespace shallotcove::testbench
