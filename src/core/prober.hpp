#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include <pcg_random.hpp>

#include <shallotcove/core/control_engine.hpp>

namespace shallotcove::core {

class member_table;

/// A probe to send. The control engine adds the address and gossip.
struct probe_request {
    host_id to;
    std::uint64_t probe {};
    /// Whether to is asked to probe target on this host's behalf; otherwise target is the same as to.
    bool isIndirect {};
    host_id target;
};

/// Failure detector: decides which hosts to probe when, and suspects those that don't answer. In each period
/// it probes this host's successor in the order of host ids, so that every host is probed in every period,
/// and one member of a random permutation.
class prober {
public:
    explicit prober(const control_engine_options&);

    /// Addresses to join through, which are probed until they answer.
    void setContacts(std::map<host_id, socket_address>);
    /// Records that a message of any kind arrived from this host, which ends its open probes. If it was seen
    /// as dead, other unreachable hosts are probed more often for a while.
    void markReachable(host_id, bool wasDead, timestamp now);
    /// Handles an answer. Returns false if it is not to a probe sent since the last dropProbes().
    bool handleAck(std::uint64_t probe, host_id target);
    /// Drops all open probes; answers to them no longer count.
    void dropProbes();
    /// Returns the probes that are due. If isJoining is set, dead members and contacts are probed on every
    /// tick instead of occasionally.
    std::vector<probe_request> advance(member_table&, bool isJoining, timestamp now);

    /// Whether every contact is either a member or was probed so often that a live host would have answered.
    bool hasTriedContacts(const member_table&) const;
    /// Addresses given to setContacts().
    const std::map<host_id, socket_address>& contacts() const { return m_contacts; }

private:
    struct open_probe {
        host_id target;
        timestamp sentAt;
        std::uint32_t sends { 1 };
        bool isSuspected {};
    };

    void startProbe(host_id target, timestamp now, std::vector<probe_request>&);
    void continueProbes(member_table&, timestamp now, std::vector<probe_request>&);
    void probeSuccessors(const member_table&, timestamp now, std::vector<probe_request>&);
    void probeNextOfPermutation(const member_table&, timestamp now, std::vector<probe_request>&);
    void probeUnreachable(const member_table&, std::size_t count, std::vector<probe_request>&);
    void requestIndirectProbes(
        const member_table&, std::uint64_t probe, host_id target, std::vector<probe_request>&);

    control_engine_options m_options;
    pcg32 m_random;
    std::map<host_id, socket_address> m_contacts;
    /// Number of probes sent to each dead member and each contact that is not a member.
    std::map<host_id, std::uint32_t> m_unreachableProbes;
    std::map<std::uint64_t, open_probe> m_openProbes;
    std::vector<host_id> m_permutation;
    timestamp m_nextTick;
    std::uint64_t m_ticks {};
    std::uint64_t m_lastProbe {};
    std::uint64_t m_lastDropped {};
    timestamp m_recoveryUntil;
    bool m_isRecovering {};
};

} // namespace shallotcove::core
