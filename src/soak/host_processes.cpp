#include "host_processes.hpp"

#include <csignal>
#include <fstream>
#include <iostream>
#include <utility>

namespace shallotcove::soak {

namespace {

    // A shell reports the end by a signal as this and the signal's number.
    constexpr int signalStatus = 128;

    std::optional<int> readNumber(const std::string& name)
    {
        std::ifstream input(name);
        int number = 0;
        // Without the line's end the script is still writing.
        if (!(input >> number) || input.get() != '\n')
            return std::nullopt;
        return number;
    }

} // namespace

host_processes::host_processes(std::string folder)
    : m_folder(std::move(folder))
{
}

std::string host_processes::file(const std::string& host, const process& known, const char* ending) const
{
    return m_folder + "/" + host + "." + std::to_string(known.run) + ending;
}

void host_processes::start(const std::string& host)
{
    process& known = m_processes[host];
    ++known.run;
    known.isEnded = false;
    std::cout << "start " << host << " " << known.run << std::endl;
}

bool host_processes::signal(const std::string& host, int number) const
{
    const auto known = m_processes.find(host);
    if (known == m_processes.end() || known->second.isEnded || readNumber(file(host, known->second, ".exit")))
        return false;
    const std::optional<int> id = readNumber(file(host, known->second, ".pid"));
    return id && *id > 0 && ::kill(*id, number) == 0;
}

bool host_processes::isRunning(const std::string& host) const
{
    const auto known = m_processes.find(host);
    return known != m_processes.end() && !known->second.isEnded
        && readNumber(file(host, known->second, ".pid"));
}

std::vector<host_exit> host_processes::takeExits()
{
    std::vector<host_exit> exits;
    for (auto& [host, known] : m_processes) {
        if (known.isEnded)
            continue;
        const std::optional<int> status = readNumber(file(host, known, ".exit"));
        if (!status)
            continue;
        known.isEnded = true;
        exits.push_back({ host, *status, *status == signalStatus + SIGKILL });
    }
    return exits;
}

} // namespace shallotcove::soak
