#include <shallotcove/daemon/packet_worker.hpp>

#include <optional>

#include <shallotcove/daemon/clock.hpp>
#include <shallotcove/wire/caller_packet.hpp>
#include <shallotcove/wire/redirect_codec.hpp>

#include "packet_batch.hpp"

namespace shallotcove::daemon {

namespace {

    // Bounds the time that building a report takes at high packet rates; 64 samples per 20 ms are enough for
    // the histogram.
    constexpr std::size_t maximumSamples = 64;

    // Bounds the commands handled per round. Each snapshot replaces the one before it, so several in one
    // round cost only the last.
    constexpr std::size_t commandsPerRound = 64;

    template <typename Enumerator, std::size_t size>
    void increment(std::array<relaxed_counter, size>& counters, Enumerator which)
    {
        counters[std::min(static_cast<std::size_t>(which), size - 1)].add();
    }

    // Extends an inner packet to the header bytes directly in front of it, which the headroom of the batch
    // provides.
    std::span<std::byte> includeHeader(std::span<const std::byte> inner, std::size_t headerBytes)
    {
        std::byte* const start = const_cast<std::byte*>(inner.data()) - headerBytes;
        return { start, headerBytes + inner.size() };
    }

} // namespace

class packet_worker::implementation {
public:
    implementation(udp_socket socket, core::packet_engine engine, const wire::peer_key& key,
        ring<packet_command>& commands, ring<packet_report>& reports, packet_counters& counters,
        const packet_worker_options& options)
        : m_socket(std::move(socket))
        , m_engine(std::move(engine))
        , m_key(key)
        , m_commands(commands)
        , m_reports(reports)
        , m_counters(counters)
        , m_options(options)
        , m_nextAdvance(monotonicNow())
    {
        m_samples.reserve(maximumSamples);
    }

    void runOnce()
    {
        const core::timestamp now = monotonicNow();
        handleCommands(now);
        std::size_t received = m_batch.receive(m_socket);
        if (received == 0 && m_socket.waitReadable(m_options.idleWaitMilliseconds))
            received = m_batch.receive(m_socket);
        if (received > 0)
            handleBatch(received, monotonicNow());
        if (monotonicNow() >= m_nextAdvance)
            advance();
    }

private:
    void handleCommands(core::timestamp now)
    {
        for (std::size_t i = 0; i < commandsPerRound; ++i) {
            std::optional<packet_command> command = m_commands.pop();
            if (!command)
                return;
            if (std::holds_alternative<std::shared_ptr<const core::routing_snapshot>>(*command))
                m_engine.applySnapshot(
                    std::get<std::shared_ptr<const core::routing_snapshot>>(std::move(*command)), now);
            else
                handleMessage(std::get<core::peer_message>(*command), now);
        }
    }

    void handleMessage(const core::peer_message& message, core::timestamp now)
    {
        if (std::holds_alternative<core::track_batch>(message))
            m_engine.handleTrackBatch(std::get<core::track_batch>(message), now);
        else if (std::holds_alternative<core::hint>(message))
            m_engine.handleHint(std::get<core::hint>(message), now);
    }

    void handleBatch(std::size_t received, core::timestamp now)
    {
        bool hasFabricPacket = false;
        for (std::size_t i = 0; i < received; ++i) {
            const std::span<std::byte> datagram = m_batch.datagram(i);
            if (m_batch.isTruncated(i))
                m_counters.truncated.add();
            else if (wire::isRedirect(datagram))
                handleRedirect(i, datagram, now);
            else
                hasFabricPacket |= handleFabricPacket(i, datagram, now);
        }
        m_batch.send(m_socket, m_counters.sendFailed);
        if (hasFabricPacket)
            m_counters.lastFabricPacket.store(now.sinceStart.count(), std::memory_order_relaxed);
    }

    bool handleFabricPacket(std::size_t index, std::span<std::byte> datagram, core::timestamp now)
    {
        m_counters.fromFabric.add();
        const tl::expected<wire::caller_packet, wire::packet_error> packet = wire::parseGue(datagram);
        if (!packet) {
            increment(m_counters.malformedPackets, packet.error());
            return false;
        }
        const core::socket_address fabric = m_batch.source(index);
        const core::decision decision = m_engine.handlePacket(packet->summary, fabric, now);
        executeDecision(index, decision, *packet, fabric, now);
        return true;
    }

    void handleRedirect(std::size_t index, std::span<std::byte> datagram, core::timestamp now)
    {
        m_counters.redirectsIn.add();
        const tl::expected<wire::redirected_packet, wire::redirect_error> redirect
            = wire::parseRedirect(datagram, m_key);
        if (!redirect)
            return increment(m_counters.malformedRedirects, redirect.error());
        const tl::expected<wire::caller_packet, wire::packet_error> packet
            = wire::parseInner(redirect->inner);
        if (!packet)
            return increment(m_counters.malformedPackets, packet.error());
        const core::decision decision = m_engine.handleRedirect(packet->summary, redirect->header, now);
        executeDecision(index, decision, *packet, redirect->header.fabric, now);
    }

    void executeDecision(std::size_t index, const core::decision& decision, const wire::caller_packet& packet,
        const core::socket_address& fabric, core::timestamp now)
    {
        switch (decision.kind) {
        case core::decision_kind::Forward:
            return forward(index, decision, packet, now);
        case core::decision_kind::Redirect:
            return redirect(decision, packet);
        case core::decision_kind::Refuse:
            return refuse(index, decision, packet, fabric);
        case core::decision_kind::Drop:
            return increment(m_counters.dropped, decision.dropped);
        }
    }

    void forward(std::size_t index, const core::decision& decision, const wire::caller_packet& packet,
        core::timestamp now)
    {
        const std::span<std::byte> datagram = includeHeader(packet.inner, wire::gueHeaderBytes);
        const std::uint8_t ipVersion = std::to_integer<std::uint8_t>(packet.inner.front()) >> 4;
        wire::writeGueHeader(datagram.first<wire::gueHeaderBytes>(), ipVersion);
        m_batch.queue(datagram, decision.serverAddress);
        m_counters.forwarded.add();
        if (index == 0 && m_samples.size() < maximumSamples)
            m_samples.push_back({ decision.service, monotonicNow() - now });
    }

    void redirect(const core::decision& decision, const wire::caller_packet& packet)
    {
        const std::span<std::byte> datagram = includeHeader(packet.inner, wire::redirectPrefixBytes);
        wire::writeRedirect(
            decision.header, packet.inner, m_key, datagram.first<wire::redirectPrefixBytes>());
        m_batch.queue(datagram, decision.redirectAddress);
        increment(m_counters.redirectsOut, decision.header.stage);
    }

    void refuse(std::size_t index, const core::decision& decision, const wire::caller_packet& packet,
        const core::socket_address& fabric)
    {
        const std::span<std::byte, wire::maximumRefusalBytes> buffer = m_batch.refusalBuffer(index);
        const std::size_t length = wire::buildRefusal(packet, buffer);
        if (length == 0)
            return m_counters.notAnswered.add();
        m_batch.queue(buffer.first(length), fabric);
        increment(m_counters.refused, decision.refused);
    }

    void advance()
    {
        const core::timestamp now = monotonicNow();
        m_nextAdvance = now + m_options.advancePeriod;
        // The engine retains what it has not reported, so a report that is postponed because the ring is full
        // loses nothing.
        if (m_reports.size() == m_reports.capacity())
            return m_counters.reportsPostponed.add();
        m_reports.push({ m_engine.advance(now), m_samples });
        m_samples.clear();
        m_counters.localFlows.store(m_engine.localFlowCount(), std::memory_order_relaxed);
        m_counters.trackedFlows.store(m_engine.trackedFlowCount(), std::memory_order_relaxed);
    }

    udp_socket m_socket;
    core::packet_engine m_engine;
    wire::peer_key m_key;
    ring<packet_command>& m_commands;
    ring<packet_report>& m_reports;
    packet_counters& m_counters;
    packet_worker_options m_options;
    packet_batch m_batch;
    std::vector<handling_sample> m_samples;
    core::timestamp m_nextAdvance;
};

packet_worker::packet_worker(udp_socket socket, core::packet_engine engine, const wire::peer_key& key,
    ring<packet_command>& commands, ring<packet_report>& reports, packet_counters& counters,
    const packet_worker_options& options)
    : m_implementation(std::make_unique<implementation>(
        std::move(socket), std::move(engine), key, commands, reports, counters, options))
{
}

packet_worker::packet_worker(packet_worker&&) noexcept = default;
packet_worker::~packet_worker() = default;

void packet_worker::runOnce() { m_implementation->runOnce(); }

} // namespace shallotcove::daemon
