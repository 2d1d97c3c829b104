#include "store_standin.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "http_server.hpp"
#include "store_api.hpp"
#include <shallotcove/store/json_text.hpp>

namespace shallotcove::testbench {

namespace asio = boost::asio;

namespace {

    using connection_ptr = std::shared_ptr<http_connection>;

    constexpr std::chrono::milliseconds leaseCheckInterval { 100 };

    std::optional<store_fault> parseFault(const std::string& name)
    {
        static const std::map<std::string, store_fault> faults { { "none", store_fault::None },
            { "down", store_fault::Down }, { "slow", store_fault::Slow },
            { "loseAnswers", store_fault::LoseResponses }, { "halfAnswers", store_fault::TruncateResponses },
            { "garbage", store_fault::InvalidHttp }, { "garbageBody", store_fault::InvalidJson },
            { "noLeader", store_fault::NoLeader } };
        const auto found = faults.find(name);
        return found == faults.end() ? std::nullopt : std::optional { found->second };
    }

} // namespace

class store_standin::implementation {
public:
    explicit implementation(asio::io_context& context)
        : m_context(context)
        , m_leaseTimer(context)
    {
    }

    std::optional<std::string> start(const store_standin_options& options)
    {
        tl::expected<std::unique_ptr<http_server>, std::string> server = http_server::create(m_context,
            options.address, [this](const http_request& request, const connection_ptr& connection) {
                serve(request, connection);
            });
        if (!server)
            return server.error();
        m_server = std::move(*server);
        server = http_server::create(m_context, options.controlAddress,
            [this](const http_request& request, const connection_ptr& connection) {
                serveControl(request, connection);
            });
        if (!server)
            return server.error();
        m_control = std::move(*server);
        checkLeases();
        return std::nullopt;
    }

    void setFault(store_fault fault, std::chrono::milliseconds delay)
    {
        m_fault = fault;
        m_delay = delay;
        if (fault == store_fault::Down)
            m_server->suspend();
        else
            m_server->resume();
    }

    void closeWatches()
    {
        for (const watch_state& watch : m_watches)
            watch.connection->close();
        m_watches.clear();
    }

    bool compact(std::int64_t revision) { return m_model.compact(revision).has_value(); }

    void advanceClock(std::chrono::milliseconds step)
    {
        m_clockOffset += step;
        m_model.expireLeases(now());
        notifyWatches();
    }

    const http_server& server() const { return *m_server; }
    const http_server& control() const { return *m_control; }
    std::uint64_t callCount() const { return m_calls; }
    std::int64_t revision() const { return m_model.revision(); }

    std::size_t watchCount()
    {
        dropClosedWatches();
        return m_watches.size();
    }

private:
    struct watch_state {
        connection_ptr connection;
        key_range range;
        std::int64_t nextRevision {};
    };

    store_model::time now() const
    {
        return std::chrono::steady_clock::now().time_since_epoch() + m_clockOffset;
    }

    void serve(const http_request& request, const connection_ptr& connection)
    {
        ++m_calls;
        ++m_callsByTarget[request.target];
        if (m_fault == store_fault::Slow) {
            scheduleAfter(m_delay, [this, request, connection] { respond(request, connection); });
            return;
        }
        respond(request, connection);
    }

    template <typename Work> void scheduleAfter(std::chrono::milliseconds delay, Work work)
    {
        const std::shared_ptr<asio::steady_timer> timer
            = std::make_shared<asio::steady_timer>(m_context, delay);
        timer->async_wait([timer, work = std::move(work),
                              lifetimeToken = std::weak_ptr<int>(m_lifetimeToken)](const auto& error) {
            if (!error && !lifetimeToken.expired())
                work();
        });
    }

    void respond(const http_request& request, const connection_ptr& connection)
    {
        if (m_fault == store_fault::NoLeader) {
            connection->respond(
                503, R"({"error":"etcdserver: no leader","code":14,"message":"etcdserver: no leader"})");
            return;
        }
        if (request.target == "/v3/watch" && m_fault != store_fault::InvalidHttp
            && m_fault != store_fault::InvalidJson) {
            openWatch(request, connection);
            return;
        }
        send(handleStoreCall(m_model, request.target, request.body, now()), connection);
        notifyWatches();
    }

    void send(const api_response& result, const connection_ptr& connection)
    {
        const std::string text = formatHttpResponse(result.status, result.body);
        switch (m_fault) {
        case store_fault::LoseResponses:
            connection->close();
            return;
        case store_fault::TruncateResponses:
            connection->respondRaw(text.substr(0, text.size() - result.body.size() / 2 - 1));
            return;
        case store_fault::InvalidHttp:
            connection->respondRaw("\x16\x03\x01 this is not HTTP\r\n\r\n");
            return;
        case store_fault::InvalidJson:
            connection->respond(200, "<html>this is not JSON</html>\n");
            return;
        default:
            connection->respondRaw(text);
        }
    }

    void openWatch(const http_request& request, const connection_ptr& connection)
    {
        const std::optional<watch_request> watchRequest = parseWatchRequest(request.body, m_model);
        if (!watchRequest) {
            connection->respond(400, R"({"error":"malformed watch","code":3})");
            return;
        }
        connection->startStream();
        connection->writeLine(formatWatchCreated(m_model));
        m_watches.push_back({ connection, watchRequest->range, watchRequest->startRevision });
        notifyWatches();
    }

    void dropClosedWatches()
    {
        std::erase_if(m_watches, [](const watch_state& watch) { return !watch.connection->isOpen(); });
    }

    void notifyWatches()
    {
        dropClosedWatches();
        for (watch_state& watch : m_watches) {
            const tl::expected<std::vector<stored_event>, store_model::error> events
                = m_model.eventsSince(watch.nextRevision, watch.range);
            if (!events) {
                watch.connection->writeLine(formatWatchCompacted(m_model));
                // Ends this watch only; its events have been discarded.
                watch.nextRevision = m_model.revision() + 1;
                continue;
            }
            if (!events->empty())
                watch.connection->writeLine(formatWatchEvents(m_model, *events));
            watch.nextRevision = std::max(watch.nextRevision, m_model.revision() + 1);
        }
    }

    void checkLeases()
    {
        m_leaseTimer.expires_after(leaseCheckInterval);
        m_leaseTimer.async_wait([this](const boost::system::error_code& error) {
            if (error)
                return;
            m_model.expireLeases(now());
            notifyWatches();
            checkLeases();
        });
    }

    void serveControl(const http_request& request, const connection_ptr& connection)
    {
        if (request.target == "/stats") {
            connection->respond(200, store::formatJson(stats()));
            return;
        }
        const std::optional<Json::Value> body = store::parseJson(request.body);
        const std::optional<std::string> problem = body && body->isObject()
            ? runCommand(request.target, *body)
            : std::optional<std::string> { "the body is not a JSON object" };
        Json::Value result;
        result[problem ? "error" : "result"] = problem.value_or("done");
        connection->respond(problem ? 400 : 200, store::formatJson(result));
    }

    /// Returns an error message on failure.
    std::optional<std::string> runCommand(const std::string& target, const Json::Value& body)
    {
        if (target == "/cut-watches") {
            closeWatches();
            return std::nullopt;
        }
        if (target == "/clock") {
            const std::optional<std::int64_t> step = store::readNumber(body, "advanceMs");
            if (!step || *step < 0)
                return "advanceMs has to be a number of milliseconds";
            advanceClock(std::chrono::milliseconds { *step });
            return std::nullopt;
        }
        if (target != "/fault")
            return "no such command; there are /fault, /clock, /cut-watches and /stats";
        const std::optional<store_fault> fault = parseFault(body["mode"].asString());
        const std::optional<std::int64_t> delay = store::readNumber(body, "delayMs");
        if (!fault || !delay || *delay < 0)
            return "mode is unknown or delayMs is not a number of milliseconds";
        setFault(*fault, std::chrono::milliseconds { *delay });
        return std::nullopt;
    }

    Json::Value stats()
    {
        Json::Value result;
        result["calls"] = Json::UInt64 { m_calls };
        result["revision"] = Json::Int64 { m_model.revision() };
        result["watches"] = Json::UInt64 { watchCount() };
        for (const auto& [target, count] : m_callsByTarget)
            result["callsByTarget"][target] = Json::UInt64 { count };
        return result;
    }

    asio::io_context& m_context;
    asio::steady_timer m_leaseTimer;
    /// Lets delayed work detect that this object has been destroyed.
    std::shared_ptr<int> m_lifetimeToken { std::make_shared<int>() };
    store_model m_model;
    store_fault m_fault { store_fault::None };
    std::chrono::milliseconds m_delay {};
    std::chrono::nanoseconds m_clockOffset {};
    std::uint64_t m_calls {};
    std::map<std::string, std::uint64_t> m_callsByTarget;
    std::vector<watch_state> m_watches;
    std::unique_ptr<http_server> m_server;
    std::unique_ptr<http_server> m_control;
};

store_standin::store_standin(std::unique_ptr<implementation> state)
    : m_implementation(std::move(state))
{
}

store_standin::~store_standin() = default;

tl::expected<std::unique_ptr<store_standin>, std::string> store_standin::create(
    asio::io_context& context, const store_standin_options& options)
{
    std::unique_ptr<implementation> state = std::make_unique<implementation>(context);
    const std::optional<std::string> problem = state->start(options);
    if (problem)
        return tl::unexpected(*problem);
    return std::unique_ptr<store_standin>(new store_standin(std::move(state)));
}

core::socket_address store_standin::address() const { return m_implementation->server().address(); }

core::socket_address store_standin::controlAddress() const { return m_implementation->control().address(); }

void store_standin::setFault(store_fault fault, std::chrono::milliseconds delay)
{
    m_implementation->setFault(fault, delay);
}

void store_standin::closeWatches() { m_implementation->closeWatches(); }

bool store_standin::compact(std::int64_t revision) { return m_implementation->compact(revision); }

void store_standin::advanceClock(std::chrono::milliseconds step) { m_implementation->advanceClock(step); }

std::uint64_t store_standin::callCount() const { return m_implementation->callCount(); }

std::size_t store_standin::watchCount() const { return m_implementation->watchCount(); }

std::int64_t store_standin::revision() const { return m_implementation->revision(); }

} // namespace shallotcove::testbench
