#include <shallotcove/daemon/udp_socket.hpp>

#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace shallotcove::daemon {

namespace {

    // Disables path MTU discovery, which is on by default. A redirect is 96 bytes longer than the packet that
    // it carries, so sending a full-sized packet would fail with EMSGSIZE instead of fragmenting the
    // datagram.
    void allowFragmentation(int descriptor, int family)
    {
        if (family == AF_INET) {
            const int value = IP_PMTUDISC_DONT;
            ::setsockopt(descriptor, IPPROTO_IP, IP_MTU_DISCOVER, &value, sizeof value);
            return;
        }
        const int value = IPV6_PMTUDISC_DONT;
        ::setsockopt(descriptor, IPPROTO_IPV6, IPV6_MTU_DISCOVER, &value, sizeof value);
    }

} // namespace

native_address toNative(const core::socket_address& address)
{
    native_address native;
    if (address.address.isV4()) {
        sockaddr_in v4 {};
        v4.sin_family = AF_INET;
        v4.sin_port = htons(address.port);
        v4.sin_addr.s_addr = htonl(address.address.toV4());
        std::memcpy(&native.storage, &v4, sizeof v4);
        native.length = sizeof v4;
        return native;
    }
    sockaddr_in6 v6 {};
    v6.sin6_family = AF_INET6;
    v6.sin6_port = htons(address.port);
    std::memcpy(&v6.sin6_addr, address.address.bytes.data(), address.address.bytes.size());
    std::memcpy(&native.storage, &v6, sizeof v6);
    native.length = sizeof v6;
    return native;
}

core::socket_address fromNative(const sockaddr_storage& storage)
{
    if (storage.ss_family == AF_INET) {
        sockaddr_in v4 {};
        std::memcpy(&v4, &storage, sizeof v4);
        return { core::ip_address::fromV4(ntohl(v4.sin_addr.s_addr)), ntohs(v4.sin_port) };
    }
    sockaddr_in6 v6 {};
    std::memcpy(&v6, &storage, sizeof v6);
    core::socket_address address;
    std::memcpy(address.address.bytes.data(), &v6.sin6_addr, address.address.bytes.size());
    address.port = ntohs(v6.sin6_port);
    return address;
}

tl::expected<udp_socket, std::string> udp_socket::bind(
    const core::socket_address& address, const udp_socket_options& options)
{
    const native_address native = toNative(address);
    const int descriptor
        = ::socket(native.storage.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, IPPROTO_UDP);
    if (descriptor < 0)
        return tl::unexpected(std::string(std::strerror(errno)));
    udp_socket socket(descriptor, address);
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &options.bufferBytes, sizeof options.bufferBytes);
    ::setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &options.bufferBytes, sizeof options.bufferBytes);
    allowFragmentation(descriptor, native.storage.ss_family);
    if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&native.storage), native.length) != 0)
        return tl::unexpected(std::string(std::strerror(errno)));
    sockaddr_storage bound {};
    socklen_t length = sizeof bound;
    if (::getsockname(descriptor, reinterpret_cast<sockaddr*>(&bound), &length) != 0)
        return tl::unexpected(std::string(std::strerror(errno)));
    socket.m_address = fromNative(bound);
    return socket;
}

udp_socket::udp_socket(int descriptor, const core::socket_address& address)
    : m_descriptor(descriptor)
    , m_address(address)
{
}

udp_socket::udp_socket(udp_socket&& other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
    , m_address(other.m_address)
{
}

udp_socket& udp_socket::operator=(udp_socket&& other) noexcept
{
    std::swap(m_descriptor, other.m_descriptor);
    std::swap(m_address, other.m_address);
    return *this;
}

udp_socket::~udp_socket()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
}

bool udp_socket::waitReadable(int timeoutMilliseconds) const
{
    pollfd entry { m_descriptor, POLLIN, 0 };
    return ::poll(&entry, 1, timeoutMilliseconds) > 0;
}

} // namespace shallotcove::daemon
