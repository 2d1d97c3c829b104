#include <shallotcove/daemon/tagged_host.hpp>

#include <csignal>
#include <deque>
#include <optional>
#include <thread>
#include <variant>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <shallotcove/daemon/clock.hpp>
#include <shallotcove/daemon/metrics.hpp>
#include <shallotcove/daemon/tagged_channels.hpp>

#include "http_responder.hpp"
#include "settings_reloader.hpp"
#include "store_follower.hpp"
#include "tagged_log_worker.hpp"
#include "tagged_metrics.hpp"
#include "tagged_options.hpp"
#include "tagged_packet_worker.hpp"
#include "view_log.hpp"
#include "wake_signal.hpp"

namespace shallotcove::daemon {

namespace asio = boost::asio;

namespace {

    constexpr std::chrono::milliseconds controlTick { 100 };
    /// Sleep of the log thread while there is nothing to write.
    constexpr std::chrono::milliseconds logIdleWait { 50 };
    /// Interval between checks of the settings file, which may change without a signal.
    constexpr std::chrono::seconds settingsInterval { 2 };
    /// Routers check readiness twice a second and stop using a host after two negative answers.
    constexpr std::chrono::milliseconds minimumShutdown { 1200 };
    /// If no packet of a caller arrives for this long during a shutdown, the routers no longer use the host.
    constexpr std::chrono::milliseconds quietPeriod { 300 };
    /// If this host is behind a store revision of other hosts for this long, its watch is taken for dead.
    /// Longer than the minimum interval between two watch calls.
    constexpr std::chrono::milliseconds maximumWatchLag { 1400 };
    /// How long a host watches the store itself after that.
    constexpr std::chrono::milliseconds directWatchPeriod { 3000 };

    std::int64_t milliseconds(core::duration time)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    }

} // namespace

class tagged_host::implementation {
public:
    implementation(
        const tagged_settings& settings, std::string settingsFile, event_log& log, wake_signal wake)
        : m_settings(settings)
        , m_log(log)
        , m_reloader(settingsFile, settings, [this](log_task task) { post(std::move(task)); })
        , m_wake(std::move(wake))
        , m_context(1)
        , m_signals(m_context, SIGTERM, SIGINT, SIGHUP)
        , m_timer(m_context)
        , m_follower(m_context, followerOptions(settings), m_view, followerEvents())
    {
    }

    std::optional<start_failure> open()
    {
        tl::expected<udp_socket, std::string> callers = udp_socket::bind(m_settings.packetAddress);
        if (!callers)
            return start_failure { "packetAddress", m_settings.packetAddress.toString(), callers.error() };
        tl::expected<udp_socket, std::string> peers = udp_socket::bind(m_settings.peerAddress);
        if (!peers)
            return start_failure { "peerAddress", m_settings.peerAddress.toString(), peers.error() };
        m_addresses.packets = callers->address();
        m_addresses.peers = peers->address();
        tl::expected<std::unique_ptr<http_responder>, std::string> responder = http_responder::create(
            m_context, m_settings.readinessAddress, [this](std::string_view) { return readinessReply(); });
        if (!responder)
            return start_failure { "readinessAddress", m_settings.readinessAddress.toString(),
                responder.error() };
        m_readinessServer = std::move(*responder);
        responder = http_responder::create(
            m_context, m_settings.metricsAddress, [this](std::string_view) { return metricsReply(); });
        if (!responder)
            return start_failure { "metricsAddress", m_settings.metricsAddress.toString(),
                responder.error() };
        m_metricsServer = std::move(*responder);
        responder = http_responder::create(
            m_context, m_addresses.peers, [this](std::string_view target) { return changesReply(target); });
        if (!responder)
            return start_failure { "peerAddress", m_settings.peerAddress.toString(), responder.error() };
        m_changesServer = std::move(*responder);
        m_addresses.readiness = m_readinessServer->address();
        m_addresses.metrics = m_metricsServer->address();
        m_packets = std::make_unique<tagged_packet_worker>(
            std::move(*callers), std::move(*peers), m_wake, m_channels, packetOptions(m_settings));
        return std::nullopt;
    }

    void run()
    {
        m_follower.start();
        std::thread packets([this] {
            while (!m_channels.shouldEnd.load(std::memory_order_relaxed))
                m_packets->runOnce();
        });
        std::thread logs([this] { writeLogs(); });
        post([settings = m_settings, boundAddresses = m_addresses](event_log& log) {
            log.write<event::TaggedHostStarted>(settings.dataCentre, boundAddresses.packets.toString(),
                boundAddresses.readiness.toString(), boundAddresses.peers.toString(),
                boundAddresses.metrics.toString(), settings.storeAddress.toString());
        });
        waitForSignal();
        tick();
        m_context.run();
        m_channels.shouldEnd.store(true);
        m_wake.raise();
        packets.join();
        logs.join();
    }

    void stop()
    {
        asio::post(m_context, [this] { beginShutdown(); });
    }

    tagged_host_addresses addresses() const { return m_addresses; }

private:
    // Log thread.

    void writeLogs()
    {
        tagged_log_worker worker(m_log, *m_metrics, m_channels, m_settings.limits.logLinesPerSecond);
        while (true) {
            const bool isLast = m_channels.shouldEnd.load(std::memory_order_relaxed);
            if (worker.runOnce())
                continue;
            if (isLast)
                return;
            std::this_thread::sleep_for(logIdleWait);
        }
    }

    // Control thread.

    void post(log_task task) { m_channels.logTasks.push(std::move(task)); }

    store_follower_events followerEvents()
    {
        store_follower_events events;
        events.onUpdates
            = [this](const std::vector<steering::view_update>& updates) { handleUpdates(updates); };
        events.onFailed = [this](const char* call, const char* cause, bool isFirst) {
            if (!isFirst)
                return;
            const std::int64_t age = milliseconds(monotonicNow() - m_follower.answeredAt());
            post([=, revision = m_view.revision()](
                     event_log& log) { log.write<event::StoreCallFailed>(call, cause, revision, age); });
        };
        events.onRecovered = [this](const char* call, core::duration outage, std::uint64_t failedCalls) {
            post([=, revision = m_view.revision()](event_log& log) {
                log.write<event::StoreCallAnswered>(call, revision, milliseconds(outage), failedCalls);
            });
        };
        events.onHistoryDropped = [this] {
            post([revision = m_view.revision()](
                     event_log& log) { log.write<event::StoreHistoryDropped>(revision); });
        };
        events.onListingIgnored = [this](std::uint64_t listingRevision) {
            post([=, revision = m_view.revision()](
                     event_log& log) { log.write<event::StoreListingIgnored>(listingRevision, revision); });
        };
        events.onCatchUpStarted = [this](const char* cause) {
            post([=, revision = m_view.revision()](
                     event_log& log) { log.write<event::CatchUpStarted>(cause, revision); });
        };
        events.onCatchUpEnded = [this](const catch_up_summary& summary) {
            post([summary](event_log& log) {
                log.write<event::CatchUpEnded>(summary.source, milliseconds(summary.length),
                    summary.fromRevision, summary.revision, summary.calls);
            });
        };
        events.onFetched = [this](const core::socket_address& relay, bool isAnswered) {
            post([relay, isAnswered, revision = m_view.revision()](event_log& log) {
                log.write<event::ChangesFetched>(
                    relay.toString(), isAnswered ? "answered" : "failed", revision);
            });
        };
        return events;
    }

    void handleUpdates(const std::vector<steering::view_update>& updates)
    {
        // The view may have changed although its revision is the same.
        m_lastTarget.clear();
        logUpdates(updates, m_view.revision(), [this](log_task task) { post(std::move(task)); });
        m_pending.push_back(std::make_shared<const std::vector<steering::view_update>>(updates));
        m_pending.push_back(view_state { m_view.isComplete(), m_view.revision() });
        sendPendingMessages();
    }

    void sendPendingMessages()
    {
        if (m_pending.empty())
            return;
        while (!m_pending.empty() && m_channels.viewMessages.tryPush(std::move(m_pending.front())))
            m_pending.pop_front();
        m_wake.raise();
    }

    http_reply readinessReply() const
    {
        const steering::readiness_state state = m_channels.isStopping.load(std::memory_order_relaxed)
            ? steering::readiness_state::Stopping
            : m_channels.readiness.load(std::memory_order_acquire);
        const bool isReady = state == steering::readiness_state::Ready;
        return { isReady ? 200U : 503U, "application/json",
            "{\"state\":\"" + std::string(textOf(state)) + "\"}" };
    }

    http_reply changesReply(std::string_view target)
    {
        // Hosts that start together or fetch the same change send the same request.
        if (target != m_lastTarget || m_view.revision() != m_lastRevision) {
            m_lastTarget = target;
            m_lastRevision = m_view.revision();
            m_lastChanges = m_view.isComplete() ? answerChangesRequest(m_view, target) : std::nullopt;
            m_follower.recordWork();
        }
        if (!m_lastChanges)
            return { 404, "text/plain", "no such page, or nothing known yet\n" };
        return { 200, "application/msgpack", *m_lastChanges };
    }

    http_reply metricsReply()
    {
        refreshMetrics(*m_metrics, m_channels, m_follower.counts(), m_view.revision());
        m_follower.recordWork();
        return { 200, "text/plain; version=0.0.4", m_metrics->text() };
    }

    void tick()
    {
        const core::timestamp now = monotonicNow();
        checkPause();
        sendPendingMessages();
        applyWatchRole();
        checkWatchLag(now);
        if (now >= m_nextSettingsCheck) {
            m_nextSettingsCheck = now + settingsInterval;
            if (m_reloader.checkFileChanged())
                m_reloader.reload("fileChanged");
        }
        const std::uint64_t hosts = m_channels.counters.hosts.load(std::memory_order_relaxed);
        if (std::exchange(m_loggedHosts, hosts) != hosts)
            post([hosts](event_log& log) { log.write<event::KnownHostsChanged>(hosts); });
        if (m_shutdownStart && tryFinishShutdown(now))
            return;
        m_follower.recordWork();
        m_timer.expires_after(controlTick);
        m_timer.async_wait([this](const boost::system::error_code& error) {
            if (!error)
                tick();
        });
    }

    /// Lets the follower catch up after a pause of the process, whichever thread has detected it.
    void checkPause()
    {
        m_follower.checkPause();
        const std::uint64_t pauses = m_channels.pauses.load(std::memory_order_relaxed);
        if (std::exchange(m_handledPauses, pauses) != pauses)
            m_follower.handlePause();
    }

    /// Watches the store, or fetches its changes from the neighbour that watches it.
    void applyWatchRole()
    {
        const store_follower_options options;
        const bool shouldWatch = !m_view.isComplete() || monotonicNow() < m_directWatchUntil
            || m_channels.shouldWatch.load(std::memory_order_acquire);
        if (std::exchange(m_isWatchingStore, shouldWatch) != shouldWatch)
            post(
                [shouldWatch, relay = m_channels.relay.load(), revision = m_view.revision()](event_log& log) {
                    log.write<event::WatchDutyChanged>(shouldWatch ? "store" : "neighbour",
                        core::ip_address::fromV4(relay).toString(), revision);
                });
        const core::socket_address relay { core::ip_address::fromV4(m_channels.relay.load()),
            m_addresses.peers.port };
        const bool isRelayNewer = m_channels.relayRevision.load() > m_follower.receivedRevision();
        m_follower.setRelay(shouldWatch ? std::nullopt : std::optional(relay));
        if (!shouldWatch && !isRelayNewer)
            m_follower.confirmCurrent();
        if (shouldWatch)
            m_follower.resume(m_channels.isRelay.load() ? options.relayWatchWait : options.watchWait);
        else
            m_follower.suspend();
        m_channels.isWatching.store(shouldWatch, std::memory_order_relaxed);
        m_channels.answeredAt.store(m_follower.answeredAt().sinceStart.count(), std::memory_order_relaxed);
        const bool mayFetch = !shouldWatch || m_follower.isWaitingForNeighbour();
        if (mayFetch && isRelayNewer)
            m_follower.fetchChanges(relay);
        m_channels.isCatchingUp.store(m_follower.isCatchingUp(), std::memory_order_relaxed);
    }

    /// Restarts the watch if it returns nothing although other hosts have newer revisions: such a watch is
    /// dead, even if its connection is still open.
    void checkWatchLag(core::timestamp now)
    {
        const std::uint64_t neighbourRevision = m_channels.neighbourRevision.load(std::memory_order_relaxed);
        // A configuration that waits to be applied holds back the revision of the view, but has been
        // received.
        const std::uint64_t received = m_follower.receivedRevision();
        if (!m_view.isComplete() || m_awaitedRevision <= received) {
            m_awaitedRevision = neighbourRevision;
            m_awaitedSince = now;
        }
        if (m_awaitedRevision <= received || now - m_awaitedSince < maximumWatchLag)
            return;
        m_awaitedSince = now;
        // A neighbour that was to pass the changes on has not done so, so the host watches the store itself.
        m_directWatchUntil = now + directWatchPeriod;
        m_follower.restart();
    }

    void waitForSignal()
    {
        m_signals.async_wait([this](const boost::system::error_code& error, int number) {
            if (error)
                return;
            if (number == SIGHUP)
                m_reloader.reload("SIGHUP");
            else
                beginShutdown();
            waitForSignal();
        });
    }

    void beginShutdown()
    {
        if (m_shutdownStart)
            return;
        m_shutdownStart = monotonicNow();
        m_channels.isStopping.store(true);
        post([timeout = m_reloader.current().shutdownTimeout](event_log& log) {
            log.write<event::ShutdownStarted>(
                "SIGTERM", std::chrono::duration_cast<std::chrono::seconds>(timeout).count());
        });
    }

    /// Stops the event loop and returns true if callers have moved to other hosts and none waits for a
    /// decision of this one, or if the shutdown has timed out.
    bool tryFinishShutdown(core::timestamp now)
    {
        const core::duration elapsed = now - *m_shutdownStart;
        const core::timestamp last { core::duration { m_channels.lastCallerPacket.load() } };
        const bool isQuiet = elapsed >= minimumShutdown && now - last >= quietPeriod
            && !m_channels.hasPendingDecisions.load(std::memory_order_relaxed);
        if (!isQuiet && elapsed < m_reloader.current().shutdownTimeout)
            return false;
        post([isQuiet, elapsed, flows = m_channels.counters.flows.load()](event_log& log) {
            log.write<event::TaggedShutdown>(isQuiet ? "quiet" : "timeout", milliseconds(elapsed), flows);
        });
        m_signals.cancel();
        m_context.stop();
        return true;
    }

    tagged_settings m_settings;
    event_log& m_log;
    tagged_channels m_channels;
    settings_reloader m_reloader;
    wake_signal m_wake;
    std::unique_ptr<metrics> m_metrics { metrics::createWithoutServer() };
    asio::io_context m_context;
    asio::signal_set m_signals;
    asio::steady_timer m_timer;
    steering::store_view m_view;
    store_follower m_follower;
    std::unique_ptr<http_responder> m_readinessServer;
    std::unique_ptr<http_responder> m_metricsServer;
    /// Serves changes of the store to neighbours.
    std::unique_ptr<http_responder> m_changesServer;
    std::unique_ptr<tagged_packet_worker> m_packets;
    tagged_host_addresses m_addresses;
    std::deque<view_message> m_pending;
    /// The last answer to a request for changes, with the target and the revision of the view it belongs to.
    std::string m_lastTarget;
    std::uint64_t m_lastRevision {};
    std::optional<std::string> m_lastChanges;
    core::timestamp m_nextSettingsCheck;
    std::uint64_t m_loggedHosts {};
    bool m_isWatchingStore { true };
    /// Number of pauses detected by the packet thread that the follower has been told of.
    std::uint64_t m_handledPauses {};
    core::timestamp m_directWatchUntil;
    /// A store revision that another host has reported, and since when the view has been behind it.
    std::uint64_t m_awaitedRevision {};
    core::timestamp m_awaitedSince;
    std::optional<core::timestamp> m_shutdownStart;
};

tl::expected<std::unique_ptr<tagged_host>, start_failure> tagged_host::create(
    const tagged_settings& settings, const std::string& settingsFile, event_log& log)
{
    tl::expected<wake_signal, std::string> wake = wake_signal::create();
    if (!wake)
        return tl::unexpected(start_failure { "", "", wake.error() });
    std::unique_ptr<implementation> inner
        = std::make_unique<implementation>(settings, settingsFile, log, std::move(*wake));
    if (std::optional<start_failure> failure = inner->open())
        return tl::unexpected(std::move(*failure));
    return std::unique_ptr<tagged_host>(new tagged_host(std::move(inner)));
}

tagged_host::tagged_host(std::unique_ptr<implementation> inner)
    : m_implementation(std::move(inner))
{
}

tagged_host::~tagged_host() = default;

void tagged_host::run() { m_implementation->run(); }

void tagged_host::stop() { m_implementation->stop(); }

tagged_host_addresses tagged_host::addresses() const { return m_implementation->addresses(); }

} // namespace shallotcove::daemon
