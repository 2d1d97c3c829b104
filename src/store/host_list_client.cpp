#include <utility>

#include <shallotcove/store/host_list_client.hpp>

#include <optional>

#include <boost/asio/io_context.hpp>

#include <shallotcove/store/http_exchange.hpp>
#include <shallotcove/store/json_text.hpp>

namespace shallotcove::store {

namespace {

    using host_list = tl::expected<std::vector<core::listed_host>, host_list_error>;

    std::optional<core::listed_host> parseHost(const Json::Value& value)
    {
        if (!value.isObject() || !value["peerAddress"].isString() || !value["dataCentre"].isString())
            return std::nullopt;
        const Json::Value& state = value["state"];
        if (state != "live" && state != "leaving")
            return std::nullopt;
        const tl::expected<core::socket_address, core::address_error> address
            = core::socket_address::parse(value["peerAddress"].asString());
        if (!address)
            return std::nullopt;
        return core::listed_host { *address, value["dataCentre"].asString(), state == "leaving" };
    }

    host_list parseHosts(const tl::expected<http_response, http_error>& response)
    {
        if (!response && response.error() != http_error::Malformed
            && response.error() != http_error::TooLarge)
            return tl::unexpected(host_list_error::Unavailable);
        const std::optional<Json::Value> list
            = response && response->status == 200 ? parseJson(response->body) : std::nullopt;
        if (!list || !list->isArray())
            return tl::unexpected(host_list_error::ProtocolError);
        std::vector<core::listed_host> hosts;
        for (const Json::Value& value : *list) {
            const std::optional<core::listed_host> host = parseHost(value);
            // Without the malformed entry the list would look as if that host had left, so it is rejected as
            // a whole.
            if (!host)
                return tl::unexpected(host_list_error::ProtocolError);
            hosts.push_back(*host);
        }
        return hosts;
    }

} // namespace

class host_list_client::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(boost::asio::io_context& context, const host_list_client_options& options)
        : m_context(context)
        , m_options(options)
    {
    }

    void read(handler onResult)
    {
        exchangeHttp(
            m_context, m_options.address, { boost::beast::http::verb::get, "/hosts", {} },
            http_timeouts { m_options.requestTimeout, m_options.requestTimeout }, [] {},
            [self = shared_from_this(), onResult = std::move(onResult)](
                const tl::expected<http_response, http_error>& response) {
                if (!self->m_isStopped)
                    onResult(parseHosts(response));
            });
    }

    void stop() { m_isStopped = true; }

private:
    boost::asio::io_context& m_context;
    host_list_client_options m_options;
    bool m_isStopped {};
};

host_list_client::host_list_client(std::shared_ptr<implementation> shared)
    : m_implementation(std::move(shared))
{
}

host_list_client::~host_list_client() { m_implementation->stop(); }

std::unique_ptr<host_list_client> host_list_client::create(
    boost::asio::io_context& context, const host_list_client_options& options)
{
    return std::unique_ptr<host_list_client>(
        new host_list_client(std::make_shared<implementation>(context, options)));
}

void host_list_client::read(handler onResult) { m_implementation->read(std::move(onResult)); }

} // namespace shallotcove::store
