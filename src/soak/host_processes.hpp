#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace shallotcove::soak {

/// Exit of a host process.
struct host_exit {
    std::string host;
    int status {};
    bool wasKilled {};

    friend bool operator==(const host_exit&, const host_exit&) = default;
};

/// Controls the host processes. The script run-soak starts a process for each "start" line on standard output
/// and writes its process id and exit code to files. Signals are sent only to these process ids.
class host_processes {
public:
    explicit host_processes(std::string folder);

    /// Requests a new process for the host.
    void start(const std::string& host);
    /// Returns false if the host is not running.
    bool signal(const std::string& host, int number) const;
    /// Whether the process requested last has started and not exited.
    bool isRunning(const std::string& host) const;
    /// Returns the processes that exited since the last call.
    std::vector<host_exit> takeExits();

private:
    struct process {
        std::uint64_t run {};
        bool isEnded { true };
    };

    std::string filePath(const std::string& host, const process&, const char* suffix) const;

    std::string m_folder;
    std::map<std::string, process> m_processes;
};

} // namespace shallotcove::soak
