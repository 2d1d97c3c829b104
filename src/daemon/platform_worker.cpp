#include <shallotcove/daemon/platform_worker.hpp>

#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <shallotcove/daemon/clock.hpp>
#include <shallotcove/store/host_list_client.hpp>
#include <shallotcove/store/key_value_client.hpp>

#include "lease_keeper.hpp"
#include "report_outbox.hpp"
#include "store_health.hpp"
#include "store_watcher.hpp"

namespace shallotcove::daemon {

class platform_worker::implementation {
public:
    implementation(const platform_worker_options& options, channels& shared, event_log& log)
        : m_options(options)
        , m_channels(shared)
        , m_log(log)
        , m_work(boost::asio::make_work_guard(m_context.get_executor()))
        , m_pollTimer(m_context)
        , m_store(store::key_value_client::create(m_context, storeOptions(options)))
        , m_hosts(store::host_list_client::create(
              m_context, { options.hostList.address, options.store.requestTimeout }))
        , m_outbox(m_context, shared.fromPlatform)
        , m_health(log, shared.isStoreAvailable)
        , m_watcher(m_context, *m_store, m_outbox, m_health, log, options.retryInterval)
        , m_lease(m_context, *m_store, m_outbox, m_health, log,
              { options.hostName, options.plannerLease, options.retryInterval })
    {
    }

    void run()
    {
        readHosts();
        m_context.run();
    }

    void wake()
    {
        // One pending drain() handles all queued items.
        if (!m_isDrainPending.exchange(true))
            boost::asio::post(m_context.get_executor(), [this] { drain(); });
    }

    void stop() { m_context.stop(); }

private:
    static store::key_value_client_options storeOptions(const platform_worker_options& options)
    {
        store::key_value_client_options result;
        result.address = options.store.address;
        result.requestTimeout = options.store.requestTimeout;
        return result;
    }

    void drain()
    {
        m_isDrainPending.store(false);
        while (const std::optional<platform_command> command = m_channels.toPlatform.pop())
            std::visit([this](const auto& item) { handle(item); }, *command);
        while (const std::optional<store_task> task = m_channels.storeTasks.pop())
            (*task)(*m_store, m_health);
        publishRequestCount();
    }

    void handle(const platform_request& request)
    {
        if (request.shouldWatch)
            m_watcher.start(request.appliedIndex);
        else
            m_watcher.stop();
        m_lease.setWanted(request.shouldHoldLease);
    }

    void handle(const core::store_write& write)
    {
        m_store->compareAndSwap({ { write.key, write.expected, write.value } }, 0,
            [this, key = write.key](const tl::expected<store::swap_result, store::store_error>& answer) {
                handleWriteAnswer(key, answer);
            });
    }

    void handleWriteAnswer(
        const std::string& key, const tl::expected<store::swap_result, store::store_error>& answer)
    {
        if (answer) {
            m_health.succeeded("compareAndSwap");
            if (!answer->wasWritten)
                m_log.write<event::PlannerWriteRefused>(key);
            return m_outbox.send(write_result { key, answer->wasWritten });
        }
        m_health.failed("compareAndSwap", answer.error());
        // Unavailable means that the request was not sent; after any other error the write may have taken
        // effect.
        if (answer.error() == store::store_error::Unavailable)
            return m_outbox.send(write_result { key, false });
        m_log.write<event::PlannerWriteLost>(key, nameOf(answer.error()));
        m_outbox.send(write_result { key, std::nullopt });
    }

    void readHosts()
    {
        m_hosts->read([this](tl::expected<std::vector<core::listed_host>, store::host_list_error> hosts) {
            handleHosts(std::move(hosts));
            publishRequestCount();
            m_pollTimer.expires_after(m_options.hostList.pollInterval);
            m_pollTimer.async_wait([this](const boost::system::error_code& error) {
                if (!error)
                    readHosts();
            });
        });
    }

    void handleHosts(tl::expected<std::vector<core::listed_host>, store::host_list_error> hosts)
    {
        if (!hosts) {
            if (std::exchange(m_isListAvailable, false)) {
                m_listOutageStart = monotonicNow();
                m_log.write<event::HostListUnavailable>(
                    hosts.error() == store::host_list_error::Unavailable ? "Unavailable" : "ProtocolError");
            }
            return;
        }
        if (!std::exchange(m_isListAvailable, true)) {
            const core::duration outage = monotonicNow() - m_listOutageStart;
            m_log.write<event::HostListAvailable>(
                hosts->size(), std::chrono::duration_cast<std::chrono::milliseconds>(outage).count());
        }
        m_outbox.send(std::move(*hosts));
    }

    void publishRequestCount()
    {
        m_channels.storeCalls.store(m_store->requestCount(), std::memory_order_relaxed);
    }

    platform_worker_options m_options;
    channels& m_channels;
    event_log& m_log;
    boost::asio::io_context m_context { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    boost::asio::steady_timer m_pollTimer;
    std::unique_ptr<store::key_value_client> m_store;
    std::unique_ptr<store::host_list_client> m_hosts;
    report_outbox m_outbox;
    store_health m_health;
    store_watcher m_watcher;
    lease_keeper m_lease;
    std::atomic<bool> m_isDrainPending { false };
    bool m_isListAvailable { true };
    core::timestamp m_listOutageStart;
};

platform_worker::platform_worker(const platform_worker_options& options, channels& shared, event_log& log)
    : m_implementation(std::make_unique<implementation>(options, shared, log))
{
}

platform_worker::~platform_worker() = default;

void platform_worker::run() { m_implementation->run(); }

void platform_worker::wake() { m_implementation->wake(); }

void platform_worker::stop() { m_implementation->stop(); }

} // namespace shallotcove::daemon
