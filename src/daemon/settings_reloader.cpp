#include "settings_reloader.hpp"

#include <sys/stat.h>
#include <utility>

#include <shallotcove/daemon/event_log.hpp>

namespace shallotcove::daemon {

settings_reloader::settings_reloader(
    std::string file, const tagged_settings& current, std::function<void(log_task)> post)
    : m_file(std::move(file))
    , m_current(current)
    , m_postLogTask(std::move(post))
    , m_modificationTime(readModificationTime())
{
}

bool settings_reloader::checkFileChanged()
{
    const std::int64_t modificationTime = readModificationTime();
    return std::exchange(m_modificationTime, modificationTime) != modificationTime;
}

void settings_reloader::reload(const char* cause)
{
    const tl::expected<std::string, settings_problems> text = readSettingsText(m_file);
    const tl::expected<tagged_settings, settings_problems> read
        = text ? parseTaggedSettings(*text) : tl::unexpected(text.error());
    if (!read) {
        const std::string problem = formatProblem(read.error().front(), m_file);
        return m_postLogTask(
            [cause, problem](event_log& log) { log.write<event::SettingsRefused>(cause, problem); });
    }
    const tagged_settings before = m_current;
    // All other settings are used only when the process starts.
    m_current.shutdownTimeout = read->shutdownTimeout;
    const char* const outcome = *read == before ? "nothing" : *read == m_current ? "inForce" : "atNextStart";
    m_postLogTask([cause, outcome](event_log& log) { log.write<event::SettingsReloaded>(cause, outcome); });
}

std::int64_t settings_reloader::readModificationTime() const
{
    struct stat status { };
    if (m_file.empty() || ::stat(m_file.c_str(), &status) != 0)
        return 0;
    return status.st_mtim.tv_sec * std::int64_t { 1000000000 } + status.st_mtim.tv_nsec;
}

} // namespace shallotcove::daemon
