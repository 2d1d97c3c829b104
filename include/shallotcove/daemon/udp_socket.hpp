#pragma once

#include <string>

#include <shallotcove/core/ip_address.hpp>
#include <shallotcove/daemon/metrics.hpp>
#include <shallotcove/daemon/native_address.hpp>
#include <shallotcove/daemon/udp_socket_options.hpp>
#include <sys/socket.h>
#include <tl/expected.hpp>

namespace shallotcove::daemon {

native_address toNative(const core::socket_address&);

core::socket_address fromNative(const sockaddr_storage&);

/// Non-blocking UDP socket bound to one address.
class udp_socket {
public:
    /// Fails with the system's error message.
    static tl::expected<udp_socket, std::string> bind(
        const core::socket_address&, const udp_socket_options& = {});

    udp_socket(udp_socket&&) noexcept;
    udp_socket& operator=(udp_socket&&) noexcept;
    ~udp_socket();

    int descriptor() const { return m_descriptor; }
    /// The bound address; a port that was given as 0 is the one that the system assigned.
    core::socket_address address() const { return m_address; }
    /// Waits until a datagram can be read; false after the timeout.
    bool waitReadable(int timeoutMilliseconds) const;

private:
    udp_socket(int descriptor, const core::socket_address&);

    int m_descriptor { -1 };
    core::socket_address m_address;
};

} // namespace shallotcove::daemon
