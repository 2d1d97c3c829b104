#include "host_processes.hpp"

#include <csignal>
#include <fstream>
#include <iostream>
#include <utility>

namespace shallotcove::soak {

namespace {

    // A shell reports termination by a signal as this value plus the signal number.
    constexpr int signalStatusBase = 128;

    std::optional<int> readNumber(const std::string& name)
    {
        std::ifstream input(name);
        int number = 0;
        // A missing newline means that the script is still writing the file.
        if (!(input >> number) || input.get() != '\n')
            return std::nullopt;
        return number;
    }

} // namespace

host_processes::host_processes(std::string folder)
    : m_folder(std::move(folder))
{
}

std::string host_processes::filePath(const std::string& host, const process& state, const char* suffix) const
{
    return m_folder + "/" + host + "." + std::to_string(state.run) + suffix;
}

void host_processes::start(const std::string& host)
{
    process& state = m_processes[host];
    ++state.run;
    state.isEnded = false;
    std::cout << "start " << host << " " << state.run << std::endl;
}

bool host_processes::signal(const std::string& host, int number) const
{
    const auto state = m_processes.find(host);
    if (state == m_processes.end() || state->second.isEnded
        || readNumber(filePath(host, state->second, ".exit")))
        return false;
    const std::optional<int> id = readNumber(filePath(host, state->second, ".pid"));
    return id && *id > 0 && ::kill(*id, number) == 0;
}

bool host_processes::isRunning(const std::string& host) const
{
    const auto state = m_processes.find(host);
    return state != m_processes.end() && !state->second.isEnded
        && readNumber(filePath(host, state->second, ".pid"));
}

std::vector<host_exit> host_processes::takeExits()
{
    std::vector<host_exit> exits;
    for (auto& [host, state] : m_processes) {
        if (state.isEnded)
            continue;
        const std::optional<int> status = readNumber(filePath(host, state, ".exit"));
        if (!status)
            continue;
        state.isEnded = true;
        exits.push_back({ host, *status, *status == signalStatusBase + SIGKILL });
    }
    return exits;
}

} // namespace shallotcove::soak
