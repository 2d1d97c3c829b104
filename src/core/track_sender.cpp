#include "track_sender.hpp"

#include <algorithm>

namespace shallotcove::core {

namespace {

    /// Upper bound for the size of one encoded flow: array header, two 64-bit and two 32-bit numbers.
    constexpr double flowBytes = 29;
    /// Overhead of a message: envelope, checksum and datagram headers. Most messages hold few flows, so the
    /// overhead dominates.
    constexpr double messageOverheadBytes = 80;
    /// Number of flows that the budget has to allow before a new message is started, so that message overhead
    /// does not use it up.
    constexpr double minimumBatchFlows = 10;
    /// Largest number of flows in one message; with header and checksum it stays below
    /// maximumPeerMessageBytes.
    constexpr std::size_t flowsPerMessage = 40;
    /// Largest number of hints queued between two calls of flush().
    constexpr std::size_t maximumQueuedHints = 128;

    token_bucket budgetOf(std::uint32_t bytesPerSecond)
    {
        return { double(bytesPerSecond), double(bytesPerSecond), double(bytesPerSecond), {} };
    }

    template <typename Message>
    void appendMessages(
        const std::map<host_id, std::vector<tracked_flow>>& flowsByHost, packet_engine_output& output)
    {
        for (const auto& [host, flows] : flowsByHost) {
            for (std::size_t begin = 0; begin < flows.size(); begin += flowsPerMessage) {
                const std::size_t end = std::min(flows.size(), begin + flowsPerMessage);
                const auto first = flows.begin();
                output.messages.push_back(
                    { host, {}, Message { { first + std::ptrdiff_t(begin), first + std::ptrdiff_t(end) } } });
            }
        }
    }

} // namespace

track_sender::track_sender(const packet_engine_options& options)
    : m_trackBudget(budgetOf(options.trackBytesPerSecond))
    , m_hintBudget(budgetOf(options.hintBytesPerSecond))
{
    m_queuedHints.reserve(maximumQueuedHints);
}

bool track_sender::queueFlow(host_id to, const tracked_flow& flow, timestamp now)
{
    if (!canQueueFlow(1, now))
        return false;
    std::vector<tracked_flow>& flows = m_queuedFlows[to];
    if (!m_trackBudget.take(flowBytes + (flows.empty() ? messageOverheadBytes : 0), now))
        return false;
    flows.push_back(flow);
    return true;
}

bool track_sender::canQueueFlow(std::size_t hosts, timestamp now) const
{
    return m_trackBudget.available(now)
        >= (messageOverheadBytes + flowBytes * (m_queuedFlows.empty() ? minimumBatchFlows : 1))
        * static_cast<double>(hosts);
}

void track_sender::queueHint(host_id to, const tracked_flow& flow, timestamp now)
{
    const queued_hint queued { to, flow };
    if (m_queuedHints.size() == maximumQueuedHints
        || std::find(m_queuedHints.begin(), m_queuedHints.end(), queued) != m_queuedHints.end())
        return;
    const bool isFirstForHost = std::none_of(m_queuedHints.begin(), m_queuedHints.end(),
        [to](const queued_hint& other) { return other.to == to; });
    if (m_hintBudget.take(flowBytes + (isFirstForHost ? messageOverheadBytes : 0), now))
        m_queuedHints.push_back(queued);
}

void track_sender::flush(packet_engine_output& output)
{
    appendMessages<track_batch>(m_queuedFlows, output);
    m_queuedFlows.clear();
    std::map<host_id, std::vector<tracked_flow>> hints;
    for (const queued_hint& queued : m_queuedHints)
        hints[queued.to].push_back(queued.flow);
    m_queuedHints.clear();
    appendMessages<hint>(hints, output);
}

} // namespace shallotcove::core
