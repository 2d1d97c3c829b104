#pragma once

#include <algorithm>

#include <shallotcove/core/time.hpp>

namespace shallotcove::core {

/// Token bucket that refills at a constant rate up to a burst size.
class token_bucket {
public:
    token_bucket() = default;
    token_bucket(double tokensPerSecond, double burst, double tokens, timestamp now)
        : m_rate(tokensPerSecond)
        , m_burst(burst)
        , m_tokens(std::min(tokens, burst))
        , m_updated(now)
    {
    }

    /// Returns a bucket with another rate and burst that keeps the available tokens.
    token_bucket withRate(double tokensPerSecond, double burst, timestamp now) const
    {
        return { tokensPerSecond, burst, available(now), now };
    }

    bool take(double tokens, timestamp now)
    {
        m_tokens = available(now);
        m_updated = std::max(m_updated, now);
        if (m_tokens < tokens)
            return false;
        m_tokens -= tokens;
        return true;
    }

    double available(timestamp now) const
    {
        const double elapsed = std::max(0.0, std::chrono::duration<double> { now - m_updated }.count());
        return std::min(m_burst, m_tokens + elapsed * m_rate);
    }

private:
    double m_rate {};
    double m_burst {};
    double m_tokens {};
    timestamp m_updated;
};

} // namespace shallotcove::core
