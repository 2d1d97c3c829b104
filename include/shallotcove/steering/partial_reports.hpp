#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include <shallotcove/core/time.hpp>
#include <shallotcove/steering/load_report.hpp>

namespace shallotcove::steering {

/// Sorts the loads of a report that does not fit one message, the greatest first.
void sortByLoad(load_report&);
/// Number of messages that the report takes; at least 1.
std::size_t partCount(const load_report&);
/// The loads of the message with the given number.
load_report partOf(const load_report&, std::size_t part);

/// Combines the messages of hosts whose loads do not fit one message. A load stays as it is until it is
/// listed again, or for three lifetimes of a report: a server without flows is no longer listed. Only the
/// latest loads of a host are kept, up to a limit.
class partial_reports {
public:
    /// Adds the loads of one message and returns the full report of the host.
    load_report add(
        std::uint32_t host, const load_report& listed, core::duration lifetime, core::timestamp now);
    /// Forgets the hosts whose loads have all expired.
    void expire(core::duration lifetime, core::timestamp now);
    /// Forgets the former loads of a host that sent all its loads in one message.
    void clear(std::uint32_t host) { m_hosts.erase(host); }

private:
    struct listed_load {
        server_load load;
        core::timestamp listedAt;
    };

    std::map<std::uint32_t, std::vector<listed_load>> m_hosts;
};

} // namespace shallotcove::steering
