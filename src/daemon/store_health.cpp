#include "store_health.hpp"

#include <shallotcove/daemon/clock.hpp>

namespace shallotcove::daemon {

std::string nameOf(store::store_error error)
{
    switch (error) {
    case store::store_error::Unavailable:
        return "Unavailable";
    case store::store_error::AnswerLost:
        return "AnswerLost";
    case store::store_error::ProtocolError:
        return "ProtocolError";
    case store::store_error::Compacted:
        return "Compacted";
    case store::store_error::LeaseNotFound:
        return "LeaseNotFound";
    }
    return "Other";
}

store_health::store_health(event_log& log, std::atomic<bool>& isAvailable)
    : m_log(log)
    , m_isAvailable(isAvailable)
{
}

void store_health::succeeded(const char* call)
{
    if (m_isAvailable.exchange(true))
        return;
    const core::duration outage = monotonicNow() - m_outageStart;
    m_log.write<event::StoreAvailable>(
        call, std::chrono::duration_cast<std::chrono::milliseconds>(outage).count());
}

void store_health::failed(const char* call, store::store_error error)
{
    const bool isAnswered
        = error == store::store_error::Compacted || error == store::store_error::LeaseNotFound;
    if (isAnswered)
        return succeeded(call);
    if (!m_isAvailable.exchange(false))
        return;
    m_outageStart = monotonicNow();
    m_log.write<event::StoreUnavailable>(call, nameOf(error));
}

} // namespace shallotcove::daemon
