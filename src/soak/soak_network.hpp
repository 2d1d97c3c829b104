#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace shallotcove::soak {

/// Maps host addresses to hosts and data centres, and tracks which links are cut.
class soak_network {
public:
    void addHost(std::uint32_t address, std::string host, std::string dataCentre);

    void setDataCentreCut(const std::string& dataCentre, bool isCut);
    /// Drops all packets that the host sends.
    void setHostOutputDropped(const std::string& host, bool isDropped);

    /// Returns the host with the address, or an empty string if no host has it.
    std::string hostOf(std::uint32_t address) const;
    /// Whether a packet from the host reaches a server in the data centre.
    bool canReach(std::uint32_t hostAddress, const std::string& dataCentre) const;
    bool isOutputDropped(std::uint32_t hostAddress) const;

private:
    struct host_location {
        std::string host;
        std::string dataCentre;
    };

    std::map<std::uint32_t, host_location> m_hostLocations;
    std::map<std::string, int> m_cutCounts;
    std::map<std::string, int> m_outputDropCounts;
};

} // namespace shallotcove::soak
