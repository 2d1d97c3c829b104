#pragma once

#include <cstdint>

namespace shallotcove::steering {

/// Which servers count as full and are skipped.
enum class admission_limit : std::uint8_t {
    /// No server: the flow was already offered to a server, and its caller is waiting for it to open.
    None,
    /// Servers that have flowsPerSlot flows for each of their slots.
    Timely,
    /// The same with the lower limit for flows whose answer will be late in any case: the queues of servers
    /// are left to timely flows.
    Late,
};

/// Up to which load a server is accepted for a flow.
struct flow_admission {
    admission_limit limit { admission_limit::None };
    /// Multiple of the configured flows per slot, for servers of known and of unknown load alike.
    double scale { 1 };

    friend bool operator==(const flow_admission&, const flow_admission&) = default;
};

} // namespace shallotcove::steering
