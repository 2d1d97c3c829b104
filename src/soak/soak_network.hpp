#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace shallotcove::soak {

/// Which host and data centre an address belongs to, and which links are cut.
class soak_network {
public:
    void addHost(std::uint32_t address, std::string host, std::string dataCentre);

    void setDataCentreCut(const std::string& dataCentre, bool isCut);
    /// What the host sends is lost.
    void setHostMute(const std::string& host, bool isMute);

    /// The host with an address; empty if it is no host's.
    std::string hostOf(std::uint32_t address) const;
    /// Whether a packet of a host reaches a server in a data centre.
    bool reaches(std::uint32_t hostAddress, const std::string& dataCentre) const;
    bool isMute(std::uint32_t hostAddress) const;

private:
    struct place {
        std::string host;
        std::string dataCentre;
    };

    std::map<std::uint32_t, place> m_places;
    std::map<std::string, int> m_cuts;
    std::map<std::string, int> m_mutes;
};

} // namespace shallotcove::soak
