#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include <tl/expected.hpp>

#include <shallotcove/core/control_engine.hpp>

namespace boost::asio {
class io_context;
}

namespace shallotcove::store {

enum class host_list_error : std::uint8_t { Unavailable, ProtocolError };

struct host_list_client_options {
    core::socket_address address;
    std::chrono::milliseconds requestTimeout { 2000 };
};

/// Client of the platform's list of live and leaving hosts: GET /hosts returns a JSON array of
/// {"peerAddress", "dataCentre", "state": "live" | "leaving"}.
class host_list_client {
public:
    using handler = std::function<void(tl::expected<std::vector<core::listed_host>, host_list_error>)>;

    static std::unique_ptr<host_list_client> create(
        boost::asio::io_context&, const host_list_client_options&);

    ~host_list_client();

    void read(handler);

private:
    class implementation;
    explicit host_list_client(std::shared_ptr<implementation>);
    std::shared_ptr<implementation> m_implementation;
};

} // namespace shallotcove::store
