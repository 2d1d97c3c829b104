#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include <shallotcove/core/flow.hpp>
#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/time.hpp>

namespace shallotcove::core {

/// A flow that was placed on this host.
struct recent_flow {
    flow_hash flow;
    service_id service;
    timestamp placed;
};

/// Ring buffer of the most recently placed flows. Overwrites the oldest; allocates only on construction.
class recent_flows {
public:
    explicit recent_flows(std::size_t capacity)
        : m_ring(capacity)
    {
    }

    void add(const recent_flow& flow) { m_ring[m_end++ % m_ring.size()] = flow; }
    /// Positions increase with each added flow; those from begin() up to end() are still in the ring.
    std::size_t begin() const { return m_end < m_ring.size() ? 0 : m_end - m_ring.size(); }
    std::size_t end() const { return m_end; }
    const recent_flow& at(std::size_t position) const { return m_ring[position % m_ring.size()]; }

private:
    std::vector<recent_flow> m_ring;
    std::size_t m_end {};
};

} // namespace shallotcove::core
