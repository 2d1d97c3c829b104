#include <shallotcove/wire/replay_filter.hpp>

#include <algorithm>
#include <utility>

namespace shallotcove::wire {

namespace {

    constexpr std::uint64_t windowBits = 64;

} // namespace

replay_filter::replay_filter(std::size_t maximumSenders)
    : m_maximumSenders(maximumSenders)
{
}

replay_filter replay_filter::create(std::size_t maximumSenders)
{
    return replay_filter(std::max<std::size_t>(maximumSenders, 1));
}

bool replay_filter::accept(const peer_envelope& envelope)
{
    using entry = std::pair<const core::host_id, sender_state>;
    ++m_messageCount;
    const auto found = m_senders.find(envelope.sender);
    if (found == m_senders.end()) {
        if (m_senders.size() >= m_maximumSenders)
            m_senders.erase(std::min_element(
                m_senders.begin(), m_senders.end(), [](const entry& left, const entry& right) {
                    return left.second.lastAccepted < right.second.lastAccepted;
                }));
        m_senders.emplace(
            envelope.sender, sender_state { envelope.incarnation, envelope.sequence, 1, m_messageCount });
        return true;
    }
    sender_state& state = found->second;
    if (envelope.incarnation < state.incarnation)
        return false;
    if (envelope.incarnation > state.incarnation) {
        state = { envelope.incarnation, envelope.sequence, 1, m_messageCount };
        return true;
    }
    if (envelope.sequence > state.highestSequence) {
        const std::uint64_t advance = envelope.sequence - state.highestSequence;
        state.receivedBits = advance >= windowBits ? 1 : (state.receivedBits << advance) | 1;
        state.highestSequence = envelope.sequence;
    } else {
        const std::uint64_t distance = state.highestSequence - envelope.sequence;
        if (distance >= windowBits || ((state.receivedBits >> distance) & 1) != 0)
            return false;
        state.receivedBits |= std::uint64_t { 1 } << distance;
    }
    state.lastAccepted = m_messageCount;
    return true;
}

} // namespace shallotcove::wire
