#pragma once

#include <map>
#include <string>

#include <shallotcove/core/time.hpp>

namespace shallotcove::steering {

struct steering_options;

/// Estimates how long to wait for the caller's acknowledgement of a server's answer, from a smoothed mean and
/// deviation per data centre, as TCP does for its retransmission time-out (RFC 6298).
class opening_timer {
public:
    void record(const std::string& dataCentre, core::duration elapsed);
    core::duration offerTimeout(const std::string& dataCentre, const steering_options&) const;

private:
    struct estimate {
        core::duration mean {};
        core::duration deviation {};
    };

    std::map<std::string, estimate> m_estimates;
};

} // namespace shallotcove::steering
