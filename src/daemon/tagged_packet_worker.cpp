#include "tagged_packet_worker.hpp"

#include <algorithm>
#include <array>
#include <optional>
#include <poll.h>
#include <utility>

#include <platform/packet_layout.hpp>

#include <shallotcove/daemon/clock.hpp>
#include <shallotcove/steering/steering_engine.hpp>
#include <shallotcove/wire/neighbour_codec.hpp>

#include "held_packets.hpp"
#include "packet_batch.hpp"
#include "pause_detector.hpp"
#include "wake_signal.hpp"

namespace shallotcove::daemon {

namespace {

    // Loads of other data centres are requested for this long after a flow had to wait.
    constexpr std::chrono::milliseconds loadRequestPeriod { 500 };
    // After a start, a backlog of callers may arrive at hosts that have no loads yet.
    constexpr std::chrono::seconds startupPeriod { 3 };
    // Metrics are refreshed once a second.
    constexpr std::chrono::seconds roomReportInterval { 1 };
    // Limits the batches received in one round, so that timed work is not starved under a flood.
    constexpr std::size_t batchLimit = 8;

    template <typename Enumerator, std::size_t size>
    void count(std::array<relaxed_counter, size>& counters, Enumerator which)
    {
        counters[std::min(static_cast<std::size_t>(which), size - 1)].add();
    }

    packet_batch_options callerBatch()
    {
        // One byte more than the largest packet, so that longer packets are detected.
        return { platform::serverPrefixBytes,
            platform::packetHeaderBytes + platform::maximumPayloadBytes + 1 };
    }

} // namespace

class tagged_packet_worker::implementation {
public:
    implementation(udp_socket callers, udp_socket neighbours, const wake_signal& wake,
        tagged_channels& channels, const tagged_packet_options& options)
        : m_callers(std::move(callers))
        , m_neighbours(std::move(neighbours))
        , m_wake(wake)
        , m_channels(channels)
        , m_options(options)
        , m_engine(options.steering)
        , m_hosts(options.hosts)
        , m_batch(callerBatch())
        , m_startedAt(monotonicNow())
        , m_nextExchange(m_startedAt)
    {
    }

    void runOnce()
    {
        wait();
        detectPause();
        // Callers move to other hosts once this one stops, so that their packets must not wait here.
        if (m_channels.isStopping.load(std::memory_order_relaxed))
            m_engine.setRequestHold(core::duration::zero());
        // Taken before the sockets are read, so that advance() has seen all packets that arrived by then.
        const core::timestamp due = monotonicNow();
        receiveViewMessages();
        receiveNeighbours();
        receiveCallers();
        if (m_isDrained)
            sendOffers(m_engine.advance(due));
        sendReleased(m_engine.releaseRequests(monotonicNow()));
        if (m_engine.hasWaitingFlows())
            sendOffers(m_engine.placeWaitingFlows(monotonicNow()));
        const core::timestamp now = monotonicNow();
        if (now >= m_nextExchange)
            exchangeWithNeighbours(now);
        m_channels.hasPendingDecisions.store(
            !m_isDrained || m_engine.hasPendingDecisions(), std::memory_order_relaxed);
        forwardEvents();
    }

private:
    void wait()
    {
        const core::timestamp now = monotonicNow();
        const core::timestamp next = std::min(m_nextExchange, m_engine.nextDeadline(now));
        const core::duration remaining = std::max(next - now, core::duration::zero());
        const std::chrono::seconds seconds = std::chrono::duration_cast<std::chrono::seconds>(remaining);
        const timespec timeout { seconds.count(), (remaining - seconds).count() };
        std::array<pollfd, 3> entries { pollfd { m_callers.descriptor(), POLLIN, 0 },
            pollfd { m_neighbours.descriptor(), POLLIN, 0 }, pollfd { m_wake.descriptor(), POLLIN, 0 } };
        const int ready = ::ppoll(entries.data(), entries.size(), &timeout, nullptr);
        m_hasCallers = ready > 0 && (entries[0].revents & POLLIN) != 0;
        m_hasNeighbours = ready > 0 && (entries[1].revents & POLLIN) != 0;
        if (ready > 0 && (entries[2].revents & POLLIN) != 0)
            m_wake.clear();
    }

    /// Detects that the thread did not run: it waits for at most one interval but returned much later.
    void detectPause()
    {
        const std::chrono::nanoseconds now = pause_detector::now();
        const std::optional<std::chrono::milliseconds> pause = m_pauseDetector.pauseBefore(now);
        m_pauseDetector.beginRound(now);
        m_isAfterPause = pause.has_value();
        if (!pause)
            return;
        m_engine.handlePause(monotonicNow());
        m_channels.pauses.fetch_add(1, std::memory_order_relaxed);
        m_channels.packetEvents.push(host_pause { *pause });
    }

    void receiveViewMessages()
    {
        while (const std::optional<view_message> update = m_channels.viewMessages.pop()) {
            const core::timestamp now = monotonicNow();
            if (const view_state* const state = std::get_if<view_state>(&*update)) {
                m_view = *state;
                m_engine.setViewComplete(state->isComplete);
                updateReadiness(now);
                continue;
            }
            for (const steering::view_update& change : *std::get<view_updates>(*update))
                apply(change, now);
        }
    }

    void apply(const steering::view_update& update, core::timestamp now)
    {
        const steering::item_content& content = update.change.content;
        const std::string& name = update.change.key.name;
        switch (update.change.key.kind) {
        case steering::item_kind::Config:
            if (const auto* const config
                = std::get_if<std::shared_ptr<const steering::routing_config>>(&content))
                m_engine.applyConfig(*config, *update.configChange);
            return;
        case steering::item_kind::DataCentreOut:
            m_engine.setDataCentreOut(name, std::holds_alternative<steering::data_centre_out>(content), now);
            return;
        case steering::item_kind::Server:
            if (const auto* const entry = std::get_if<steering::server_entry>(&content))
                m_engine.applyServer(*entry, now);
            else
                m_engine.removeServer(name, update.isUncertain, now);
            return;
        }
    }

    /// Drains the socket, up to batchLimit: an acknowledgement still waiting in it must not count as missing.
    void receiveCallers()
    {
        std::size_t received = m_hasCallers ? packet_batch::capacity : 0;
        for (std::size_t batch = 0; batch < batchLimit && received == packet_batch::capacity; ++batch)
            received = receiveCallerBatch();
        m_isDrained = received < packet_batch::capacity;
    }

    std::size_t receiveCallerBatch()
    {
        const std::size_t received = m_batch.receive(m_callers);
        const core::timestamp now = monotonicNow();
        for (std::size_t index = 0; index < received; ++index) {
            m_channels.counters.fromCallers.add();
            const std::span<std::byte> bytes = m_batch.datagram(index);
            const tl::expected<steering::caller_packet, platform::packet_error> packet
                = platform::decodePacket(bytes);
            if (!packet)
                count(m_channels.counters.malformed, packet.error());
            else if (m_isAfterPause && packet->isOpening)
                count(m_channels.counters.dropped, steering::packet_reason::Outdated);
            else
                handle(index, bytes, *packet, now);
        }
        m_batch.send(m_callers, m_channels.counters.sendFailed);
        if (received > 0)
            m_channels.lastCallerPacket.store(now.sinceStart.count(), std::memory_order_relaxed);
        return received;
    }

    void handle(std::size_t index, std::span<std::byte> bytes, const steering::caller_packet& packet,
        core::timestamp now)
    {
        sendReleased(m_engine.makeRoomFor(packet, now));
        executeDecision(index, bytes, packet, m_engine.handlePacket(packet, now));
    }

    void executeDecision(std::size_t index, std::span<std::byte> bytes, const steering::caller_packet& packet,
        const steering::packet_decision& decision)
    {
        switch (decision.action) {
        case steering::packet_action::Forward: {
            // The batch reserves room for the prefix in front of each datagram.
            const std::span<std::byte> datagram { bytes.data() - platform::serverPrefixBytes,
                bytes.size() + platform::serverPrefixBytes };
            platform::writeServerPrefix(decision.wireId, datagram.first<platform::serverPrefixBytes>());
            if (packet.isOpening)
                platform::writeTag(decision.tag, bytes);
            m_batch.queue(datagram, decision.server);
            return m_channels.counters.forwarded.add();
        }
        case steering::packet_action::Refuse: {
            const std::span<std::byte> buffer = m_batch.refusalBuffer(index);
            platform::writeRefusal(packet, buffer.first<platform::packetHeaderBytes>());
            m_batch.queue(buffer.first(platform::packetHeaderBytes), callerAddress(packet));
            return count(m_channels.counters.refused, decision.reason);
        }
        case steering::packet_action::Drop:
            return count(m_channels.counters.dropped, decision.reason);
        case steering::packet_action::Hold:
            if (!m_heldPackets.contains(packet.flow))
                m_channels.counters.requestsHeld.add();
            return m_heldPackets.add(packet.flow, bytes);
        }
    }

    /// Sends the held packets of the released flows, behind the packets that are queued already.
    void sendReleased(const std::vector<steering::released_flow>& flows)
    {
        if (flows.empty())
            return;
        m_batch.send(m_callers, m_channels.counters.sendFailed);
        // The batch refers to the bytes until they are sent.
        std::vector<std::vector<held_packets::prefixed_packet>> taken;
        taken.reserve(flows.size());
        std::size_t handled = 0;
        for (const steering::released_flow& released : flows) {
            count(m_channels.counters.requestsReleased, released.end);
            std::vector<held_packets::prefixed_packet>& packets
                = taken.emplace_back(m_heldPackets.take(released.flow));
            const std::size_t packetCount = std::min(packets.size(), released.decisions.size());
            for (std::size_t index = 0; index < packetCount; ++index) {
                queueReleased(packets[index], released.decisions[index]);
                if (++handled % packet_batch::capacity == 0)
                    m_batch.send(m_callers, m_channels.counters.sendFailed);
            }
        }
        m_batch.send(m_callers, m_channels.counters.sendFailed);
    }

    void queueReleased(held_packets::prefixed_packet& packet, const steering::packet_decision& decision)
    {
        if (decision.action != steering::packet_action::Forward)
            return count(m_channels.counters.dropped, decision.reason);
        platform::writeServerPrefix(decision.wireId, std::span(packet).first<platform::serverPrefixBytes>());
        m_batch.queue(packet, decision.server);
        m_channels.counters.forwarded.add();
    }

    /// Callers receive on the same port as hosts.
    core::socket_address callerAddress(const steering::caller_packet& packet) const
    {
        return { core::ip_address::fromV4(packet.flow.callerAddress), m_callers.address().port };
    }

    void sendOffers(const std::vector<steering::delayed_offer>& offers)
    {
        for (std::size_t index = 0; index < offers.size(); ++index) {
            const std::size_t slot = index % packet_batch::capacity;
            if (index > 0 && slot == 0)
                m_batch.send(m_callers, m_channels.counters.sendFailed);
            const steering::delayed_offer& offer = offers[index];
            if (offer.decision.action == steering::packet_action::Drop) {
                count(m_channels.counters.dropped, offer.decision.reason);
                continue;
            }
            const std::span<std::byte> buffer = m_batch.refusalBuffer(slot);
            const std::span<std::byte> packet
                = buffer.subspan(platform::serverPrefixBytes, platform::packetHeaderBytes);
            platform::writeOpening(offer.opening, packet.first<platform::packetHeaderBytes>());
            if (offer.decision.action == steering::packet_action::Refuse) {
                platform::writeRefusal(offer.opening, packet.first<platform::packetHeaderBytes>());
                m_batch.queue(packet, callerAddress(offer.opening));
                count(m_channels.counters.refused, offer.decision.reason);
                continue;
            }
            platform::writeServerPrefix(offer.decision.wireId, buffer.first<platform::serverPrefixBytes>());
            platform::writeTag(offer.decision.tag, packet);
            m_batch.queue(buffer.first(platform::serverPrefixBytes + platform::packetHeaderBytes),
                offer.decision.server);
            m_channels.counters.forwarded.add();
        }
        m_batch.send(m_callers, m_channels.counters.sendFailed);
    }

    void receiveNeighbours()
    {
        if (!m_hasNeighbours)
            return;
        std::array<std::byte, wire::maximumNeighbourMessageBytes + 1> buffer;
        for (std::size_t index = 0; index < packet_batch::capacity; ++index) {
            sockaddr_storage source {};
            socklen_t length = sizeof source;
            const ssize_t size = ::recvfrom(m_neighbours.descriptor(), buffer.data(), buffer.size(),
                MSG_DONTWAIT, reinterpret_cast<sockaddr*>(&source), &length);
            if (size < 0)
                return;
            m_channels.counters.fromNeighbours.add();
            const std::optional<steering::neighbour_message> message = wire::decodeNeighbourMessage(
                std::span<const std::byte>(buffer.data(), static_cast<std::size_t>(size)));
            const core::socket_address from = fromNative(source);
            if (message && from.address.isV4() && from.port == m_neighbours.address().port)
                handle(from.address.toV4(), *message);
            else
                m_channels.counters.malformedNeighbours.add();
        }
    }

    void handle(std::uint32_t from, const steering::neighbour_message& message)
    {
        const core::timestamp now = monotonicNow();
        if (message.dataCentre == m_options.steering.dataCentre)
            m_engine.applyNeighbourLoads(from, message.loads, now, message.isPartial);
        else if (!message.loads.empty())
            m_engine.applyRemoteLoads(message.dataCentre, message.loads, now);
        const steering::load_report dataCentreLoads
            = message.wantsLoads ? m_engine.dataCentreLoads() : steering::load_report {};
        if (const std::optional<steering::outgoing_message> answer
            = m_hosts.handle(from, message, dataCentreLoads, viewReport(), now))
            send(*answer);
        m_channels.neighbourRevision.store(m_hosts.highestRevision(), std::memory_order_relaxed);
    }

    void send(const steering::outgoing_message& outgoing)
    {
        const std::vector<std::byte> bytes = wire::encodeNeighbourMessage(outgoing.message, outgoing.format);
        const native_address to
            = toNative({ core::ip_address::fromV4(outgoing.to), m_neighbours.address().port });
        const ssize_t sent = ::sendto(m_neighbours.descriptor(), bytes.data(), bytes.size(), MSG_DONTWAIT,
            reinterpret_cast<const sockaddr*>(&to.storage), to.length);
        (sent < 0 ? m_channels.counters.sendFailed : m_channels.counters.sentToNeighbours).add();
    }

    void exchangeWithNeighbours(core::timestamp now)
    {
        m_nextExchange = now + m_options.steering.exchangeInterval;
        updateReadiness(now);
        publishWatchRole(now);
        if (m_engine.hasWaitingFlows())
            m_lastWaitAt = now;
        const steering::load_report loads = m_engine.takeLoads();
        const bool hasWaitedRecently = m_lastWaitAt && now - *m_lastWaitAt < loadRequestPeriod;
        const bool isStarting = now - m_startedAt < startupPeriod;
        const steering::exchange_requirements requirements { m_readiness.state()
                == steering::readiness_state::Isolated,
            hasWaitedRecently, hasWaitedRecently || isStarting || m_engine.isBusy() };
        for (const steering::outgoing_message& outgoing :
            m_hosts.advance(loads, viewReport(), requirements, now))
            send(outgoing);
        const std::size_t neighbours = m_hosts.neighbourCount(now);
        if (m_hosts.takeChanged() || neighbours != m_neighbourCount) {
            const std::vector<std::uint32_t> hosts = m_hosts.addresses();
            m_neighbourCount = neighbours;
            m_engine.setHosts(hosts, m_options.hosts.self.address, neighbours);
            m_channels.counters.hosts.store(hosts.size(), std::memory_order_relaxed);
        }
        m_engine.setPosition(m_hosts.position(now));
        m_engine.setLoadReportInterval(m_hosts.loadReportInterval());
        reportRooms(now);
        m_channels.counters.flows.store(m_engine.flowCount(), std::memory_order_relaxed);
    }

    /// Also reports that there are no rooms any more, so that their metrics are reset.
    void reportRooms(core::timestamp now)
    {
        if (now < m_nextRoomReport)
            return;
        m_nextRoomReport = now + roomReportInterval;
        room_report report;
        for (const auto& [service, rooms] : m_engine.rooms()) {
            for (const steering::service_room& room : rooms)
                report.rooms.push_back({ service, room });
        }
        if (std::exchange(m_hadRooms, !report.rooms.empty()) || m_hadRooms)
            m_channels.packetEvents.push(std::move(report));
    }

    steering::view_report viewReport() const
    {
        return { m_view.revision, m_channels.isWatching.load(std::memory_order_relaxed),
            { core::duration { m_channels.answeredAt.load(std::memory_order_relaxed) } } };
    }

    void publishWatchRole(core::timestamp now)
    {
        const steering::watch_role watchRole = m_hosts.watchRole(now);
        m_channels.relay.store(watchRole.relay, std::memory_order_relaxed);
        m_channels.relayRevision.store(watchRole.relayRevision, std::memory_order_relaxed);
        m_channels.isRelay.store(watchRole.isRelay, std::memory_order_relaxed);
        m_channels.shouldWatch.store(watchRole.shouldWatch, std::memory_order_release);
    }

    void updateReadiness(core::timestamp now)
    {
        const steering::readiness_state before = m_readiness.state();
        const double share = m_engine.unreachableShare(now);
        steering::readiness_inputs inputs { m_view.isComplete,
            m_channels.isStopping.load(std::memory_order_relaxed), share, false, false,
            m_channels.isCatchingUp.load(std::memory_order_relaxed) };
        std::vector<std::string> answeringDataCentres;
        if (before == steering::readiness_state::Isolated) {
            for (const std::string& remote : m_engine.servingDataCentres()) {
                if (remote == m_options.steering.dataCentre || !m_hosts.hasMessageFrom(remote))
                    continue;
                inputs.canProbeOthers = true;
                if (m_hosts.hasMessageSince(remote, m_readiness.since()))
                    answeringDataCentres.push_back(remote);
            }
            inputs.hasProbeAnswer = !answeringDataCentres.empty();
        }
        if (!m_readiness.update(inputs, now))
            return;
        for (const std::string& remote : answeringDataCentres)
            m_engine.clearDataCentreEvidence(remote);
        m_channels.readiness.store(m_readiness.state(), std::memory_order_release);
        m_channels.packetEvents.push(
            readiness_change { before, m_readiness.state(), static_cast<int>(100 * share) });
    }

    void forwardEvents()
    {
        for (steering::steering_event& steeringEvent : m_engine.takeEvents())
            m_channels.packetEvents.push(std::move(steeringEvent));
    }

    udp_socket m_callers;
    udp_socket m_neighbours;
    const wake_signal& m_wake;
    tagged_channels& m_channels;
    tagged_packet_options m_options;
    steering::steering_engine m_engine;
    steering::host_directory m_hosts;
    steering::readiness m_readiness;
    view_state m_view;
    packet_batch m_batch;
    held_packets m_heldPackets;
    core::timestamp m_startedAt;
    core::timestamp m_nextExchange;
    std::size_t m_neighbourCount {};
    /// Time of the last exchange at which flows were waiting.
    std::optional<core::timestamp> m_lastWaitAt;
    pause_detector m_pauseDetector;
    core::timestamp m_nextRoomReport;
    bool m_hadRooms {};
    bool m_isAfterPause {};
    bool m_hasCallers {};
    bool m_hasNeighbours {};
    bool m_isDrained { true };
};

tagged_packet_worker::tagged_packet_worker(udp_socket callers, udp_socket neighbours, const wake_signal& wake,
    tagged_channels& channels, const tagged_packet_options& options)
    : m_implementation(
        std::make_unique<implementation>(std::move(callers), std::move(neighbours), wake, channels, options))
{
}

tagged_packet_worker::~tagged_packet_worker() = default;

void tagged_packet_worker::runOnce() { m_implementation->runOnce(); }

} // namespace shallotcove::daemon
