#include <shallotcove/daemon/host.hpp>

#include <atomic>
#include <random>
#include <thread>

#include <shallotcove/daemon/channels.hpp>
#include <shallotcove/daemon/clock.hpp>
#include <shallotcove/daemon/metrics.hpp>
#include <shallotcove/daemon/packet_worker.hpp>
#include <shallotcove/daemon/peer_worker.hpp>
#include <shallotcove/daemon/platform_worker.hpp>
#include <shallotcove/rpc/operator_server.hpp>
#include <shallotcove/wire/peer_key.hpp>

#include "operator_service.hpp"
#include "shutdown_timer.hpp"

namespace shallotcove::daemon {

namespace {

    // Holds bursts of several 64-packet batches that arrive while the packet thread is not scheduled.
    constexpr int packetSocketBytes = 4 << 20;

    core::packet_engine_options engineOptions(const flow_settings& flows)
    {
        core::packet_engine_options options;
        options.localFlows = flows.localFlows;
        options.trackedFlows = flows.trackedFlows;
        options.idleTimeout = flows.idleTimeout;
        return options;
    }

    core::member selfMember(
        const settings& settings, const core::socket_address& packets, const core::socket_address& peers)
    {
        core::member self;
        self.id = core::hostIdFor(peers);
        self.peerAddress = peers;
        self.packetAddress = packets;
        self.dataCentre = settings.dataCentre;
        // The wall-clock time in milliseconds, so that it is greater than at any earlier start unless the
        // clock is set back.
        self.incarnation = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
                                                          .count());
        return self;
    }

    core::control_engine_options controlOptions(
        const settings& settings, const core::member& self, const wire::peer_key& key)
    {
        core::control_engine_options options;
        options.self = self;
        options.seeds = settings.seeds;
        options.flowHashSeed = key.flowHashSeed();
        std::random_device random;
        options.randomSeed = (static_cast<std::uint64_t>(random()) << 32) | random();
        return options;
    }

    platform_worker_options platformOptions(const settings& settings)
    {
        platform_worker_options options;
        options.store = settings.store;
        options.hostList = settings.hostList;
        options.hostName = settings.name;
        return options;
    }

    peer_worker_options peerOptions(platform_worker& platform)
    {
        peer_worker_options options;
        options.wakePlatform = [&platform] { platform.wake(); };
        return options;
    }

    operator_store_options storeOptions(const settings& settings, platform_worker& platform)
    {
        operator_store_options options;
        // Longer than the timeout of a store request, so that the store client reports the outcome before the
        // operator call times out.
        options.storeTimeout = 2 * settings.store.requestTimeout + std::chrono::seconds { 1 };
        options.wakePlatform = [&platform] { platform.wake(); };
        return options;
    }

    rpc::operator_server_options serverOptions(const settings& settings)
    {
        rpc::operator_server_options options;
        options.host = settings.operatorAddress.address.toString();
        options.port = settings.operatorAddress.port;
        options.token = settings.operatorToken;
        return options;
    }

    shutdown_timer_options shutdownOptions(const settings& settings, const host_options& options)
    {
        return { options.quietPeriod, settings.shutdownTimeout };
    }

    /// Parts that are created before the threads start, so that a failure can be reported with the settings
    /// field that caused it.
    struct host_parts {
        wire::peer_key key;
        udp_socket packetSocket;
        udp_socket peerSocket;
        std::unique_ptr<daemon::metrics> metrics;
        core::member self;
        core::packet_engine packetEngine;
        core::control_engine controlEngine;
    };

    tl::unexpected<start_failure> startFailed(
        const char* field, const std::string& value, const std::string& cause)
    {
        return tl::unexpected(start_failure { field, value, cause });
    }

    tl::expected<host_parts, start_failure> createParts(const settings& settings)
    {
        const tl::expected<wire::peer_key, wire::peer_key_error> key
            = wire::peer_key::parse(settings.peerKey);
        if (!key)
            return startFailed("peerKey", "", "must be 64 hexadecimal digits");
        tl::expected<udp_socket, std::string> packets
            = udp_socket::bind(settings.packetAddress, { packetSocketBytes });
        if (!packets)
            return startFailed("packetAddress", settings.packetAddress.toString(), packets.error());
        tl::expected<udp_socket, std::string> peers = udp_socket::bind(settings.peerAddress);
        if (!peers)
            return startFailed("peerAddress", settings.peerAddress.toString(), peers.error());
        tl::expected<std::unique_ptr<metrics>, std::string> metrics
            = metrics::create(settings.metricsAddress);
        if (!metrics)
            return startFailed("metricsAddress", settings.metricsAddress.toString(), metrics.error());
        tl::expected<core::packet_engine, core::packet_engine_error> packetEngine
            = core::packet_engine::create(engineOptions(settings.flows));
        if (!packetEngine)
            return startFailed("flows", "", "the flow tables cannot have this size or idle timeout");
        const core::member self = selfMember(settings, packets->address(), peers->address());
        tl::expected<core::control_engine, core::control_engine_error> controlEngine
            = core::control_engine::create(controlOptions(settings, self, *key));
        if (!controlEngine)
            return startFailed(
                "peerAddress", settings.peerAddress.toString(), "not usable by the control engine");
        return host_parts { *key, std::move(*packets), std::move(*peers), std::move(*metrics), self,
            std::move(*packetEngine), std::move(*controlEngine) };
    }

} // namespace

class host::implementation {
public:
    implementation(const settings& settings, event_log& log, host_parts parts, const host_options& options)
        : m_log(log)
        , m_metrics(std::move(parts.metrics))
        , m_addresses { parts.packetSocket.address(), parts.peerSocket.address(), settings.operatorAddress,
            m_metrics->address() }
        , m_shutdown(shutdownOptions(settings, options))
        , m_shutdownTimeout(settings.shutdownTimeout)
        , m_platform(platformOptions(settings), m_channels, log)
        , m_packets(std::move(parts.packetSocket), std::move(parts.packetEngine), parts.key,
              m_channels.toPackets, m_channels.fromPackets, m_channels.packets)
        , m_peers(std::move(parts.peerSocket), std::move(parts.controlEngine), parts.self, parts.key,
              m_channels, log, *m_metrics, peerOptions(m_platform))
        , m_operators(m_channels, log, *m_metrics, { settings.name, settings.dataCentre, true },
              storeOptions(settings, m_platform))
    {
    }

    /// Starts the threads. The operator server starts last, because operator calls need the other threads.
    tl::expected<void, start_failure> start(const settings& settings)
    {
        m_threads.emplace_back([this] { m_platform.run(); });
        m_threads.emplace_back([this] { runUntilStopped(m_peers); });
        m_threads.emplace_back([this] { runUntilStopped(m_packets); });
        tl::expected<std::unique_ptr<rpc::operator_server>, std::string> server
            = rpc::operator_server::start(serverOptions(settings), m_operators);
        if (!server)
            return startFailed("operatorAddress", settings.operatorAddress.toString(), server.error());
        m_server = std::move(*server);
        m_addresses.operators.port = m_server->port();
        m_log.write<event::HostStarted>(settings.dataCentre, m_addresses.packets.toString(),
            m_addresses.peers.toString(), m_addresses.operators.toString(), m_addresses.metrics.toString());
        return {};
    }

    ~implementation()
    {
        // Waits for the call in progress, which needs the other threads.
        m_server.reset();
        m_isStopping.store(true, std::memory_order_release);
        m_platform.stop();
        for (std::thread& thread : m_threads)
            thread.join();
    }

    host_addresses addresses() const { return m_addresses; }

    void beginShutdown(const std::string& cause)
    {
        if (!m_shutdown.start(monotonicNow()))
            return;
        m_log.write<event::ShutdownStarted>(cause, m_shutdownTimeout.count());
        m_channels.isLeaving.store(true, std::memory_order_release);
    }

    shutdown_state shutdownState() const
    {
        const core::timestamp lastPacket { core::duration {
            m_channels.packets.lastFabricPacket.load(std::memory_order_relaxed) } };
        return m_shutdown.state(lastPacket, monotonicNow());
    }

    void reportShutdown(shutdown_state state) const
    {
        const core::duration elapsed = m_shutdown.elapsed(monotonicNow());
        m_log.write<event::ShutdownFinished>(state == shutdown_state::Quiet ? "quiet" : "timeout",
            std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count());
    }

private:
    template <typename Worker> void runUntilStopped(Worker& worker)
    {
        while (!m_isStopping.load(std::memory_order_acquire))
            worker.runOnce();
    }

    event_log& m_log;
    std::unique_ptr<metrics> m_metrics;
    host_addresses m_addresses;
    shutdown_timer m_shutdown;
    std::chrono::seconds m_shutdownTimeout;
    channels m_channels;
    platform_worker m_platform;
    packet_worker m_packets;
    peer_worker m_peers;
    operator_service m_operators;
    std::unique_ptr<rpc::operator_server> m_server;
    std::atomic<bool> m_isStopping { false };
    std::vector<std::thread> m_threads;
};

tl::expected<std::unique_ptr<host>, start_failure> host::create(
    const settings& settings, event_log& log, const host_options& options)
{
    tl::expected<host_parts, start_failure> parts = createParts(settings);
    if (!parts)
        return tl::unexpected(parts.error());
    std::unique_ptr<implementation> created
        = std::make_unique<implementation>(settings, log, std::move(*parts), options);
    if (const tl::expected<void, start_failure> started = created->start(settings); !started)
        return tl::unexpected(started.error());
    return std::unique_ptr<host>(new host(std::move(created)));
}

host::host(std::unique_ptr<implementation> inner)
    : m_implementation(std::move(inner))
{
}

host::~host() = default;

host_addresses host::addresses() const { return m_implementation->addresses(); }

void host::beginShutdown(const std::string& cause) { m_implementation->beginShutdown(cause); }

shutdown_state host::shutdownState() const { return m_implementation->shutdownState(); }

void host::reportShutdown(shutdown_state state) const { m_implementation->reportShutdown(state); }

} // namespace shallotcove::daemon
