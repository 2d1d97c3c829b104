#include <shallotcove/wire/neighbour_codec.hpp>

#include <algorithm>
#include <cstdint>
#include <limits>

#include "peer_reader.hpp"
#include "peer_writer.hpp"

namespace shallotcove::wire {

namespace {

    constexpr std::uint8_t formatVersion = 2;
    // One day. A view that old is as useless as no view.
    constexpr std::uint64_t maximumAgeMs = 24ULL * 3600 * 1000;
    constexpr std::size_t maximumDataCentreBytes = 64;
    constexpr std::size_t maximumHosts = 64;
    constexpr std::size_t maximumLoads = 100;
    // The deepest nesting is: message, flat array of hosts or loads.
    constexpr std::size_t maximumDepth = 3;
    constexpr std::size_t maximumElements = std::max(3 * maximumHosts, 2 * maximumLoads);

    std::vector<std::byte> encode(
        const steering::neighbour_message& message, std::size_t hostCount, std::size_t loadCount)
    {
        msgpack_buffer buffer;
        msgpack::packer<msgpack_buffer> packer(buffer);
        packer.pack_array(10);
        packer.pack(formatVersion);
        packer.pack(message.dataCentre.substr(0, maximumDataCentreBytes));
        packer.pack(message.capacity);
        packer.pack(message.storeRevision);
        packer.pack(message.isWatching);
        packer.pack(std::min(static_cast<std::uint64_t>(message.viewAge.count()), maximumAgeMs));
        packer.pack(message.wantsHosts);
        packer.pack(message.wantsLoads);
        packer.pack_array(static_cast<std::uint32_t>(3 * hostCount));
        for (std::size_t index = 0; index < hostCount; ++index) {
            packer.pack(message.hosts[index].address);
            packer.pack(message.hosts[index].dataCentre.substr(0, maximumDataCentreBytes));
            packer.pack(message.hosts[index].capacity);
        }
        packer.pack_array(static_cast<std::uint32_t>(2 * loadCount));
        for (std::size_t index = 0; index < loadCount; ++index) {
            packer.pack(message.loads[index].server.value);
            packer.pack(message.loads[index].openFlows);
        }
        return std::move(buffer).take();
    }

} // namespace

std::vector<std::byte> encodeNeighbourMessage(const steering::neighbour_message& message)
{
    std::size_t hostCount = std::min(message.hosts.size(), maximumHosts);
    std::size_t loadCount = std::min(message.loads.size(), maximumLoads);
    std::vector<std::byte> bytes = encode(message, hostCount, loadCount);
    // Hosts omitted here are sent in a later answer.
    while (bytes.size() > maximumNeighbourMessageBytes) {
        hostCount /= 2;
        loadCount = hostCount == 0 ? loadCount / 2 : loadCount;
        bytes = encode(message, hostCount, loadCount);
    }
    return bytes;
}

std::optional<steering::neighbour_message> decodeNeighbourMessage(std::span<const std::byte> bytes)
{
    constexpr std::uint64_t maximumWord = std::numeric_limits<std::uint32_t>::max();
    if (bytes.empty() || bytes.size() > maximumNeighbourMessageBytes)
        return std::nullopt;
    const msgpack::unpack_limit limits(maximumElements, 0, maximumNeighbourMessageBytes, 0, 0, maximumDepth);
    try {
        const msgpack::object_handle handle = msgpack::unpack(
            reinterpret_cast<const char*>(bytes.data()), bytes.size(), nullptr, nullptr, limits);
        array_reader reader(handle.get());
        if (reader.readNumber(formatVersion) != formatVersion)
            return std::nullopt;
        steering::neighbour_message message;
        message.dataCentre = reader.readText(maximumDataCentreBytes);
        message.capacity = static_cast<std::uint32_t>(reader.readNumber(maximumWord));
        message.storeRevision = reader.readNumber(std::numeric_limits<std::uint64_t>::max());
        message.isWatching = reader.readBool();
        message.viewAge = std::chrono::milliseconds { reader.readNumber(maximumAgeMs) };
        message.wantsHosts = reader.readBool();
        message.wantsLoads = reader.readBool();
        array_reader hosts = reader.readArray(3 * maximumHosts);
        while (hosts.isGood() && !hosts.isComplete()) {
            const std::uint32_t address = static_cast<std::uint32_t>(hosts.readNumber(maximumWord));
            std::string dataCentre = hosts.readText(maximumDataCentreBytes);
            message.hosts.push_back({ address, std::move(dataCentre),
                static_cast<std::uint32_t>(hosts.readNumber(maximumWord)) });
        }
        array_reader loads = reader.readArray(2 * maximumLoads);
        while (loads.isGood() && !loads.isComplete()) {
            const std::uint32_t server = static_cast<std::uint32_t>(loads.readNumber(maximumWord));
            message.loads.push_back(
                { { server }, static_cast<std::uint32_t>(loads.readNumber(maximumWord)) });
        }
        if (!reader.isComplete() || !hosts.isGood() || !loads.isGood())
            return std::nullopt;
        return message;
    } catch (const msgpack::unpack_error&) {
        return std::nullopt;
    }
}

} // namespace shallotcove::wire
