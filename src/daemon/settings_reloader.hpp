#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include <shallotcove/daemon/tagged_channels.hpp>
#include <shallotcove/daemon/tagged_settings.hpp>

namespace shallotcove::daemon {

/// Reads the settings file of a running host again. A file with a mistake changes nothing.
class settings_reloader {
public:
    settings_reloader(std::string file, const tagged_settings&, std::function<void(log_task)> post);

    /// Whether the file was written since the last call.
    bool takeChanged();
    /// The cause is a word for the log.
    void reload(const char* cause);

    const tagged_settings& current() const { return m_current; }

private:
    /// Time of the last change of the file in nanoseconds; 0 if it is missing.
    std::int64_t readStamp() const;

    std::string m_file;
    tagged_settings m_current;
    std::function<void(log_task)> m_post;
    std::int64_t m_stamp {};
};

} // namespace shallotcove::daemon
