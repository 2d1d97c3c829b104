#include "caller_flow.hpp"

#include <algorithm>

namespace shallotcove::testbench {

namespace {

    using std::chrono::milliseconds;

    // First packets are retransmitted with exponential back-off like TCP SYNs: after waits of 1, 2 and 4 s.
    // The caller gives up after a further 8 s.
    constexpr milliseconds firstPacketTimeout { 1000 };
    constexpr std::uint32_t firstPacketAttempts = 4;
    // Requests are retransmitted after waits of 0.4, 0.8, 1.6 and 3.2 s.
    constexpr milliseconds requestTimeout { 400 };
    constexpr std::uint32_t requestAttempts = 5;

    std::size_t chooseKind(const target_service& service, pcg32& random)
    {
        std::uint32_t sum = 0;
        for (const request_kind& kind : service.kinds)
            sum += kind.share;
        std::uint32_t position = random(std::max(sum, 1U));
        std::size_t index = 0;
        while (index + 1 < service.kinds.size() && position >= service.kinds[index].share)
            position -= service.kinds[index++].share;
        return index;
    }

} // namespace

caller_flow::caller_flow(caller_context& context, std::size_t service, std::size_t group,
    const core::socket_address& source, bool isLongLived, end_handler onEnd)
    : m_context(context)
    , m_service(service)
    , m_group(group)
    , m_source(source)
    , m_isLongLived(isLongLived)
    , m_onEnd(std::move(onEnd))
    , m_firstSequence(context.random())
{
}

void caller_flow::start(std::optional<pending_request> initialRequest)
{
    m_pending = std::move(initialRequest);
    m_context.report.recordOpened(groupName());
    if (!m_pending)
        createRequest();
    if (service().protocol == core::transport::Udp) {
        beginRequest();
        return;
    }
    sendFirstPacket();
}

void caller_flow::createRequest()
{
    const std::size_t kind = chooseKind(service(), m_context.random);
    const request_kind& chosen = service().kinds[kind];
    const std::uint64_t id = (std::uint64_t { m_context.random() } << 32) | m_context.random();
    m_pending = { { id, chosen.runsOnce, chosen.responseBytes, m_context.responsePort(m_group) }, kind,
        clock::now() };
    m_context.report.recordOffered(chosen.name, chosen.weight, m_pending->offeredAt);
}

void caller_flow::send(std::uint32_t sequence, std::uint8_t flags, std::span<const std::byte> payload)
{
    m_context.send(m_group,
        { m_source, service().address, service().protocol, sequence, m_receiveNext, flags, payload });
}

void caller_flow::retransmitAfter(clock::duration delay, void (caller_flow::*retransmit)())
{
    m_context.timers.runAfter(delay, [self = shared_from_this(), generation = m_generation, retransmit] {
        if (self->m_generation == generation)
            (self.get()->*retransmit)();
    });
}

void caller_flow::sendFirstPacket()
{
    if (m_attempts == firstPacketAttempts) {
        m_context.report.recordUnreachable(clock::now());
        // The server may have received a first packet, but no request was sent, so the request can be tried
        // again.
        end(m_pending);
        return;
    }
    if (m_attempts > 0)
        m_context.report.recordFirstPacketRetransmission();
    send(m_firstSequence, wire::tcpSyn, formatNumber(m_context.responsePort(m_group)));
    retransmitAfter(firstPacketTimeout * (1 << m_attempts++), &caller_flow::sendFirstPacket);
}

void caller_flow::receive(const wire::segment& packet)
{
    if (service().protocol == core::transport::Udp) {
        receiveDatagram(packet);
        return;
    }
    if (m_phase == phase::Connecting) {
        receiveConnecting(packet);
        return;
    }
    if ((packet.flags & wire::tcpRst) != 0) {
        breakFlow(break_cause::Reset);
        return;
    }
    if (m_phase == phase::Closing && (packet.flags & wire::tcpFin) != 0)
        end();
    else if (m_phase == phase::AwaitingResponse)
        receiveResponse(packet);
}

void caller_flow::receiveConnecting(const wire::segment& packet)
{
    const std::uint32_t expected = m_firstSequence + 1 + sizeof(std::uint32_t);
    if (packet.acknowledgement != expected)
        return;
    if ((packet.flags & wire::tcpRst) != 0) {
        m_context.report.recordRefused(groupName());
        end(m_pending);
        return;
    }
    if ((packet.flags & wire::tcpSyn) == 0)
        return;
    m_server = parseNumber(packet.payload);
    m_sendNext = expected;
    m_receiveNext = packet.sequence + 1 + static_cast<std::uint32_t>(packet.payload.size());
    m_context.report.recordEstablished();
    send(m_sendNext, wire::tcpAck);
    beginRequest();
}

void caller_flow::beginRequest()
{
    ++m_generation;
    m_phase = phase::AwaitingResponse;
    m_attempts = 0;
    m_response.assign(responseHeaderBytes + m_pending->content.responseBytes, std::byte { 0 });
    m_received.assign(m_response.size(), false);
    sendRequest();
}

void caller_flow::sendRequest()
{
    const bool isTcp = service().protocol == core::transport::Tcp;
    if (m_attempts == requestAttempts) {
        breakFlow(break_cause::Lost);
        return;
    }
    // A datagram carries no sequence number by which a server could recognize a retransmission.
    if (m_attempts > 0 && !isTcp && m_pending->content.runsOnce) {
        breakFlow(break_cause::Lost);
        return;
    }
    if (m_attempts > 0)
        m_context.report.recordRequestRetransmission();
    send(m_sendNext, wire::tcpPsh | wire::tcpAck, formatRequest(m_pending->content));
    retransmitAfter(requestTimeout * (1 << m_attempts++), &caller_flow::sendRequest);
}

void caller_flow::receiveResponse(const wire::segment& packet)
{
    const std::size_t offset = packet.sequence - m_receiveNext;
    if (packet.payload.empty() || offset >= m_response.size()
        || packet.payload.size() > m_response.size() - offset)
        return;
    std::copy(packet.payload.begin(), packet.payload.end(),
        m_response.begin() + static_cast<std::ptrdiff_t>(offset));
    std::fill_n(m_received.begin() + static_cast<std::ptrdiff_t>(offset), packet.payload.size(), true);
    if (!std::all_of(m_received.begin(), m_received.end(), [](bool isReceived) { return isReceived; }))
        return;
    m_sendNext += static_cast<std::uint32_t>(requestBytes);
    m_receiveNext += static_cast<std::uint32_t>(m_response.size());
    send(m_sendNext, wire::tcpAck);
    finishRequest(isResponseTo(m_pending->content, m_response));
}

void caller_flow::receiveDatagram(const wire::segment& packet)
{
    if (m_phase != phase::AwaitingResponse || m_response.size() != packet.payload.size())
        return;
    // Ignores late responses to earlier requests of this flow.
    if (isResponseTo(m_pending->content, packet.payload))
        finishRequest(true);
}

void caller_flow::finishRequest(bool isValid)
{
    if (!isValid) {
        breakFlow(break_cause::WrongAnswer);
        return;
    }
    const request_kind& kind = service().kinds[m_pending->kind];
    m_context.report.recordAnswered(kind.name, groupName(), kind.weight, m_pending->offeredAt, clock::now());
    m_pending.reset();
    ++m_requestsDone;
    ++m_generation;
    m_phase = phase::Idle;
    pauseOrClose();
}

void caller_flow::pauseOrClose()
{
    const bool isLast
        = m_context.isFinishing || (!m_isLongLived && m_requestsDone >= service().requestsPerFlow);
    if (isLast) {
        if (service().protocol == core::transport::Udp) {
            end();
            return;
        }
        m_phase = phase::Closing;
        m_attempts = 0;
        sendFin();
        return;
    }
    // Jitter of half to one and a half times the pause keeps callers from synchronizing.
    const std::uint32_t pause = static_cast<std::uint32_t>(
        std::max<std::int64_t>((m_isLongLived ? service().longLivedPause : service().pause).count(), 1));
    const milliseconds wait { pause / 2 + m_context.random(pause) };
    m_context.timers.runAfter(wait, [self = shared_from_this(), generation = m_generation] {
        if (self->m_generation != generation)
            return;
        if (self->m_context.isFinishing) {
            self->pauseOrClose();
            return;
        }
        self->createRequest();
        self->beginRequest();
    });
}

void caller_flow::sendFin()
{
    // All requests are complete. A FIN without a response is left to the idle timeout of the server.
    if (m_attempts == 3) {
        end();
        return;
    }
    send(m_sendNext, wire::tcpFin | wire::tcpAck);
    retransmitAfter(requestTimeout * (1 << m_attempts++), &caller_flow::sendFin);
}

void caller_flow::breakFlow(break_cause cause)
{
    m_context.report.recordBroken(m_server, cause, clock::now());
    end();
}

void caller_flow::end(std::optional<pending_request> unsentRequest)
{
    if (m_phase == phase::Ended)
        return;
    ++m_generation;
    m_phase = phase::Ended;
    const end_handler onEnd = std::exchange(m_onEnd, nullptr);
    onEnd(std::move(unsentRequest));
}

} // namespace shallotcove::testbench
