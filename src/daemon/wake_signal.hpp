#pragma once

#include <string>

#include <tl/expected.hpp>

namespace shallotcove::daemon {

/// Wakes a thread that waits in poll().
class wake_signal {
public:
    /// Fails with the system's error message.
    static tl::expected<wake_signal, std::string> create();

    wake_signal(wake_signal&&) noexcept;
    wake_signal& operator=(wake_signal&&) noexcept;
    ~wake_signal();

    /// May be called from any thread.
    void raise() const;
    /// Called by the waiting thread when the descriptor is readable.
    void clear() const;
    int descriptor() const { return m_descriptor; }

private:
    explicit wake_signal(int descriptor)
        : m_descriptor(descriptor)
    {
    }

    int m_descriptor { -1 };
};

} // namespace shallotcove::daemon
