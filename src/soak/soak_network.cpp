#include "soak_network.hpp"

#include <utility>

namespace shallotcove::soak {

namespace {

    bool isSet(const std::map<std::string, int>& counts, const std::string& name)
    {
        const auto found = counts.find(name);
        return found != counts.end() && found->second > 0;
    }

} // namespace

void soak_network::addHost(std::uint32_t address, std::string host, std::string dataCentre)
{
    m_hostLocations[address] = { std::move(host), std::move(dataCentre) };
}

void soak_network::setDataCentreCut(const std::string& dataCentre, bool isCut)
{
    m_cutCounts[dataCentre] += isCut ? 1 : -1;
}

void soak_network::setHostOutputDropped(const std::string& host, bool isDropped)
{
    m_outputDropCounts[host] += isDropped ? 1 : -1;
}

std::string soak_network::hostOf(std::uint32_t address) const
{
    const auto found = m_hostLocations.find(address);
    return found == m_hostLocations.end() ? "" : found->second.host;
}

bool soak_network::canReach(std::uint32_t hostAddress, const std::string& dataCentre) const
{
    const auto found = m_hostLocations.find(hostAddress);
    if (found == m_hostLocations.end())
        return true;
    const std::string& hostDataCentre = found->second.dataCentre;
    return !isOutputDropped(hostAddress)
        && (hostDataCentre == dataCentre
            || (!isSet(m_cutCounts, hostDataCentre) && !isSet(m_cutCounts, dataCentre)));
}

bool soak_network::isOutputDropped(std::uint32_t hostAddress) const
{
    const auto found = m_hostLocations.find(hostAddress);
    return found != m_hostLocations.end() && isSet(m_outputDropCounts, found->second.host);
}

} // namespace shallotcove::soak
