#include "flow_table.hpp"

namespace shallotcove::core {

namespace {

    constexpr unsigned tickShift = 24;
    /// Longer than the time after which other hosts treat an entry as stale (20 s). Until then, those hosts
    /// send packets of a later flow with the same address pair to the same server, so the first packet of
    /// that flow has to go there as well.
    constexpr duration closedTimeout = std::chrono::seconds { 30 };

} // namespace

std::uint32_t toTicks(timestamp time)
{
    return static_cast<std::uint32_t>(static_cast<std::uint64_t>(time.sinceStart.count()) >> tickShift);
}

std::uint32_t toTicks(duration length) { return toTicks(timestamp { length }); }

flow_table::flow_table(std::size_t capacity, duration idleTimeout)
    : m_entries(capacity)
    , m_mask(capacity - 1)
    , m_idleTicks(toTicks(idleTimeout) + 1)
    , m_closedTicks(toTicks(closedTimeout) + 1)
{
}

flow_entry* flow_table::find(const flow_hash& flow, timestamp now)
{
    for (std::size_t step = 0, slot = homeSlot(flow); step < probeCount();
         ++step, slot = (slot + 1) & m_mask) {
        flow_entry& entry = m_entries[slot];
        if (entry.has(flow_flag::Used)) {
            if (entry.flow == flow)
                return isIdle(entry, now) ? nullptr : &entry;
        } else if (!entry.has(flow_flag::Tombstone)) {
            return nullptr;
        }
    }
    return nullptr;
}

void flow_table::erase(flow_entry& entry)
{
    const auto slot = static_cast<std::size_t>(&entry - m_entries.data());
    entry = {};
    --m_size;
    if (m_entries[(slot + 1) & m_mask].flags != 0) {
        // Lookups of flows in later slots have to continue past this slot.
        entry.flags = flow_flag::Tombstone;
        return;
    }
    // No entry follows, so lookups do not need the tombstones right before this slot any more.
    for (std::size_t previous = (slot - 1) & m_mask; m_entries[previous].flags == flow_flag::Tombstone;
         previous = (previous - 1) & m_mask)
        m_entries[previous] = {};
}

bool flow_table::isIdle(const flow_entry& entry, timestamp now) const
{
    const std::uint32_t idle = toTicks(now) - entry.lastSeen;
    // If now is slightly before lastSeen, the difference wraps around to a huge value.
    if (idle > UINT32_MAX / 2)
        return false;
    return idle > (entry.has(flow_flag::Closed) ? m_closedTicks : m_idleTicks);
}

flow_entry* flow_table::at(std::size_t slot)
{
    flow_entry& entry = m_entries[slot];
    return entry.has(flow_flag::Used) ? &entry : nullptr;
}

} // namespace shallotcove::core
