#include "wake_signal.hpp"

#include <cerrno>
#include <cstdint>
#include <cstring>
#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>

namespace shallotcove::daemon {

tl::expected<wake_signal, std::string> wake_signal::create()
{
    const int descriptor = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    if (descriptor < 0)
        return tl::unexpected(std::string(std::strerror(errno)));
    return wake_signal(descriptor);
}

wake_signal::wake_signal(wake_signal&& other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
{
}

wake_signal& wake_signal::operator=(wake_signal&& other) noexcept
{
    std::swap(m_descriptor, other.m_descriptor);
    return *this;
}

wake_signal::~wake_signal()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
}

void wake_signal::raise() const
{
    const std::uint64_t one = 1;
    // The write fails only if the counter is at its maximum. The descriptor is readable then, so the thread
    // wakes anyway.
    static_cast<void>(!::write(m_descriptor, &one, sizeof one));
}

void wake_signal::clear() const
{
    std::uint64_t count = 0;
    static_cast<void>(!::read(m_descriptor, &count, sizeof count));
}

} // namespace shallotcove::daemon
