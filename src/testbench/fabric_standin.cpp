#include "fabric_standin.hpp"

#include <map>
#include <optional>

#include <pcg_random.hpp>

#include <shallotcove/core/flow.hpp>
#include <shallotcove/wire/caller_packet.hpp>

#include "datagram_port.hpp"
#include "endpoints.hpp"
#include "gue_packet.hpp"
#include "http_server.hpp"
#include <shallotcove/store/json_text.hpp>

namespace shallotcove::testbench {

namespace {

    using endpoint = datagram_port::endpoint;

    std::optional<std::vector<core::socket_address>> parseAddresses(const std::string& text)
    {
        const std::optional<Json::Value> list = store::parseJson(text);
        if (!list || !list->isArray())
            return std::nullopt;
        std::vector<core::socket_address> addresses;
        for (const Json::Value& item : *list) {
            const tl::expected<core::socket_address, core::address_error> address
                = core::socket_address::parse(item.isString() ? item.asString() : "");
            if (!address)
                return std::nullopt;
            addresses.push_back(*address);
        }
        return addresses;
    }

} // namespace

class fabric_standin::implementation {
public:
    explicit implementation(const fabric_standin_options& options)
        : m_options(options)
        , m_random(options.seed)
    {
    }

    tl::expected<void, std::string> start(boost::asio::io_context& context)
    {
        auto port = datagram_port::create(context, m_options.address,
            [this](std::span<const std::byte> datagram, const endpoint& from) { receive(datagram, from); });
        if (!port)
            return tl::unexpected(port.error());
        m_port = std::move(*port);
        auto control = http_server::create(context, m_options.controlAddress,
            [this](const http_request& request, const std::shared_ptr<http_connection>& connection) {
                serve(request, *connection);
            });
        if (!control)
            return tl::unexpected(control.error());
        m_control = std::move(*control);
        return {};
    }

    void setHosts(const std::vector<core::socket_address>& hosts)
    {
        m_hosts.clear();
        for (const core::socket_address& host : hosts) {
            m_hosts.push_back(toUdpEndpoint(host));
            // Removed hosts keep their entry, because they may still send refusals.
            m_packetsByHost.try_emplace(m_hosts.back());
        }
    }

    const datagram_port& port() const { return *m_port; }
    const http_server& control() const { return *m_control; }

private:
    void receive(std::span<const std::byte> datagram, const endpoint& from)
    {
        const std::optional<inner_addresses> addresses = readInnerAddresses(datagram);
        if (!addresses) {
            ++m_malformedPackets;
            return;
        }
        if (m_packetsByHost.contains(from)) {
            const auto caller = m_callerEndpoints.find(addresses->destination);
            ++(caller == m_callerEndpoints.end() ? m_unknownCallerPackets : m_returnedPackets);
            if (caller != m_callerEndpoints.end())
                m_port->send(datagram, caller->second);
            return;
        }
        m_callerEndpoints[addresses->source] = from;
        if (m_hosts.empty()) {
            ++m_droppedWithoutHost;
            return;
        }
        const endpoint& host = m_hosts[chooseHost(datagram)];
        ++m_packetsByHost[host];
        m_port->send(datagram, host);
    }

    std::size_t chooseHost(std::span<const std::byte> datagram)
    {
        if (m_options.mode == spray_mode::Random)
            return m_random(static_cast<std::uint32_t>(m_hosts.size()));
        const tl::expected<wire::caller_packet, wire::packet_error> packet = wire::parseGue(datagram);
        return packet ? core::hashFlow(packet->summary.key, m_options.seed).low % m_hosts.size() : 0;
    }

    void serve(const http_request& request, http_connection& connection)
    {
        if (request.target == "/stats") {
            connection.respond(200, store::formatJson(stats()));
            return;
        }
        const std::optional<std::vector<core::socket_address>> hosts
            = request.target == "/hosts" ? parseAddresses(request.body) : std::nullopt;
        if (!hosts) {
            connection.respond(400, R"({"error":"PUT /hosts takes a JSON array of addresses; GET /stats"})");
            return;
        }
        setHosts(*hosts);
        connection.respond(200, "{}");
    }

    Json::Value stats() const
    {
        Json::Value result;
        for (const auto& [host, packets] : m_packetsByHost)
            result["packetsByHost"][toAddress(host).toString()] = Json::UInt64 { packets };
        result["returned"] = Json::UInt64 { m_returnedPackets };
        result["unknownCallers"] = Json::UInt64 { m_unknownCallerPackets };
        result["malformed"] = Json::UInt64 { m_malformedPackets };
        result["withoutHost"] = Json::UInt64 { m_droppedWithoutHost };
        return result;
    }

    fabric_standin_options m_options;
    pcg32 m_random;
    std::vector<endpoint> m_hosts;
    /// Packets sent to each host, including removed hosts.
    std::map<endpoint, std::uint64_t> m_packetsByHost;
    /// Outer endpoint of the caller by its inner address.
    std::map<core::ip_address, endpoint> m_callerEndpoints;
    std::uint64_t m_returnedPackets {};
    std::uint64_t m_unknownCallerPackets {};
    std::uint64_t m_malformedPackets {};
    std::uint64_t m_droppedWithoutHost {};
    std::unique_ptr<datagram_port> m_port;
    std::unique_ptr<http_server> m_control;
};

fabric_standin::fabric_standin(std::unique_ptr<implementation> state)
    : m_implementation(std::move(state))
{
}

fabric_standin::~fabric_standin() = default;

tl::expected<std::unique_ptr<fabric_standin>, std::string> fabric_standin::create(
    boost::asio::io_context& context, const fabric_standin_options& options)
{
    std::unique_ptr<implementation> state = std::make_unique<implementation>(options);
    const tl::expected<void, std::string> started = state->start(context);
    if (!started)
        return tl::unexpected(started.error());
    return std::unique_ptr<fabric_standin>(new fabric_standin(std::move(state)));
}

core::socket_address fabric_standin::address() const { return m_implementation->port().address(); }

core::socket_address fabric_standin::controlAddress() const { return m_implementation->control().address(); }

void fabric_standin::setHosts(const std::vector<core::socket_address>& hosts)
{
    m_implementation->setHosts(hosts);
}

} // namespace shallotcove::testbench
