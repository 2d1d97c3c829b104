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
    if (!m_hasPendingCall)
        update();
}

void lease_keeper::schedule(std::chrono::milliseconds wait)
{
    m_hasPendingCall = false;
    m_timer.expires_after(wait);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error && !m_hasPendingCall)
            update();
    });
}

void lease_keeper::update()
{
    if (m_isHeld && monotonicNow() >= m_validUntil)
        handleLoss("expired");
    if (m_isHeld && !m_isWanted) {
        m_isHeld = false;
        m_log.write<event::LeaseReleased>();
        m_outbox.send(lease_state { false });
        // The answer is ignored: if the call fails, the lease expires.
        m_client.revokeLease(m_lease, [](const tl::expected<std::monostate, store::store_error>&) {});
    }
    if (!m_isWanted)
        return;
    m_hasPendingCall = true;
    if (m_isHeld)
        renew();
    else
        checkHolder();
}

// Checks first whether another host holds the lease: this takes one call, while an attempt to acquire a held
// lease would take three.
void lease_keeper::checkHolder()
{
    m_client.readRange(
        plannerKey, [this](const tl::expected<store::store_range, store::store_error>& answer) {
            if (!answer)
                return handleFailure("readRange", answer.error());
            m_health.succeeded("readRange");
            // readRange() returns every key that has this one as a prefix.
            const bool isTaken = std::any_of(answer->entries.begin(), answer->entries.end(),
                [](const core::store_entry& entry) { return entry.key == plannerKey; });
            if (!isTaken)
                requestLease();
            else
                schedule(m_options.retryInterval);
        });
}

void lease_keeper::requestLease()
{
    const core::timestamp sentAt = monotonicNow();
    m_client.grantLease(
        m_options.timeToLive, [this, sentAt](const tl::expected<std::int64_t, store::store_error>& lease) {
            if (!lease)
                return handleFailure("grantLease", lease.error());
            m_health.succeeded("grantLease");
            acquire(*lease, sentAt);
        });
}

void lease_keeper::acquire(std::int64_t lease, core::timestamp grantSentAt)
{
    m_client.compareAndSwap({ { plannerKey, {}, m_options.holderName } }, lease,
        [this, lease, grantSentAt](const tl::expected<store::swap_result, store::store_error>& answer) {
            if (!answer)
                return handleFailure("compareAndSwap", answer.error());
            m_health.succeeded("compareAndSwap");
            if (answer->wasWritten) {
                m_isHeld = true;
                m_lease = lease;
                m_validUntil = grantSentAt + m_options.timeToLive;
                m_log.write<event::LeaseTaken>();
                m_outbox.send(lease_state { true });
            }
            schedule(m_options.timeToLive / 3);
        });
}

void lease_keeper::renew()
{
    const core::timestamp sentAt = monotonicNow();
    m_client.keepLeaseAlive(
        m_lease, [this, sentAt](const tl::expected<std::chrono::seconds, store::store_error>& answer) {
            if (!answer) {
                if (answer.error() == store::store_error::LeaseNotFound)
                    handleLoss("LeaseNotFound");
                return handleFailure("keepLeaseAlive", answer.error());
            }
            m_health.succeeded("keepLeaseAlive");
            m_validUntil = sentAt + *answer;
            // The control engine gives the lease up if renewals are not reported to it.
            m_outbox.send(lease_state { true });
            schedule(m_options.timeToLive / 3);
        });
}

void lease_keeper::handleLoss(const std::string& cause)
{
    m_isHeld = false;
    m_log.write<event::LeaseLost>(cause);
    m_outbox.send(lease_state { false });
}

void lease_keeper::handleFailure(const char* call, store::store_error error)
{
    m_health.failed(call, error);
    schedule(m_options.retryInterval);
}

} // namespace shallotcove::daemon
