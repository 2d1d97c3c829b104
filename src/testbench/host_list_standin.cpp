#include "host_list_standin.hpp"

#include "http_server.hpp"

namespace shallotcove::testbench {

class host_list_standin::implementation {
public:
    tl::expected<void, std::string> start(
        boost::asio::io_context& context, const core::socket_address& address)
    {
        tl::expected<std::unique_ptr<http_server>, std::string> server = http_server::create(context, address,
            [this](const http_request& request, const std::shared_ptr<http_connection>& connection) {
                if (request.target != "/hosts")
                    connection->respond(404, R"({"error":"there is only /hosts"})");
                else if (request.method == "GET")
                    connection->respond(200, m_hostsJson);
                else if (request.method == "PUT") {
                    m_hostsJson = request.body;
                    connection->respond(200, "{}");
                } else
                    connection->respond(405, R"({"error":"GET or PUT"})");
            });
        if (!server)
            return tl::unexpected(server.error());
        m_server = std::move(*server);
        return {};
    }

    core::socket_address address() const { return m_server->address(); }
    void setHosts(std::string json) { m_hostsJson = std::move(json); }

private:
    std::string m_hostsJson { "[]" };
    std::unique_ptr<http_server> m_server;
};

host_list_standin::host_list_standin(std::unique_ptr<implementation> state)
    : m_implementation(std::move(state))
{
}

host_list_standin::~host_list_standin() = default;

tl::expected<std::unique_ptr<host_list_standin>, std::string> host_list_standin::create(
    boost::asio::io_context& context, const core::socket_address& address)
{
    std::unique_ptr<implementation> state = std::make_unique<implementation>();
    const tl::expected<void, std::string> started = state->start(context, address);
    if (!started)
        return tl::unexpected(started.error());
    return std::unique_ptr<host_list_standin>(new host_list_standin(std::move(state)));
}

core::socket_address host_list_standin::address() const { return m_implementation->address(); }

void host_list_standin::setHosts(std::string json) { m_implementation->setHosts(std::move(json)); }

} // namespace shallotcove::testbench
