#include <shallotcove/rpc/operator_server.hpp>

#include <utility>

#include <sodium.h>

#include "call_dispatcher.hpp"
#include "http_server_connector.hpp"

namespace shallotcove {
namespace rpc {

    namespace {

        // The settings of a host require the same minimum.
        constexpr std::size_t minimumTokenBytes = 16;

    } // namespace

    class operator_server::implementation {
    public:
        implementation(std::unique_ptr<http_server_connector> connector, operator_handler& handler)
            : m_connector(std::move(connector))
            , m_dispatcher(*m_connector, handler)
        {
        }

        http_server_connector& connector() { return *m_connector; }

    private:
        std::unique_ptr<http_server_connector> m_connector;
        call_dispatcher m_dispatcher;
    };

    tl::expected<std::unique_ptr<operator_server>, std::string> operator_server::start(
        const operator_server_options& options, operator_handler& handler)
    {
        if (options.token.size() < minimumTokenBytes)
            return tl::unexpected<std::string>(
                "token has " + std::to_string(options.token.size()) + " characters; allowed: at least 16");
        if (sodium_init() < 0)
            return tl::unexpected<std::string>("can't initialize libsodium");
        tl::expected<std::unique_ptr<http_server_connector>, std::string> connector
            = http_server_connector::bind(options);
        if (!connector)
            return tl::unexpected<std::string>(connector.error());
        std::unique_ptr<implementation> created(new implementation(std::move(*connector), handler));
        created->connector().StartListening();
        return std::unique_ptr<operator_server>(new operator_server(std::move(created)));
    }

    operator_server::operator_server(std::unique_ptr<implementation> created)
        : m_implementation(std::move(created))
    {
    }

    operator_server::~operator_server() { stop(); }

    std::uint16_t operator_server::port() const { return m_implementation->connector().port(); }

    void operator_server::stop() { m_implementation->connector().StopListening(); }

} // namespace rpc
} // namespace shallotcove
