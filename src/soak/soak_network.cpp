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
    m_places[address] = { std::move(host), std::move(dataCentre) };
}

void soak_network::setDataCentreCut(const std::string& dataCentre, bool isCut)
{
    m_cuts[dataCentre] += isCut ? 1 : -1;
}

void soak_network::setHostMute(const std::string& host, bool isMute) { m_mutes[host] += isMute ? 1 : -1; }

std::string soak_network::hostOf(std::uint32_t address) const
{
    const auto found = m_places.find(address);
    return found == m_places.end() ? "" : found->second.host;
}

bool soak_network::reaches(std::uint32_t hostAddress, const std::string& dataCentre) const
{
    const auto found = m_places.find(hostAddress);
    if (found == m_places.end())
        return true;
    const std::string& from = found->second.dataCentre;
    return !isMute(hostAddress)
        && (from == dataCentre || (!isSet(m_cuts, from) && !isSet(m_cuts, dataCentre)));
}

bool soak_network::isMute(std::uint32_t hostAddress) const
{
    const auto found = m_places.find(hostAddress);
    return found != m_places.end() && isSet(m_mutes, found->second.host);
}

} // namespace shallotcove::soak
