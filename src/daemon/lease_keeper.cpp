#include "lease_keeper.hpp"

#include <algorithm>

#include <shallotcove/daemon/clock.hpp>

namespace shallotcove::daemon {

namespace {

    const std::string plannerKey = "planner";

} // namespace

lease_keeper::lease_keeper(boost::asio::io_context& context, store::key_value_client& client,
    report_outbox& outbox, store_health& health, event_log& log, const lease_keeper_options& options)
    : m_timer(context)
    , m_client(client)
    , m_outbox(outbox)
    , m_health(health)
    , m_log(log)
    , m_options(options)
{
}

void lease_keeper::setWanted(bool isWanted)
{
    if (isWanted == m_isWanted)
        return;
    m_isWanted = isWanted;
    if (!m_isBusy)
        work();
}

void lease_keeper::schedule(std::chrono::milliseconds wait)
{
    m_isBusy = false;
    m_timer.expires_after(wait);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error && !m_isBusy)
            work();
    });
}

void lease_keeper::work()
{
    if (m_isHeld && monotonicNow() >= m_validUntil)
        lose("expired");
    if (m_isHeld && !m_isWanted) {
        m_isHeld = false;
        m_log.write<event::LeaseReleased>();
        m_outbox.send(lease_state { false });
        // Without an answer the lease ends by itself.
        m_client.revokeLease(m_lease, [](const tl::expected<std::monostate, store::store_error>&) {});
    }
    if (!m_isWanted)
        return;
    m_isBusy = true;
    if (m_isHeld)
        keep();
    else
        look();
}

// Costs one call while another host holds the lease, where an attempt to take it would cost three.
void lease_keeper::look()
{
    m_client.readRange(
        plannerKey, [this](const tl::expected<store::store_range, store::store_error>& answer) {
            if (!answer)
                return failed("readRange", answer.error());
            m_health.succeeded("readRange");
            // The range also has keys that only begin with this one.
            const bool isTaken = std::any_of(answer->entries.begin(), answer->entries.end(),
                [](const core::store_entry& entry) { return entry.key == plannerKey; });
            if (!isTaken)
                grant();
            else
                schedule(m_options.retryInterval);
        });
}

void lease_keeper::grant()
{
    const core::timestamp sentAt = monotonicNow();
    m_client.grantLease(
        m_options.timeToLive, [this, sentAt](const tl::expected<std::int64_t, store::store_error>& lease) {
            if (!lease)
                return failed("grantLease", lease.error());
            m_health.succeeded("grantLease");
            take(*lease, sentAt);
        });
}

void lease_keeper::take(std::int64_t lease, core::timestamp grantedAt)
{
    m_client.compareAndSwap({ { plannerKey, {}, m_options.holderName } }, lease,
        [this, lease, grantedAt](const tl::expected<store::swap_result, store::store_error>& answer) {
            if (!answer)
                return failed("compareAndSwap", answer.error());
            m_health.succeeded("compareAndSwap");
            if (answer->wasWritten) {
                m_isHeld = true;
                m_lease = lease;
                m_validUntil = grantedAt + m_options.timeToLive;
                m_log.write<event::LeaseTaken>();
                m_outbox.send(lease_state { true });
            }
            schedule(m_options.timeToLive / 3);
        });
}

void lease_keeper::keep()
{
    const core::timestamp sentAt = monotonicNow();
    m_client.keepLeaseAlive(
        m_lease, [this, sentAt](const tl::expected<std::chrono::seconds, store::store_error>& answer) {
            if (!answer) {
                if (answer.error() == store::store_error::LeaseNotFound)
                    lose("LeaseNotFound");
                return failed("keepLeaseAlive", answer.error());
            }
            m_health.succeeded("keepLeaseAlive");
            m_validUntil = sentAt + *answer;
            // The control engine gives the lease up by itself if it does not hear of renewals.
            m_outbox.send(lease_state { true });
            schedule(m_options.timeToLive / 3);
        });
}

void lease_keeper::lose(const std::string& cause)
{
    m_isHeld = false;
    m_log.write<event::LeaseLost>(cause);
    m_outbox.send(lease_state { false });
}

void lease_keeper::failed(const char* call, store::store_error error)
{
    m_health.failed(call, error);
    schedule(m_options.retryInterval);
}

} // namespace shallotcove::daemon
