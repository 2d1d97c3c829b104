#pragma once

#include <string>

#include "oracle_history.hpp"

namespace shallotcove::testbench {

/// Every reachable host applies a change within this time (section 1.3 of docs/design.md).
inline constexpr core::duration changeBound = std::chrono::seconds { 5 };
/// A reachable host sends its last packet into a data centre within this time after the data centre was taken
/// out.
inline constexpr core::duration outBound = std::chrono::seconds { 3 };
/// Time for membership, planner lease and store watches to recover after a fault: 3 s for detection, 5 s for
/// the lease to expire, and 2 s for suspicions to be refuted.
inline constexpr core::duration recoveryTime = std::chrono::seconds { 10 };

std::string formatSeconds(core::timestamp);

/// Whether a disturbance other than the death of a backend server, extended by recoveryTime,
/// overlaps [from, to].
bool isDisturbed(const run_history&, core::timestamp from, core::timestamp to);
/// Whether an ended flow may have broken because of what happened while it was open: its server died or was
/// removed, the server's data centre was out, there was a partition, all transmissions of a packet may have
/// been lost to message loss, or two failures coincided (of two hosts, or of a host together with a planned
/// change).
bool isBreakAllowed(const run_history&, const flow_record&);
/// Returns the data centre of a server, from the change that added it.
std::uint32_t dataCentreOf(const run_history&, std::uint32_t service, std::uint32_t server);
/// Whether a data centre is out or was out at any time in [from, to].
bool isOutDuring(const run_history&, std::uint32_t dataCentre, core::timestamp from, core::timestamp to);

} // namespace shallotcove::testbench
