#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include <shallotcove/daemon/tagged_channels.hpp>
#include <shallotcove/daemon/tagged_settings.hpp>

namespace shallotcove::daemon {

/// Reloads the settings file of a running host. An invalid file leaves the current settings in force.
class settings_reloader {
public:
    settings_reloader(std::string file, const tagged_settings&, std::function<void(log_task)> post);

    /// Whether the file has changed since the last call.
    bool checkFileChanged();
    /// Reads the file and logs the outcome with the cause, which is a static string.
    void reload(const char* cause);

    const tagged_settings& current() const { return m_current; }

private:
    /// Modification time of the file in nanoseconds; 0 if the file is missing.
    std::int64_t readModificationTime() const;

    std::string m_file;
    tagged_settings m_current;
    std::function<void(log_task)> m_postLogTask;
    std::int64_t m_modificationTime {};
};

} // namespace shallotcove::daemon
