#include "backend_standin.hpp"

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>

#include <shallotcove/wire/caller_packet.hpp>

#include "datagram_port.hpp"
#include "endpoints.hpp"
#include "gue_packet.hpp"
#include "http_server.hpp"
#include "shared_backend_state.hpp"
#include <shallotcove/store/json_text.hpp>

namespace shallotcove::testbench {

namespace {

    struct hosted_server {
        std::unique_ptr<datagram_port> port;
        std::unique_ptr<backend_server> server;
    };

    std::int64_t toUnixMilliseconds(std::chrono::system_clock::time_point time)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
    }

    Json::Value formatServerStats(const hosted_server& hosted)
    {
        const backend_server_options& options = hosted.server->options();
        const backend_counters& counters = hosted.server->counters();
        Json::Value result;
        result["name"] = options.name;
        result["service"] = options.service;
        result["dataCentre"] = options.dataCentre;
        result["address"] = hosted.port->address().toString();
        result["weight"] = options.weight;
        result["bearableNewFlowsPerSecond"] = hosted.server->newFlowCapacity(backend_server::clock::now());
        result["openFlows"] = Json::UInt64 { hosted.server->openFlows() };
        result["newFlows"] = Json::UInt64 { counters.newFlows };
        result["flowsSinceMark"] = Json::UInt64 { counters.flowsSinceMark };
        result["excessFlows"] = Json::UInt64 { counters.excessFlows };
        result["repeatedFirst"] = Json::UInt64 { counters.retransmittedFirstPackets };
        result["unknownFlowPackets"] = Json::UInt64 { counters.unknownFlowPackets };
        result["movedFlowPackets"] = Json::UInt64 { counters.movedFlowPackets };
        result["wrongServicePackets"] = Json::UInt64 { counters.wrongServicePackets };
        result["malformedPackets"] = Json::UInt64 { counters.malformedPackets };
        result["requests"] = Json::UInt64 { counters.requests };
        result["packets"] = Json::UInt64 { counters.packets };
        result["peakLoadPercent"] = counters.peakLoadPercent;
        result["lastPacketUnixMs"] = Json::Int64 { toUnixMilliseconds(counters.lastPacket) };
        return result;
    }

} // namespace

class backend_standin::implementation {
public:
    explicit implementation(boost::asio::io_context& context)
        : m_context(context)
        , m_timers(context)
    {
    }

    tl::expected<void, std::string> start(const backend_standin_options& options)
    {
        for (const backend_server_options& server : options.servers) {
            const tl::expected<void, std::string> added = addServer(server, options.serverAddress);
            if (!added)
                return added;
        }
        auto control = http_server::create(m_context, options.controlAddress,
            [this](const http_request& request, const std::shared_ptr<http_connection>& connection) {
                serve(request.target, *connection);
            });
        if (!control)
            return tl::unexpected(control.error());
        m_control = std::move(*control);
        return {};
    }

    const http_server& control() const { return *m_control; }
    const std::vector<hosted_server>& servers() const { return m_servers; }
    const shared_backend_state& sharedState() const { return m_sharedState; }

private:
    tl::expected<void, std::string> addServer(
        const backend_server_options& options, const core::ip_address& address)
    {
        const std::size_t number = m_servers.size();
        auto port = datagram_port::create(m_context, { address, 0 },
            [this, number](std::span<const std::byte> datagram, const datagram_port::endpoint&) {
                receive(number, datagram);
            });
        if (!port)
            return tl::unexpected(port.error());
        datagram_port& serverPort = **port;
        m_servers.push_back({ std::move(*port),
            std::make_unique<backend_server>(options, static_cast<std::uint32_t>(number), m_sharedState,
                m_timers,
                [this, &serverPort](const wire::segment& response) { send(serverPort, response); }) });
        return {};
    }

    void receive(std::size_t number, std::span<const std::byte> datagram)
    {
        const tl::expected<wire::caller_packet, wire::packet_error> packet = wire::parseGue(datagram);
        if (packet)
            m_servers[number].server->receive(packet->inner, backend_server::clock::now());
        else
            ++m_malformed;
    }

    void send(datagram_port& port, const wire::segment& response)
    {
        const core::ip_address& caller = response.destination.address;
        const std::optional<std::uint16_t> responsePort = m_sharedState.responsePort(caller);
        if (responsePort)
            port.send(encapsulate(response), toUdpEndpoint({ caller, *responsePort }));
    }

    void serve(const std::string& target, http_connection& connection)
    {
        if (target == "/stats")
            connection.respond(200, store::formatJson(stats()));
        else if (target == "/mark") {
            for (const hosted_server& hosted : m_servers)
                hosted.server->resetFlowsSinceMark();
            connection.respond(200, "{}");
        } else if (backend_server* const cold = findServer(target, "/cold/")) {
            cold->resetWarmUp();
            connection.respond(200, "{}");
        } else if (findServer(target, "/health/") != nullptr)
            connection.respond(200, R"({"healthy":true})");
        else
            connection.respond(404, R"({"error":"there are /stats, /mark, /cold/<n> and /health/<n>"})");
    }

    backend_server* findServer(std::string_view target, std::string_view prefix) const
    {
        if (!target.starts_with(prefix))
            return nullptr;
        target.remove_prefix(prefix.size());
        std::size_t number = 0;
        const std::from_chars_result result
            = std::from_chars(target.data(), target.data() + target.size(), number);
        const bool isNumber = result.ec == std::errc {} && result.ptr == target.data() + target.size();
        return isNumber && number < m_servers.size() ? m_servers[number].server.get() : nullptr;
    }

    Json::Value stats() const
    {
        Json::Value result;
        for (const hosted_server& hosted : m_servers)
            result["servers"].append(formatServerStats(hosted));
        result["duplicateRuns"] = Json::UInt64 { m_sharedState.duplicateRuns() };
        result["malformed"] = Json::UInt64 { m_malformed };
        return result;
    }

    boost::asio::io_context& m_context;
    timer_queue m_timers;
    shared_backend_state m_sharedState;
    std::vector<hosted_server> m_servers;
    std::uint64_t m_malformed {};
    std::unique_ptr<http_server> m_control;
};

backend_standin::backend_standin(std::unique_ptr<implementation> state)
    : m_implementation(std::move(state))
{
}

backend_standin::~backend_standin() = default;

tl::expected<std::unique_ptr<backend_standin>, std::string> backend_standin::create(
    boost::asio::io_context& context, const backend_standin_options& options)
{
    std::unique_ptr<implementation> state = std::make_unique<implementation>(context);
    const tl::expected<void, std::string> started = state->start(options);
    if (!started)
        return tl::unexpected(started.error());
    return std::unique_ptr<backend_standin>(new backend_standin(std::move(state)));
}

core::socket_address backend_standin::controlAddress() const { return m_implementation->control().address(); }

std::vector<core::socket_address> backend_standin::addresses() const
{
    std::vector<core::socket_address> result;
    for (const hosted_server& hosted : m_implementation->servers())
        result.push_back(hosted.port->address());
    return result;
}

const backend_server& backend_standin::server(std::size_t number) const
{
    return *m_implementation->servers().at(number).server;
}

std::uint64_t backend_standin::duplicateRuns() const
{
    return m_implementation->sharedState().duplicateRuns();
}

} // namespace shallotcove::testbench
