#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace shallotcove::soak {

/// How one run of a host ended.
struct host_exit {
    std::string host;
    int status {};
    bool wasKilled {};

    friend bool operator==(const host_exit&, const host_exit&) = default;
};

/// The hosts' processes. The script run-soak starts them, when a line on standard output asks for it, and
/// leaves their ids and exit codes in files; signals go only to these ids.
class host_processes {
public:
    explicit host_processes(std::string folder);

    /// Asks for a new run of the host.
    void start(const std::string& host);
    /// False if the host does not run.
    bool signal(const std::string& host, int number) const;
    /// Whether the run asked for last has begun and not ended.
    bool isRunning(const std::string& host) const;
    /// Runs that ended since the last call.
    std::vector<host_exit> takeExits();

private:
    struct process {
        std::uint64_t run {};
        bool isEnded { true };
    };

    std::string file(const std::string& host, const process&, const char* ending) const;

    std::string m_folder;
    std::map<std::string, process> m_processes;
};

} // namespace shallotcove::soak
