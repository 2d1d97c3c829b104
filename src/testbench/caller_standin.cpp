#include "caller_standin.hpp"

#include <algorithm>
#include <optional>
#include <set>
#include <unordered_map>

#include "caller_flow.hpp"
#include "datagram_port.hpp"
#include "endpoints.hpp"
#include "gue_packet.hpp"
#include "http_server.hpp"
#include <shallotcove/store/json_text.hpp>

namespace shallotcove::testbench {

namespace {

    using std::chrono::milliseconds;

    // A caller whose flow was refused or got no response tries again after 0.5 to 1 s.
    constexpr std::uint32_t retryMilliseconds = 500;
    // Retransmissions of requests and of the FIN end within this time.
    constexpr milliseconds finishTimeout { 8000 };
    constexpr std::uint16_t firstPort = 1024;

    /// Port and flows of one inner address.
    struct group_state {
        std::unique_ptr<datagram_port> port;
        std::uint16_t nextPort { firstPort };
        std::unordered_map<std::uint16_t, std::shared_ptr<caller_flow>> flows;
    };

    std::optional<std::set<std::uint32_t>> parseServers(const std::string& json)
    {
        const std::optional<Json::Value> list = store::parseJson(json);
        if (!list || !list->isArray())
            return std::nullopt;
        std::set<std::uint32_t> servers;
        for (const Json::Value& item : *list) {
            if (!item.isUInt())
                return std::nullopt;
            servers.insert(item.asUInt());
        }
        return servers;
    }

} // namespace

class caller_standin::implementation {
public:
    implementation(
        boost::asio::io_context& context, const caller_options& options, std::function<void()> onFinished)
        : m_options(options)
        , m_onFinished(std::move(onFinished))
        , m_fabric(toUdpEndpoint(options.fabric))
        , m_timers(context)
        , m_report(caller_report::clock::now())
        , m_random(options.seed)
        , m_flowContext { m_options, m_timers, m_report, m_random,
            [this](std::size_t group, const wire::segment& packet) {
                m_groups[group].port->send(encapsulate(packet), m_fabric);
            },
            [this](std::size_t group) { return m_groups[group].port->address().port; }, false }
    {
    }

    tl::expected<void, std::string> start(boost::asio::io_context& context)
    {
        for (const caller_group& group : m_options.groups) {
            const std::size_t number = m_groups.size();
            auto port = datagram_port::create(context, { group.source, 0 },
                [this, number](std::span<const std::byte> datagram, const datagram_port::endpoint&) {
                    receive(number, datagram);
                });
            if (!port)
                return tl::unexpected(port.error());
            m_groups.push_back({ std::move(*port), firstPort, {} });
        }
        auto control = http_server::create(context, m_options.controlAddress,
            [this](const http_request& request, const std::shared_ptr<http_connection>& connection) {
                serve(request, *connection);
            });
        if (!control)
            return tl::unexpected(control.error());
        m_control = std::move(*control);
        openConnections();
        m_timers.runAfter(m_options.duration, [this] { finish(); });
        return {};
    }

    const http_server& control() const { return *m_control; }
    const caller_report& report() const { return m_report; }

    void finish()
    {
        if (m_flowContext.isFinishing)
            return;
        m_flowContext.isFinishing = true;
        awaitFlowEnds(caller_report::clock::now() + finishTimeout);
    }

private:
    void openConnections()
    {
        std::uint32_t total = 0;
        for (const target_service& service : m_options.services)
            total += service.connections;
        std::uint32_t opened = 0;
        for (std::size_t service = 0; service < m_options.services.size(); ++service)
            for (std::uint32_t index = 0; index < m_options.services[service].connections; ++index) {
                const bool isLongLived = index % 100 < m_options.services[service].longLivedPercent;
                // Steps by a prime number, so that services and groups are mixed over the ramp-up time.
                const std::uint32_t position = opened++ * 7919U % total;
                m_timers.runAfter(m_options.rampUp * position / total, [this, service, isLongLived] {
                    openFlow(service, chooseGroup(), isLongLived, std::nullopt);
                });
            }
    }

    std::size_t chooseGroup()
    {
        std::uint32_t sum = 0;
        for (const caller_group& group : m_options.groups)
            sum += group.share;
        std::uint32_t position = m_random(std::max(sum, 1U));
        std::size_t index = 0;
        while (index + 1 < m_options.groups.size() && position >= m_options.groups[index].share)
            position -= m_options.groups[index++].share;
        return index;
    }

    void openFlow(std::size_t service, std::size_t group, bool isLongLived,
        std::optional<pending_request> initialRequest)
    {
        if (m_flowContext.isFinishing)
            return;
        group_state& state = m_groups[group];
        const std::uint16_t port = choosePort(state);
        const std::shared_ptr<caller_flow> flow = std::make_shared<caller_flow>(m_flowContext, service, group,
            core::socket_address { m_options.groups[group].source, port }, isLongLived,
            [this, service, group, isLongLived, port](std::optional<pending_request> unsentRequest) {
                closeFlow(service, group, isLongLived, port, std::move(unsentRequest));
            });
        state.flows[port] = flow;
        flow->start(std::move(initialRequest));
    }

    static std::uint16_t choosePort(group_state& state)
    {
        while (state.flows.contains(state.nextPort))
            state.nextPort = std::max<std::uint16_t>(state.nextPort + 1, firstPort);
        const std::uint16_t port = state.nextPort;
        state.nextPort = std::max<std::uint16_t>(state.nextPort + 1, firstPort);
        return port;
    }

    void closeFlow(std::size_t service, std::size_t group, bool isLongLived, std::uint16_t port,
        std::optional<pending_request> unsentRequest)
    {
        m_groups[group].flows.erase(port);
        const std::uint32_t wait
            = unsentRequest ? retryMilliseconds + m_random(retryMilliseconds) : m_random(100);
        m_timers.runAfter(milliseconds { wait },
            [this, service, group, isLongLived, unsentRequest = std::move(unsentRequest)] {
                openFlow(service, group, isLongLived, unsentRequest);
            });
    }

    void receive(std::size_t group, std::span<const std::byte> datagram)
    {
        if (datagram.size() <= wire::gueHeaderBytes)
            return;
        const std::span<const std::byte> inner = datagram.subspan(wire::gueHeaderBytes);
        const tl::expected<wire::parsed_segment, wire::packet_error> parsed = wire::parseSegment(inner);
        if (!parsed || !wire::isTransportChecksumValid(inner))
            return;
        group_state& state = m_groups[group];
        const auto found = state.flows.find(parsed->segment.destination.port);
        if (found == state.flows.end())
            return;
        // The flow may end and be erased from the map while it processes the packet.
        const std::shared_ptr<caller_flow> flow = found->second;
        flow->receive(parsed->segment);
    }

    void serve(const http_request& request, http_connection& connection)
    {
        if (request.target == "/report") {
            connection.respond(200, store::formatJson(m_report.toJson()));
            return;
        }
        if (request.target == "/finish") {
            finish();
            connection.respond(200, "{}");
            return;
        }
        const std::optional<std::set<std::uint32_t>> servers
            = request.target == "/excuse" ? parseServers(request.body) : std::nullopt;
        if (servers)
            m_report.setExcludedServers(*servers);
        connection.respond(servers ? 200 : 400,
            servers ? "{}" : R"({"error":"POST /excuse takes a JSON array of server numbers"})");
    }

    void awaitFlowEnds(caller_report::clock::time_point deadline)
    {
        const bool areFlowsClosed = std::all_of(
            m_groups.begin(), m_groups.end(), [](const group_state& state) { return state.flows.empty(); });
        if (areFlowsClosed || caller_report::clock::now() > deadline)
            m_onFinished();
        else
            m_timers.runAfter(milliseconds { 50 }, [this, deadline] { awaitFlowEnds(deadline); });
    }

    caller_options m_options;
    std::function<void()> m_onFinished;
    datagram_port::endpoint m_fabric;
    timer_queue m_timers;
    caller_report m_report;
    pcg32 m_random;
    caller_context m_flowContext;
    std::vector<group_state> m_groups;
    std::unique_ptr<http_server> m_control;
};

caller_standin::caller_standin(std::unique_ptr<implementation> state)
    : m_implementation(std::move(state))
{
}

caller_standin::~caller_standin() = default;

tl::expected<std::unique_ptr<caller_standin>, std::string> caller_standin::create(
    boost::asio::io_context& context, const caller_options& options, std::function<void()> onFinished)
{
    std::unique_ptr<implementation> state
        = std::make_unique<implementation>(context, options, std::move(onFinished));
    const tl::expected<void, std::string> started = state->start(context);
    if (!started)
        return tl::unexpected(started.error());
    return std::unique_ptr<caller_standin>(new caller_standin(std::move(state)));
}

core::socket_address caller_standin::controlAddress() const { return m_implementation->control().address(); }

void caller_standin::finish() { m_implementation->finish(); }

const caller_report& caller_standin::report() const { return m_implementation->report(); }

} // namespace shallotcove::testbench
