#pragma once

#include <map>
#include <string>

#include <shallotcove/core/time.hpp>

namespace shallotcove::steering {

struct steering_options;

/// How long to wait for the caller's acknowledgement of a server's answer: smoothed mean and deviation for
/// each data centre, as for TCP's retransmission time-out (RFC 6298).
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
