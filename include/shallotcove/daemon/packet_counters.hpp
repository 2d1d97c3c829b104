#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace shallotcove::daemon {

/// Counter that one thread increments and any thread reads.
class relaxed_counter {
public:
    void add(std::uint64_t amount = 1)
    {
        // There is only one writer, so a relaxed load and store suffice instead of the costlier atomic
        // addition.
        m_value.store(m_value.load(std::memory_order_relaxed) + amount, std::memory_order_relaxed);
    }
    std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value { 0 };
};

/// Counters of the packet thread. The arrays are indexed by the enumerators' values.
struct packet_counters {
    relaxed_counter fromFabric;
    relaxed_counter redirectsIn;
    relaxed_counter forwarded;
    std::array<relaxed_counter, 3> redirectsOut;
    std::array<relaxed_counter, 8> refused;
    std::array<relaxed_counter, 16> dropped;
    std::array<relaxed_counter, 16> malformedPackets;
    std::array<relaxed_counter, 8> malformedRedirects;
    relaxed_counter truncated;
    relaxed_counter notAnswered;
    relaxed_counter sendFailed;
    /// How often a report was postponed because the ring of reports was full.
    relaxed_counter reportsPostponed;
    /// Monotonic time of the last datagram from the fabric, in nanoseconds; 0 if there was none.
    std::atomic<std::int64_t> lastFabricPacket { 0 };
    std::atomic<std::uint64_t> localFlows { 0 };
    std::atomic<std::uint64_t> trackedFlows { 0 };
};

} // namespace shallotcove::daemon
