#include <shallotcove/daemon/peer_worker.hpp>

#include <optional>
#include <unordered_map>
#include <utility>

#include <shallotcove/core/routing_snapshot.hpp>
#include <shallotcove/daemon/clock.hpp>

#include "fleet_reporter.hpp"
#include "peer_port.hpp"

namespace shallotcove::daemon {

namespace {

    // Limits how long a burst of messages can delay the probes by which other hosts see this host as alive.
    constexpr std::size_t messagesPerRound = 256;

} // namespace

class peer_worker::implementation {
public:
    implementation(udp_socket socket, core::control_engine engine, const core::member& self,
        const wire::peer_key& key, channels& shared, event_log& log, metrics& metrics,
        peer_worker_options options)
        : m_port(std::move(socket), key, self.id, self.incarnation)
        , m_engine(std::move(engine))
        , m_channels(shared)
        , m_reporter(log, metrics, shared)
        , m_options(std::move(options))
    {
    }

    void runOnce()
    {
        m_port.waitReadable(m_options.idleWaitMilliseconds);
        const core::timestamp now = monotonicNow();
        const bool hasMessages = handleMessages(now);
        const bool hasPacketMessages = handlePacketReports(now);
        const bool hasReports = handlePlatformReports(now);
        const bool isChanged = handleShutdown(now) || hasMessages || hasPacketMessages || hasReports;
        // Answers to messages come from advance(), so it runs right after any input instead of at the end of
        // the period.
        if (isChanged || now >= m_nextAdvance)
            advance(now);
        handleQueries();
    }

private:
    bool handleMessages(core::timestamp now)
    {
        std::size_t handled = 0;
        while (handled < messagesPerRound) {
            const std::optional<peer_datagram> datagram = m_port.receive();
            if (!datagram)
                break;
            m_engine.handleMessage(datagram->from, datagram->fromAddress, datagram->message, now);
            ++handled;
        }
        return handled > 0;
    }

    bool handlePacketReports(core::timestamp now)
    {
        bool isHandled = false;
        while (const std::optional<packet_report> report = m_channels.fromPackets.pop()) {
            m_engine.handlePacketEngineOutput(report->output, now);
            m_reporter.handlePacketReport(*report);
            isHandled |= !report->output.messages.empty();
        }
        return isHandled;
    }

    bool handlePlatformReports(core::timestamp now)
    {
        bool isHandled = false;
        while (std::optional<platform_report> report = m_channels.fromPlatform.pop()) {
            std::visit([this, now](const auto& item) { handleReport(item, now); }, *report);
            isHandled = true;
        }
        return isHandled;
    }

    void handleReport(const store_changes& changes, core::timestamp now)
    {
        if (changes.isComplete)
            m_engine.handleStoreContents(changes.entries, changes.upTo, now);
        else
            m_engine.handleStoreEntries(changes.entries, changes.upTo, now);
    }

    void handleReport(const std::vector<core::listed_host>& hosts, core::timestamp now)
    {
        m_engine.handleHostList(hosts, now);
    }

    void handleReport(const lease_state& lease, core::timestamp now)
    {
        m_engine.handleLease(lease.isHeld, now);
    }

    void handleReport(const write_result& result, core::timestamp now)
    {
        m_engine.handleWriteResult(result.key, result.wasWritten, now);
    }

    bool handleShutdown(core::timestamp now)
    {
        if (m_hasLeft || !m_channels.isLeaving.load(std::memory_order_acquire))
            return false;
        m_hasLeft = true;
        m_engine.leave(now);
        return true;
    }

    void advance(core::timestamp now)
    {
        m_nextAdvance = now + m_options.advancePeriod;
        core::control_engine_output output = m_engine.advance(now);
        if (output.snapshot) {
            m_pendingSnapshot = output.snapshot;
            m_snapshot = output.snapshot;
            m_reporter.handleSnapshot(m_engine, output.snapshot);
            updateAddresses();
        }
        // Only the latest snapshot is needed. While the ring is full, it stays pending here.
        if (m_pendingSnapshot && m_channels.toPackets.tryPush(m_pendingSnapshot))
            m_pendingSnapshot.reset();
        m_reporter.handleUnreadable(m_engine, output.unreadableKeys);
        for (core::peer_message& message : output.forPacketEngine)
            m_channels.toPackets.push(std::move(message));
        for (const core::addressed_message& message : output.messages)
            send(message);
        sendToPlatform(output, now);
        m_reporter.advance(m_engine, m_port.counters(), now);
    }

    void sendToPlatform(core::control_engine_output& output, core::timestamp now)
    {
        bool isSent = false;
        for (core::store_write& write : output.writes) {
            const std::string key = write.key;
            if (m_channels.toPlatform.push(std::move(write)))
                isSent = true;
            else
                m_engine.handleWriteResult(key, false, now);
        }
        const platform_request request { output.shouldWatchStore, output.shouldHoldPlannerLease, {} };
        if (request != m_platformRequest
            && m_channels.toPlatform.tryPush(
                platform_request { request.shouldWatch, request.shouldHoldLease, m_engine.appliedIndex() })) {
            m_platformRequest = request;
            isSent = true;
        }
        if (isSent && m_options.wakePlatform)
            m_options.wakePlatform();
    }

    void send(const core::addressed_message& message)
    {
        const auto peer = m_addresses.find(message.to);
        if (peer != m_addresses.end())
            m_port.send(message.message, peer->second);
        else if (message.toAddress.port != 0)
            m_port.send(message.message, message.toAddress);
    }

    void updateAddresses()
    {
        m_addresses.clear();
        for (const core::member& member : m_engine.members())
            m_addresses.emplace(member.id, member.peerAddress);
    }

    void handleQueries()
    {
        while (const std::optional<control_query> query = m_channels.queries.pop())
            (*query)({ m_engine, m_snapshot });
    }

    peer_port m_port;
    core::control_engine m_engine;
    channels& m_channels;
    fleet_reporter m_reporter;
    peer_worker_options m_options;
    std::unordered_map<core::host_id, core::socket_address> m_addresses;
    std::shared_ptr<const core::routing_snapshot> m_snapshot;
    std::shared_ptr<const core::routing_snapshot> m_pendingSnapshot;
    platform_request m_platformRequest;
    core::timestamp m_nextAdvance;
    bool m_hasLeft {};
};

peer_worker::peer_worker(udp_socket socket, core::control_engine engine, const core::member& self,
    const wire::peer_key& key, channels& shared, event_log& log, metrics& metrics,
    peer_worker_options options)
    : m_implementation(std::make_unique<implementation>(
        std::move(socket), std::move(engine), self, key, shared, log, metrics, std::move(options)))
{
}

peer_worker::peer_worker(peer_worker&&) noexcept = default;
peer_worker::~peer_worker() = default;

void peer_worker::runOnce() { m_implementation->runOnce(); }

} // namespace shallotcove::daemon
