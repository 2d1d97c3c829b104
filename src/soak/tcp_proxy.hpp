#pragma once

#include <utility>

#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include <tl/expected.hpp>

#include <shallotcove/core/ip_address.hpp>

namespace shallotcove::soak {

enum class proxy_mode : std::uint8_t {
    Pass,
    /// Bytes arrive late.
    Delayed,
    /// Open and new connections are reset.
    Reset,
    /// Open and new connections carry nothing any more, for good.
    Silent,
    /// Requests arrive, and answers are lost; connections stay like this for good.
    AnswersLost,
};

/// Passes the connections of one host to the store on, or harms them.
class tcp_proxy {
public:
    /// Listens on a port of the system's choice.
    static tl::expected<std::unique_ptr<tcp_proxy>, std::string> create(
        boost::asio::io_context&, const core::socket_address& target);

    ~tcp_proxy();

    core::socket_address address() const;
    void setMode(proxy_mode);

private:
    class implementation;
    explicit tcp_proxy(std::shared_ptr<implementation>);
    std::shared_ptr<implementation> m_implementation;
};

} // namespace shallotcove::soak
