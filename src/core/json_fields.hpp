#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <shallotcove/core/config_json.hpp>

#include "json_reader.hpp"

namespace shallotcove::core {

inline constexpr enum_texts<transport, 2> protocolTexts { { { "tcp", transport::Tcp },
    { "udp", transport::Udp } } };
inline constexpr enum_texts<service_state, 2> serviceStateTexts { { { "Active", service_state::Active },
    { "Removing", service_state::Removing } } };
inline constexpr enum_texts<server_state, 3> serverStateTexts { { { "Active", server_state::Active },
    { "Draining", server_state::Draining }, { "Removed", server_state::Removed } } };
inline constexpr enum_texts<data_centre_state, 2> dataCentreStateTexts { { { "In", data_centre_state::In },
    { "Out", data_centre_state::Out } } };
inline constexpr enum_texts<epoch_phase, 2> epochPhaseTexts { { { "Prepared", epoch_phase::Prepared },
    { "Active", epoch_phase::Active } } };

/// Path of an array element, for example "servers[2]".
std::string elementPath(const std::string& arrayPath, std::size_t index);
/// Reads a number of new flows per second.
std::uint32_t readFlowRate(object_reader& reader, const char* field, std::uint32_t minimum);
caller_class readCallerClass(const Json::Value& value, const std::string& path, config_problems& problems);

/// Reads each element of an array field by calling read(element, path, problems).
template <typename Read>
auto readArray(
    object_reader& reader, const char* field, std::size_t maximumCount, config_problems& problems, Read read)
{
    std::vector<decltype(read(Json::Value(), std::string(), problems))> elements;
    const Json::Value& values = reader.array(field, maximumCount);
    elements.reserve(values.size());
    for (Json::ArrayIndex index = 0; index < values.size(); ++index)
        elements.push_back(read(values[index], elementPath(reader.pathOf(field), index), problems));
    return elements;
}

} // namespace shallotcove::core
