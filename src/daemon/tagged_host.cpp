#include <shallotcove/daemon/tagged_host.hpp>

#include <csignal>
#include <deque>
#include <optional>
#include <random>
#include <sys/stat.h>
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
#include "store_follower.hpp"
#include "tagged_log_worker.hpp"
#include "tagged_packet_worker.hpp"
#include "wake_signal.hpp"

namespace shallotcove::daemon {

namespace asio = boost::asio;

namespace {

    constexpr std::chrono::milliseconds controlTick { 100 };
    /// Wait of the log thread while there is nothing to write.
    constexpr std::chrono::milliseconds logIdleWait { 50 };
    /// How often the settings file is looked at; it may change without a signal.
    constexpr std::chrono::seconds settingsInterval { 2 };
    /// Routers ask twice a second and take a host out after two refusals.
    constexpr std::chrono::milliseconds leastShutdown { 1200 };
    /// Without a packet for this long, the routers have taken the host out.
    constexpr std::chrono::milliseconds quietBeforeEnd { 300 };
    /// What other hosts know of the store is not known here for so long: the watch of this host is dead.
    /// Longer than the pause between two watches.
    constexpr std::chrono::milliseconds longestLag { 1400 };
    /// After that a host watches the store itself for so long.
    constexpr std::chrono::milliseconds ownWatch { 3000 };

    std::int64_t milliseconds(core::duration time)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    }

    std::uint64_t randomNumber()
    {
        std::random_device random;
        return (static_cast<std::uint64_t>(random()) << 32) | random();
    }

    tagged_packet_options packetOptions(const tagged_settings& settings)
    {
        tagged_packet_options options;
        options.steering.dataCentre = settings.dataCentre;
        options.steering.regions = settings.regions;
        options.steering.randomSeed = randomNumber();
        options.steering.ledgerFlows = settings.limits.flows;
        options.hosts.self = { settings.peerAddress.address.toV4(), settings.dataCentre };
        for (const core::socket_address& seed : settings.seeds) {
            if (seed.address.isV4())
                options.hosts.seeds.push_back(seed.address.toV4());
        }
        return options;
    }

    store_follower_options followerOptions(const tagged_settings& settings)
    {
        store_follower_options options;
        options.address = settings.storeAddress;
        options.randomSeed = randomNumber();
        return options;
    }

    /// What happened to a server, as a word for the log.
    const char* changeOf(const steering::view_update& update)
    {
        if (const auto* const entry = std::get_if<steering::server_entry>(&update.change.content))
            return entry->state == steering::server_state::Ready ? "ready" : "draining";
        if (std::holds_alternative<steering::unreadable_item>(update.change.content))
            return "unreadable";
        return update.isDoubtful ? "missing" : "gone";
    }

} // namespace

class tagged_host::implementation {
public:
    implementation(
        const tagged_settings& settings, std::string settingsFile, event_log& log, wake_signal wake)
        : m_settings(settings)
        , m_settingsFile(std::move(settingsFile))
        , m_log(log)
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
        m_readiness = std::move(*responder);
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
        m_addresses.readiness = m_readiness->address();
        m_addresses.metrics = m_metricsServer->address();
        m_packets = std::make_unique<tagged_packet_worker>(
            std::move(*callers), std::move(*peers), m_wake, m_channels, packetOptions(m_settings));
        return std::nullopt;
    }

    void run()
    {
        m_follower.start();
        m_settingsStamp = settingsStamp();
        std::thread packets([this] {
            while (!m_channels.shouldEnd.load(std::memory_order_relaxed))
                m_packets->runOnce();
        });
        std::thread logs([this] { writeLogs(); });
        post([settings = m_settings, used = m_addresses](event_log& log) {
            log.write<event::TaggedHostStarted>(settings.dataCentre, used.packets.toString(),
                used.readiness.toString(), used.peers.toString(), used.metrics.toString(),
                settings.storeAddress.toString());
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
            = [this](const std::vector<steering::view_update>& updates) { takeUpdates(updates); };
        events.onFailed = [this](const char* call, const char* cause, bool isFirst) {
            if (!isFirst)
                return;
            const std::int64_t age = milliseconds(monotonicNow() - m_follower.answeredAt());
            post([=, revision = m_view.revision()](
                     event_log& log) { log.write<event::StoreCallFailed>(call, cause, revision, age); });
        };
        events.onAnswered = [this](const char* call, core::duration outage, std::uint64_t failedCalls) {
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
        events.onFetched = [this](const core::socket_address& relay, bool isAnswered) {
            post([relay, isAnswered, revision = m_view.revision()](event_log& log) {
                log.write<event::ChangesFetched>(
                    relay.toString(), isAnswered ? "answered" : "failed", revision);
            });
        };
        return events;
    }

    void takeUpdates(const std::vector<steering::view_update>& updates)
    {
        for (const steering::view_update& update : updates) {
            logUpdate(update);
            m_pending.push_back(update);
        }
        m_pending.push_back(view_state { m_view.isComplete(), m_view.revision() });
        passPending();
    }

    void passPending()
    {
        if (m_pending.empty())
            return;
        while (!m_pending.empty() && m_channels.knowledge.tryPush(std::move(m_pending.front())))
            m_pending.pop_front();
        m_wake.raise();
    }

    void logUpdate(const steering::view_update& update)
    {
        const steering::store_change& change = update.change;
        if (const auto* const item = std::get_if<steering::unreadable_item>(&change.content))
            post([key = change.key.toString(), cause = item->cause, revision = change.revision](
                     event_log& log) { log.write<event::StoreItemUnreadable>(key, cause, revision); });
        if (const auto* const config = std::get_if<steering::routing_config>(&change.content))
            post([version = config->version, revision = change.revision, routes = config->routes.size(),
                     services = config->services.size()](event_log& log) {
                log.write<event::ConfigInForce>(version, revision, routes, services);
            });
        if (change.key.kind == steering::item_kind::DataCentreOut)
            post([name = change.key.name, revision = change.revision,
                     isOut = std::holds_alternative<steering::data_centre_out>(change.content)](
                     event_log& log) {
                log.write<event::DataCentreOutChanged>(name, isOut ? "true" : "false", revision);
            });
        if (change.key.kind == steering::item_kind::Server)
            logServer(update);
    }

    void logServer(const steering::view_update& update)
    {
        const auto* const known = std::get_if<steering::server_entry>(&update.change.content);
        const steering::server_entry entry = known == nullptr ? steering::server_entry {} : *known;
        post([entry, change = changeOf(update), id = update.change.key.name,
                 revision = update.change.revision](event_log& log) {
            log.write<event::ServerChanged>(id, change, entry.service, entry.address.toString(),
                entry.dataCentre, revision, entry.coldFor.count(), entry.startedAtMs);
        });
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

    http_reply changesReply(std::string_view target) const
    {
        const std::optional<std::string> body
            = m_view.isComplete() ? answerChanges(m_view, target) : std::nullopt;
        if (!body)
            return { 404, "text/plain", "no such page, or nothing known yet\n" };
        return { 200, "application/msgpack", *body };
    }

    http_reply metricsReply()
    {
        refreshMetrics();
        return { 200, "text/plain; version=0.0.4", m_metrics->text() };
    }

    void refreshMetrics()
    {
        const tagged_counters& counters = m_channels.counters;
        const auto total
            = [](const relaxed_counter& counter) { return static_cast<double>(counter.value()); };
        m_metrics->raiseTo(metric::PacketsReceived, { "caller" }, total(counters.fromCallers));
        m_metrics->raiseTo(metric::PacketsReceived, { "neighbour" }, total(counters.fromNeighbours));
        m_metrics->raiseTo(metric::PacketsForwarded, {}, total(counters.forwarded));
        for (std::size_t index = 0; index < counters.refused.size(); ++index) {
            const char* const reason = textOf(static_cast<steering::packet_reason>(index));
            if (counters.refused[index].value() > 0)
                m_metrics->raiseTo(metric::PacketsRefused, { reason }, total(counters.refused[index]));
            if (counters.dropped[index].value() > 0)
                m_metrics->raiseTo(metric::PacketsDropped, { reason }, total(counters.dropped[index]));
        }
        double malformed = 0;
        for (const relaxed_counter& counter : counters.malformed)
            malformed += total(counter);
        m_metrics->raiseTo(metric::PacketsDropped, { "malformed" }, malformed);
        m_metrics->raiseTo(
            metric::PacketsDropped, { "malformedNeighbour" }, total(counters.malformedNeighbours));
        m_metrics->raiseTo(metric::PacketsDropped, { "sendFailed" }, total(counters.sendFailed));
        m_metrics->set(metric::LocalFlows, {}, static_cast<double>(counters.flows.load()));
        m_metrics->set(metric::KnownHosts, {}, static_cast<double>(counters.hosts.load()));
        m_metrics->raiseTo(metric::StoreCalls, {}, static_cast<double>(m_follower.callCount()));
        m_metrics->set(metric::ConfigIndex, {}, static_cast<double>(m_view.revision()));
        m_metrics->raiseTo(metric::RingDropped, { "notes" }, static_cast<double>(m_channels.notes.dropped()));
        m_metrics->raiseTo(
            metric::RingDropped, { "logTasks" }, static_cast<double>(m_channels.logTasks.dropped()));
        const steering::readiness_state current = m_channels.readiness.load();
        for (const steering::readiness_state state :
            { steering::readiness_state::Starting, steering::readiness_state::Ready,
                steering::readiness_state::Isolated, steering::readiness_state::Stopping })
            m_metrics->set(metric::Readiness, { textOf(state) }, state == current ? 1 : 0);
    }

    void tick()
    {
        const core::timestamp now = monotonicNow();
        passPending();
        followDuty();
        checkLag(now);
        if (now >= m_nextSettingsCheck) {
            m_nextSettingsCheck = now + settingsInterval;
            const std::int64_t stamp = settingsStamp();
            if (std::exchange(m_settingsStamp, stamp) != stamp)
                reload("fileChanged");
        }
        const std::uint64_t hosts = m_channels.counters.hosts.load(std::memory_order_relaxed);
        if (std::exchange(m_hostsLogged, hosts) != hosts)
            post([hosts](event_log& log) { log.write<event::KnownHostsChanged>(hosts); });
        if (m_shutdownBegan && mayEnd(now))
            return;
        m_timer.expires_after(controlTick);
        m_timer.async_wait([this](const boost::system::error_code& error) {
            if (!error)
                tick();
        });
    }

    /// Watches the store, or learns from the neighbour that does.
    void followDuty()
    {
        const store_follower_options options;
        const bool shouldWatch = !m_view.isComplete() || monotonicNow() < m_watchUntil
            || m_channels.shouldWatch.load(std::memory_order_acquire);
        if (std::exchange(m_isWatchingStore, shouldWatch) != shouldWatch)
            post(
                [shouldWatch, relay = m_channels.relay.load(), revision = m_view.revision()](event_log& log) {
                    log.write<event::WatchDutyChanged>(shouldWatch ? "store" : "neighbour",
                        core::ip_address::fromV4(relay).toString(), revision);
                });
        if (shouldWatch)
            m_follower.watch(m_channels.isRelay.load() ? options.relayWait : options.watchWait);
        else
            m_follower.rest();
        m_channels.isWatching.store(shouldWatch, std::memory_order_relaxed);
        m_channels.answeredAt.store(m_follower.answeredAt().sinceStart.count(), std::memory_order_relaxed);
        if (!shouldWatch && m_channels.relayRevision.load() > m_view.revision())
            m_follower.fetch({ core::ip_address::fromV4(m_channels.relay.load()), m_addresses.peers.port });
    }

    /// A watch that reports nothing while other hosts learn of changes is dead, although its connection
    /// stands.
    void checkLag(core::timestamp now)
    {
        const std::uint64_t others = m_channels.neighbourRevision.load(std::memory_order_relaxed);
        if (!m_view.isComplete() || m_awaitedRevision <= m_view.revision()) {
            m_awaitedRevision = others;
            m_awaitedSince = now;
        }
        if (m_awaitedRevision <= m_view.revision() || now - m_awaitedSince < longestLag)
            return;
        m_awaitedSince = now;
        // The neighbour that was relied on did not help either.
        m_watchUntil = now + ownWatch;
        m_follower.restart();
    }

    void waitForSignal()
    {
        m_signals.async_wait([this](const boost::system::error_code& error, int number) {
            if (error)
                return;
            if (number == SIGHUP)
                reload("SIGHUP");
            else
                beginShutdown();
            waitForSignal();
        });
    }

    void reload(const char* cause)
    {
        const tl::expected<std::string, settings_problems> text = readSettingsText(m_settingsFile);
        const tl::expected<tagged_settings, settings_problems> read
            = text ? parseTaggedSettings(*text) : tl::unexpected(text.error());
        if (!read) {
            const std::string problem = formatProblem(read.error().front(), m_settingsFile);
            return post(
                [cause, problem](event_log& log) { log.write<event::SettingsRefused>(cause, problem); });
        }
        const bool isChanged = !(*read == m_settings);
        const bool needsRestart = isChanged
            && (read->packetAddress != m_settings.packetAddress || read->peerAddress != m_settings.peerAddress
                || read->readinessAddress != m_settings.readinessAddress
                || read->metricsAddress != m_settings.metricsAddress
                || read->storeAddress != m_settings.storeAddress
                || read->dataCentre != m_settings.dataCentre);
        const char* const outcome = !isChanged ? "nothing" : needsRestart ? "atNextStart" : "inForce";
        if (isChanged && !needsRestart)
            m_settings.shutdownTimeout = read->shutdownTimeout;
        post([cause, outcome](event_log& log) { log.write<event::SettingsReloaded>(cause, outcome); });
    }

    std::int64_t settingsStamp() const
    {
        struct stat status { };
        if (m_settingsFile.empty() || ::stat(m_settingsFile.c_str(), &status) != 0)
            return 0;
        return status.st_mtim.tv_sec * std::int64_t { 1000000000 } + status.st_mtim.tv_nsec;
    }

    void beginShutdown()
    {
        if (m_shutdownBegan)
            return;
        m_shutdownBegan = monotonicNow();
        m_channels.isStopping.store(true);
        post([timeout = m_settings.shutdownTimeout](event_log& log) {
            log.write<event::ShutdownStarted>(
                "SIGTERM", std::chrono::duration_cast<std::chrono::seconds>(timeout).count());
        });
    }

    /// Callers have moved to other hosts, or the time is over.
    bool mayEnd(core::timestamp now)
    {
        const core::duration elapsed = now - *m_shutdownBegan;
        const core::timestamp last { core::duration { m_channels.lastCallerPacket.load() } };
        const bool isQuiet = elapsed >= leastShutdown && now - last >= quietBeforeEnd;
        if (!isQuiet && elapsed < m_settings.shutdownTimeout)
            return false;
        post([isQuiet, elapsed, flows = m_channels.counters.flows.load()](event_log& log) {
            log.write<event::TaggedShutdown>(isQuiet ? "quiet" : "timeout", milliseconds(elapsed), flows);
        });
        m_signals.cancel();
        m_context.stop();
        return true;
    }

    tagged_settings m_settings;
    std::string m_settingsFile;
    event_log& m_log;
    wake_signal m_wake;
    tagged_channels m_channels;
    std::unique_ptr<metrics> m_metrics { metrics::createUnserved() };
    asio::io_context m_context;
    asio::signal_set m_signals;
    asio::steady_timer m_timer;
    steering::store_view m_view;
    store_follower m_follower;
    std::unique_ptr<http_responder> m_readiness;
    std::unique_ptr<http_responder> m_metricsServer;
    /// Passes changes of the store on to neighbours.
    std::unique_ptr<http_responder> m_changesServer;
    std::unique_ptr<tagged_packet_worker> m_packets;
    tagged_host_addresses m_addresses;
    std::deque<knowledge_update> m_pending;
    std::int64_t m_settingsStamp {};
    core::timestamp m_nextSettingsCheck;
    std::uint64_t m_hostsLogged {};
    bool m_isWatchingStore { true };
    core::timestamp m_watchUntil;
    /// A revision that another host told of, and since when it is not known here.
    std::uint64_t m_awaitedRevision {};
    core::timestamp m_awaitedSince;
    std::optional<core::timestamp> m_shutdownBegan;
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
