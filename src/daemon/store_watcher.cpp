#include "store_watcher.hpp"

namespace shallotcove::daemon {

namespace {

    // Empty prefix: the store holds only keys of this deployment.
    const std::string allKeys;

} // namespace

store_watcher::store_watcher(boost::asio::io_context& context, store::key_value_client& client,
    report_outbox& outbox, store_health& health, event_log& log, std::chrono::milliseconds retryInterval)
    : m_retryTimer(context)
    , m_client(client)
    , m_outbox(outbox)
    , m_health(health)
    , m_log(log)
    , m_retryInterval(retryInterval)
{
}

void store_watcher::start(core::config_index knownIndex)
{
    if (m_isStarted)
        return;
    m_isStarted = true;
    ++m_generation;
    if (knownIndex.value == 0)
        readAll();
    else
        watch({ knownIndex.value + 1 });
}

void store_watcher::stop()
{
    if (!m_isStarted)
        return;
    m_isStarted = false;
    ++m_generation;
    m_retryTimer.cancel();
    m_client.stopWatch();
    m_log.write<event::WatchStopped>("notWanted");
}

void store_watcher::readAll()
{
    const std::uint64_t generation = m_generation;
    m_client.readRange(
        allKeys, [this, generation](tl::expected<store::store_range, store::store_error> answer) {
            if (generation == m_generation)
                handleRead(answer);
        });
}

void store_watcher::handleRead(const tl::expected<store::store_range, store::store_error>& answer)
{
    if (!answer) {
        m_health.failed("readRange", answer.error());
        m_retryTimer.expires_after(m_retryInterval);
        const std::uint64_t generation = m_generation;
        m_retryTimer.async_wait([this, generation](const boost::system::error_code& error) {
            if (!error && generation == m_generation)
                readAll();
        });
        return;
    }
    m_health.succeeded("readRange");
    m_outbox.send(store_changes { answer->entries, answer->revision, true });
    watch({ answer->revision.value + 1 });
}

void store_watcher::watch(core::config_index from)
{
    m_log.write<event::WatchStarted>(from.value);
    const std::uint64_t generation = m_generation;
    m_client.watch(
        allKeys, from, [this, generation](tl::expected<store::store_range, store::store_error> answer) {
            if (generation == m_generation)
                handleWatch(answer);
        });
}

void store_watcher::handleWatch(const tl::expected<store::store_range, store::store_error>& answer)
{
    if (answer) {
        m_health.succeeded("watch");
        m_outbox.send(store_changes { answer->entries, answer->revision, false });
        return;
    }
    m_health.failed("watch", answer.error());
    if (answer.error() != store::store_error::Compacted)
        return;
    m_log.write<event::WatchStopped>(nameOf(answer.error()));
    ++m_generation;
    readAll();
}

} // namespace shallotcove::daemon
