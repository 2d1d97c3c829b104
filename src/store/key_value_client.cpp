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
    void request(const char* target, std::string body, handler<Result> deliver,
        tl::expected<Result, store_error> (*parse)(const http_answer&))
    {
        exchangeHttp(
            m_context, m_options.address, { boost::beast::http::verb::post, target, std::move(body) },
            http_timeouts { m_options.requestTimeout, m_options.requestTimeout },
            [self = shared_from_this()] { ++self->m_requests; },
            [self = shared_from_this(), deliver = std::move(deliver), parse](
                const tl::expected<http_answer, http_error>& answer) {
                if (self->m_isStopped)
                    return;
                if (answer)
                    deliver(parse(*answer));
                else
                    deliver(tl::unexpected(toStoreError(answer.error())));
            });
    }

    void watch(const std::string& prefix, core::config_index from, handler<store_range> deliver)
    {
        stopWatch();
        m_prefix = prefix;
        m_from = from;
        m_deliver = std::move(deliver);
        m_backoff = m_options.initialBackoff;
        openWatch();
    }

    void stopWatch()
    {
        m_stream.reset();
        m_backoffTimer.cancel();
        ++m_watchNumber;
        m_deliver = nullptr;
    }

    void stop()
    {
        m_isStopped = true;
        stopWatch();
    }

    std::uint64_t requestCount() const { return m_requests; }

private:
    void openWatch()
    {
        // The stream ends with this object, so its callbacks may refer to it.
        m_stream = watch_stream::open(m_context, m_options.address, "/v3/watch",
            formatWatch(m_prefix, m_from), m_options.requestTimeout,
            { [this] { ++m_requests; }, [this](std::string_view line) { return takeLine(line); },
                [this] { retryWatch(); } });
    }

    /// False if the line ended the stream.
    bool takeLine(std::string_view line)
    {
        const tl::expected<watch_line, store_error> parsedLine = parseWatchLine(line);
        if (!parsedLine && parsedLine.error() == store_error::Compacted) {
            const handler<store_range> deliver = std::exchange(m_deliver, nullptr);
            deliver(tl::unexpected(store_error::Compacted));
            return false;
        }
        if (!parsedLine) {
            retryWatch();
            return false;
        }
        m_backoff = m_options.initialBackoff;
        if (parsedLine->isCreated && parsedLine->range.entries.empty())
            return true;
        m_from.value = std::max(m_from.value, parsedLine->range.revision.value + 1);
        const std::uint64_t watchNumber = m_watchNumber;
        // The handler may stop or replace the watch, so it is called through a copy.
        const handler<store_range> deliver = m_deliver;
        deliver(parsedLine->range);
        return watchNumber == m_watchNumber;
    }

    void retryWatch()
    {
        // Waits between half and the whole back-off, so that hosts do not return all at once after an outage.
        std::uniform_int_distribution<std::int64_t> jitter(m_backoff.count() / 2, m_backoff.count());
        m_backoffTimer.expires_after(std::chrono::milliseconds { jitter(m_random) });
        m_backoff = std::min(2 * m_backoff, m_options.maximumBackoff);
        m_backoffTimer.async_wait(
            [self = shared_from_this(), number = m_watchNumber](const boost::system::error_code& error) {
                if (!error && number == self->m_watchNumber)
                    self->openWatch();
            });
    }

    boost::asio::io_context& m_context;
    key_value_client_options m_options;
    std::uint64_t m_requests {};
    bool m_isStopped {};
    std::unique_ptr<watch_stream> m_stream;
    boost::asio::steady_timer m_backoffTimer;
    std::minstd_rand m_random;
    std::chrono::milliseconds m_backoff;
    std::string m_prefix;
    core::config_index m_from;
    handler<store_range> m_deliver;
    /// Tells a timer of an earlier watch from the present one.
    std::uint64_t m_watchNumber {};
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

void key_value_client::readRange(const std::string& prefix, handler<store_range> deliver)
{
    m_implementation->request("/v3/kv/range", formatRange(prefix), std::move(deliver), &parseRange);
}

void key_value_client::compareAndSwap(
    std::vector<key_swap> swaps, std::int64_t leaseId, handler<swap_result> deliver)
{
    m_implementation->request("/v3/kv/txn", formatSwap(swaps, leaseId), std::move(deliver), &parseSwap);
}

void key_value_client::grantLease(std::chrono::seconds timeToLive, handler<std::int64_t> deliver)
{
    m_implementation->request(
        "/v3/lease/grant", formatLeaseGrant(timeToLive), std::move(deliver), &parseLeaseGrant);
}

void key_value_client::keepLeaseAlive(std::int64_t leaseId, handler<std::chrono::seconds> deliver)
{
    m_implementation->request(
        "/v3/lease/keepalive", formatLease(leaseId), std::move(deliver), &parseKeepAlive);
}

void key_value_client::revokeLease(std::int64_t leaseId, handler<std::monostate> deliver)
{
    m_implementation->request(
        "/v3/lease/revoke", formatLease(leaseId), std::move(deliver), &parseLeaseRevoke);
}

void key_value_client::watch(const std::string& prefix, core::config_index from, handler<store_range> deliver)
{
    m_implementation->watch(prefix, from, std::move(deliver));
}

void key_value_client::stopWatch() { m_implementation->stopWatch(); }

std::uint64_t key_value_client::requestCount() const { return m_implementation->requestCount(); }

} // namespace shallotcove::store
