#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include <shallotcove/core/flow.hpp>
#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/time.hpp>

namespace shallotcove::core {

/// Bits of flow_entry::flags. Used and Tombstone are managed by flow_table.
enum flow_flag : std::uint32_t {
    Used = 1U << 0,
    Tombstone = 1U << 1,
    /// The flow was sent to its owner and backup, or was learned from a hint.
    Tracked = 1U << 2,
    /// Placed by this host; no packet after the first has been seen, and the flow has not been counted as
    /// silent.
    AwaitsSecondPacket = 1U << 3,
    /// No packet after the first has been seen here.
    Unconfirmed = 1U << 4,
    /// Placed by another host; no packet after the first has been seen here.
    PlacedElsewhere = 1U << 5,
    /// Placed shortly after a change of owners; the backup may have an entry with another server from before.
    Provisional = 1U << 6,
    /// A redirected packet of the flow has been handled here.
    Redirected = 1U << 7,
    /// The caller has closed (FIN) or reset (RST) the flow.
    Closed = 1U << 8,
    /// The flow was sent to its owner and backup shortly after it was placed, because it had become
    /// ambiguous.
    Pushed = 1U << 9,
};

/// Time in ticks, as flow entries store it: units of 2^24 ns (16.8 ms), wrapping around after 2.2 years.
std::uint32_t toTicks(timestamp);
std::uint32_t toTicks(duration);

/// A flow and its backend server.
struct flow_entry {
    flow_hash flow;
    service_id service;
    backend_server_id server;
    std::uint32_t lastSeen {};
    std::uint32_t flags {};

    bool has(std::uint32_t mask) const { return (flags & mask) != 0; }
    void set(std::uint32_t mask) { flags |= mask; }
    void clear(std::uint32_t mask) { flags &= ~mask; }
};

static_assert(sizeof(flow_entry) == 32, "the capacity of a host is computed from entries of 32 bytes");

/// Hash table of fixed capacity with open addressing and linear probing. An entry never moves while it is in
/// the table, so an incremental scan visits every entry that exists from the start to the end of the scan.
/// Allocates only on construction.
class flow_table {
public:
    /// Number of slots that a flow can be stored in.
    static constexpr std::size_t probeLimit = 64;

    /// The capacity has to be a power of two.
    flow_table(std::size_t capacity, duration idleTimeout);

    /// The entry of a flow, or null if there is none or it has been idle for longer than the time-out.
    flow_entry* find(const flow_hash&, timestamp now);
    /// Inserts a flow that find() does not return, into a free slot or one with an idle flow, for which
    /// onErase is called first. Returns null if live flows occupy all slots that the flow can be stored in.
    template <typename OnErase> flow_entry* insert(const flow_hash&, timestamp now, OnErase onErase);
    /// Erases the first entry that isEvictable accepts among the slots that the flow can be stored in.
    /// Returns false if there is none.
    template <typename IsEvictable> bool evictFor(const flow_hash&, IsEvictable isEvictable);

    void erase(flow_entry&);
    bool isIdle(const flow_entry&, timestamp now) const;

    std::size_t capacity() const { return m_entries.size(); }
    std::size_t size() const { return m_size; }
    /// The entry in a slot, or null if the slot is free.
    flow_entry* at(std::size_t slot);

private:
    std::size_t homeSlot(const flow_hash& flow) const { return (flow.low ^ flow.high) & m_mask; }
    std::size_t probeCount() const { return m_entries.size() < probeLimit ? m_entries.size() : probeLimit; }

    std::vector<flow_entry> m_entries;
    std::size_t m_mask {};
    std::size_t m_size {};
    std::uint32_t m_idleTicks {};
    std::uint32_t m_closedTicks {};
};

template <typename OnErase>
flow_entry* flow_table::insert(const flow_hash& flow, timestamp now, OnErase onErase)
{
    for (std::size_t step = 0, slot = homeSlot(flow); step < probeCount();
         ++step, slot = (slot + 1) & m_mask) {
        flow_entry& entry = m_entries[slot];
        if (entry.has(flow_flag::Used)) {
            if (!isIdle(entry, now))
                continue;
            onErase(entry);
            --m_size;
        }
        entry = { flow, {}, {}, toTicks(now), flow_flag::Used };
        ++m_size;
        return &entry;
    }
    return nullptr;
}

template <typename IsEvictable> bool flow_table::evictFor(const flow_hash& flow, IsEvictable isEvictable)
{
    for (std::size_t step = 0, slot = homeSlot(flow); step < probeCount();
         ++step, slot = (slot + 1) & m_mask) {
        flow_entry& entry = m_entries[slot];
        if (entry.has(flow_flag::Used) && isEvictable(entry)) {
            erase(entry);
            return true;
        }
    }
    return false;
}

} // namespace shallotcove::core
