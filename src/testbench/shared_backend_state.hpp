#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

#include <shallotcove/core/flow.hpp>

namespace shallotcove::testbench {

/// State shared by the backend servers of one process. It detects faults across servers: packets of a flow
/// that reach another server, and requests executed more than once.
class shared_backend_state {
public:
    void openFlow(const core::flow_key& flow, std::uint32_t server) { m_flows[flow] = server; }
    void closeFlow(const core::flow_key& flow) { m_flows.erase(flow); }
    /// The server that holds the flow.
    std::optional<std::uint32_t> serverOf(const core::flow_key& flow) const
    {
        const auto found = m_flows.find(flow);
        return found == m_flows.end() ? std::nullopt : std::optional { found->second };
    }

    /// Sets the UDP port to which responses to this caller are sent.
    void setResponsePort(const core::ip_address& address, std::uint16_t port)
    {
        m_responsePorts[address] = port;
    }
    std::optional<std::uint16_t> responsePort(const core::ip_address& address) const
    {
        const auto found = m_responsePorts.find(address);
        return found == m_responsePorts.end() ? std::nullopt : std::optional { found->second };
    }

    /// Counts an execution of a request that must be executed at most once.
    void recordRun(std::uint64_t requestId)
    {
        if (++m_runs[requestId] > 1)
            ++m_duplicateRuns;
    }
    std::uint64_t duplicateRuns() const { return m_duplicateRuns; }

private:
    std::map<core::flow_key, std::uint32_t> m_flows;
    std::map<core::ip_address, std::uint16_t> m_responsePorts;
    std::unordered_map<std::uint64_t, std::uint32_t> m_runs;
    std::uint64_t m_duplicateRuns {};
};

} // namespace shallotcove::testbench
