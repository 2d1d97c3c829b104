#include <utility>

#include <shallotcove/store/key_value_client.hpp>

#include <algorithm>
#include <random>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "store_codec.hpp"
#include "watch_stream.hpp"
#include <shallotcove/store/http_exchange.hpp>

namespace shallotcove::store {

namespace {

    store_error toStoreError(http_error error)
    {
        switch (error) {
        case http_error::NotSent:
            return store_error::Unavailable;
        case http_error::AnswerLost:
            return store_error::AnswerLost;
        case http_error::Malformed:
        case http_error::TooLarge:
            break;
        }
        return store_error::ProtocolError;
    }

} // namespace

class key_value_client::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(boost::asio::io_context& context, const key_value_client_options& options)
        : m_context(context)
        , m_options(options)
        , m_backoffTimer(context)
        , m_random(std::random_device {}())
        , m_backoff(options.initialBackoff)
    {
    }

    template <typename Result>
    void request(const char* target, std::string body, handler<Result> onResult,
        tl::expected<Result, store_error> (*parse)(const http_response&))
    {
        exchangeHttp(
            m_context, m_options.address, { boost::beast::http::verb::post, target, std::move(body) },
            http_timeouts { m_options.requestTimeout, m_options.requestTimeout },
            [self = shared_from_this()] { ++self->m_requestCount; },
            [self = shared_from_this(), onResult = std::move(onResult), parse](
                const tl::expected<http_response, http_error>& response) {
                if (self->m_isStopped)
                    return;
                if (response)
                    onResult(parse(*response));
                else
                    onResult(tl::unexpected(toStoreError(response.error())));
            });
    }

    void watch(const std::string& prefix, core::config_index firstRevision, handler<store_range> onResult)
    {
        stopWatch();
        m_prefix = prefix;
        m_nextRevision = firstRevision;
        m_watchHandler = std::move(onResult);
        m_backoff = m_options.initialBackoff;
        openWatch();
    }

    void stopWatch()
    {
        m_stream.reset();
        m_backoffTimer.cancel();
        ++m_watchGeneration;
        m_watchHandler = nullptr;
    }

    void stop()
    {
        m_isStopped = true;
        stopWatch();
    }

    std::uint64_t requestCount() const { return m_requestCount; }

private:
    void openWatch()
    {
        // This object owns the stream, so the callbacks may capture this.
        m_stream = watch_stream::open(m_context, m_options.address, "/v3/watch",
            formatWatch(m_prefix, m_nextRevision), m_options.requestTimeout,
            { [this] { ++m_requestCount; }, [this](std::string_view line) { return handleLine(line); },
                [this] { scheduleReconnect(); } });
    }

    /// Returns false if the stream ends with this line.
    bool handleLine(std::string_view line)
    {
        const tl::expected<watch_response, store_error> watchResponse = parseWatchResponse(line);
        if (!watchResponse && watchResponse.error() == store_error::Compacted) {
            const handler<store_range> onResult = std::exchange(m_watchHandler, nullptr);
            onResult(tl::unexpected(store_error::Compacted));
            return false;
        }
        if (!watchResponse) {
            scheduleReconnect();
            return false;
        }
        m_backoff = m_options.initialBackoff;
        if (watchResponse->isCreated && watchResponse->range.entries.empty())
            return true;
        m_nextRevision.value = std::max(m_nextRevision.value, watchResponse->range.revision.value + 1);
        const std::uint64_t generationBefore = m_watchGeneration;
        // The handler may stop or replace the watch and thereby m_watchHandler, so a copy is called.
        const handler<store_range> onResult = m_watchHandler;
        onResult(watchResponse->range);
        return generationBefore == m_watchGeneration;
    }

    void scheduleReconnect()
    {
        // The delay is between half the back-off and the full one, so that the hosts do not all reconnect at
        // once after an outage.
        std::uniform_int_distribution<std::int64_t> jitter(m_backoff.count() / 2, m_backoff.count());
        m_backoffTimer.expires_after(std::chrono::milliseconds { jitter(m_random) });
        m_backoff = std::min(2 * m_backoff, m_options.maximumBackoff);
        m_backoffTimer.async_wait([self = shared_from_this(), generation = m_watchGeneration](
                                      const boost::system::error_code& error) {
            if (!error && generation == self->m_watchGeneration)
                self->openWatch();
        });
    }

    boost::asio::io_context& m_context;
    key_value_client_options m_options;
    std::uint64_t m_requestCount {};
    bool m_isStopped {};
    std::unique_ptr<watch_stream> m_stream;
    boost::asio::steady_timer m_backoffTimer;
    std::minstd_rand m_random;
    std::chrono::milliseconds m_backoff;
    std::string m_prefix;
    core::config_index m_nextRevision;
    handler<store_range> m_watchHandler;
    /// Changes whenever a watch starts or stops, so that a timer of an earlier watch is ignored.
    std::uint64_t m_watchGeneration {};
};

key_value_client::key_value_client(std::shared_ptr<implementation> shared)
    : m_implementation(std::move(shared))
{
}

key_value_client::~key_value_client() { m_implementation->stop(); }

std::unique_ptr<key_value_client> key_value_client::create(
    boost::asio::io_context& context, const key_value_client_options& options)
{
    return std::unique_ptr<key_value_client>(
        new key_value_client(std::make_shared<implementation>(context, options)));
}

void key_value_client::readRange(const std::string& prefix, handler<store_range> onResult)
{
    m_implementation->request("/v3/kv/range", formatRange(prefix), std::move(onResult), &parseRange);
}

void key_value_client::compareAndSwap(
    std::vector<key_swap> swaps, std::int64_t leaseId, handler<swap_result> onResult)
{
    m_implementation->request("/v3/kv/txn", formatSwap(swaps, leaseId), std::move(onResult), &parseSwap);
}

void key_value_client::grantLease(std::chrono::seconds timeToLive, handler<std::int64_t> onResult)
{
    m_implementation->request(
        "/v3/lease/grant", formatLeaseGrant(timeToLive), std::move(onResult), &parseLeaseGrant);
}

void key_value_client::keepLeaseAlive(std::int64_t leaseId, handler<std::chrono::seconds> onResult)
{
    m_implementation->request(
        "/v3/lease/keepalive", formatLeaseId(leaseId), std::move(onResult), &parseKeepAlive);
}

void key_value_client::revokeLease(std::int64_t leaseId, handler<std::monostate> onResult)
{
    m_implementation->request(
        "/v3/lease/revoke", formatLeaseId(leaseId), std::move(onResult), &parseLeaseRevoke);
}

void key_value_client::watch(
    const std::string& prefix, core::config_index firstRevision, handler<store_range> onResult)
{
    m_implementation->watch(prefix, firstRevision, std::move(onResult));
}

void key_value_client::stopWatch() { m_implementation->stopWatch(); }

std::uint64_t key_value_client::requestCount() const { return m_implementation->requestCount(); }

} // namespace shallotcove::store
