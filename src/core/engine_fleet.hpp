#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <shallotcove/core/packet_engine.hpp>
#include <shallotcove/core/routing_snapshot.hpp>

namespace shallotcove::core::testing {

/// The last decision on a packet and the number of redirects before it.
struct packet_outcome {
    decision finalDecision;
    std::uint32_t hops {};

    bool isForwardedTo(std::uint32_t server) const
    {
        return finalDecision.kind == decision_kind::Forward && finalDecision.server.value == server;
    }
};

/// Several packet engines in one thread. Redirected packets and messages are delivered by direct calls.
class engine_fleet {
public:
    explicit engine_fleet(std::size_t hosts, const packet_engine_options& options = smallTableOptions());

    static packet_engine_options smallTableOptions();

    /// The snapshot that the next apply() passes to the host.
    routing_snapshot& nextSnapshot(std::size_t host) { return m_hosts[host].nextSnapshot; }
    void apply(std::size_t host);
    /// Applies the same services to all hosts at a new config index.
    void applyToAll(const std::vector<service_config>&);
    void applyService(std::size_t host, const service_config&);
    /// Applies a snapshot in which these hosts are the owners to one host.
    void setOwners(std::size_t host, const std::vector<std::size_t>& owners);

    void setOwnersAtAllHosts(const std::vector<std::size_t>& owners);
    std::vector<std::size_t> hostsExcept(const std::vector<std::size_t>& excluded) const;

    /// Passes a packet to host and follows its redirects. The packet is lost if a receiving host is down.
    packet_outcome send(std::size_t host, const packet_summary&);
    decision redirectTo(std::size_t host, const packet_summary&, const redirect_header&);
    /// Advances time on all hosts that are up, in steps of 10 ms (500 ms for more than 30 s), and delivers
    /// their messages.
    void run(duration);
    /// Advances time without calling the engines.
    void skip(duration length) { m_now = m_now + length; }
    void setDown(std::size_t host, bool isDown) { m_hosts[host].isDown = isDown; }

    packet_engine& engine(std::size_t host) { return m_hosts[host].engine; }
    const packet_engine_output& output(std::size_t host) const { return m_hosts[host].output; }
    timestamp now() const { return m_now; }
    std::uint64_t trackedFlowsSent() const { return m_trackedFlowsSent; }
    /// Server evidence summed over all hosts.
    server_evidence evidence(std::uint32_t server) const;
    const std::vector<class_evidence>& classEvidence(std::size_t host) const { return m_hosts[host].classes; }

    /// Indexes of the hosts that are owner and backup of a packet's flow.
    std::pair<std::size_t, std::size_t> ownerAndBackup(const packet_summary&) const;
    /// Index of a host that is neither owner nor backup of a packet's flow; number selects one of several,
    /// from 0.
    std::size_t uninvolvedHost(const packet_summary&, std::size_t number = 0) const;

private:
    struct host_state {
        packet_engine engine;
        routing_snapshot nextSnapshot;
        packet_engine_output output;
        std::vector<server_evidence> evidence;
        std::vector<class_evidence> classes;
        bool isDown {};
    };

    void deliver(const addressed_message&);
    std::size_t indexOf(host_id) const;

    std::vector<host_state> m_hosts;
    std::vector<member> m_members;
    timestamp m_now { std::chrono::seconds { 100 } };
    std::uint64_t m_trackedFlowsSent {};
};

/// TCP service 1 at 192.0.2.1:443 with servers 1 to count of equal weight and one active epoch.
service_config makeService(std::uint32_t servers);
/// Appends an epoch with these servers, each of weight 100.
void addEpoch(service_config&, epoch_phase, const std::vector<std::uint32_t>& servers);
packet_summary firstPacket(std::uint32_t caller, const service_config&);
packet_summary laterPacket(std::uint32_t caller, const service_config&);
flow_hash hashOf(const packet_summary&);
/// The server that an epoch chooses for a caller's flow.
std::uint32_t choiceOf(const service_config&, std::size_t epoch, std::uint32_t caller);
/// A service with servers 1 to 4, of which server 1 is draining, and a second epoch without server 1.
service_config drainingService(epoch_phase phase);
/// The first caller, counting from 1, that accepts returns true for.
template <typename Accepts> std::uint32_t findCaller(Accepts accepts)
{
    std::uint32_t caller = 1;
    while (!accepts(caller))
        ++caller;
    return caller;
}

/// The first caller whose flow the first epoch of four servers places on server 1 and whose first packet
/// accepts returns true for.
template <typename Accepts> std::uint32_t callerOnServer1(Accepts accepts)
{
    const service_config service = makeService(4);
    return findCaller([&](std::uint32_t caller) {
        return choiceOf(service, 0, caller) == 1 && accepts(firstPacket(caller, service));
    });
}
inline std::uint32_t callerOnServer1()
{
    return callerOnServer1([](const packet_summary&) { return true; });
}

} // namespace shallotcove::core::testing
