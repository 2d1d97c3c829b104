#include <shallotcove/wire/neighbour_codec.hpp>

#include <algorithm>
#include <cstdint>
#include <limits>

#include "peer_reader.hpp"
#include "peer_writer.hpp"

namespace shallotcove::wire {

namespace {

    using steering::message_format;

    // One day. A view that old is as useless as no view.
    constexpr std::uint64_t maximumAgeMs = 24ULL * 3600 * 1000;
    constexpr std::size_t maximumDataCentreBytes = 64;
    constexpr std::size_t maximumHosts = 64;
    constexpr std::size_t maximumLoads = steering::maximumLoadsPerMessage;
    constexpr std::uint32_t maximumCountInVersion3 = 65535;
    constexpr std::uint32_t maximumSlownessTenths = 127;
    constexpr std::uint32_t fieldsInVersion2 = 10;
    constexpr std::uint32_t fieldsInVersion3 = 12;
    constexpr std::size_t fieldsPerDetail = 3;
    // MessagePack prefix of an unsigned number of one byte. Position of the version number, behind the header
    // of the array.
    constexpr std::uint8_t oneByteNumber = 0xcc;
    constexpr std::size_t versionOffset = 1;
    // The deepest nesting is: message, flat array of hosts or loads.
    constexpr std::size_t maximumDepth = 3;
    constexpr std::size_t maximumElements = std::max(3 * maximumHosts, fieldsPerDetail* maximumLoads);

    using message_packer = msgpack::packer<msgpack_buffer>;

    bool hasDetails(const steering::server_load& load)
    {
        return load.establishedFlows > 0 || load.slownessTenths > 0;
    }

    /// Packs the fields of version 3 for those loads that have them, each with the index of the load.
    /// Messages about services without long flows thus hardly grow.
    void packDetails(message_packer& packer, std::span<const steering::server_load> loads)
    {
        const std::ptrdiff_t count = std::count_if(loads.begin(), loads.end(), hasDetails);
        packer.pack_array(static_cast<std::uint32_t>(fieldsPerDetail * static_cast<std::size_t>(count)));
        for (std::size_t index = 0; index < loads.size(); ++index) {
            if (!hasDetails(loads[index]))
                continue;
            packer.pack(static_cast<std::uint32_t>(index));
            packer.pack(std::min(loads[index].establishedFlows, maximumCountInVersion3));
            packer.pack(std::min<std::uint32_t>(loads[index].slownessTenths, maximumSlownessTenths));
        }
    }

    std::vector<std::byte> encode(const steering::neighbour_message& message, message_format format,
        std::size_t hostCount, std::size_t loadCount)
    {
        const bool isVersion3 = format == message_format::Version3;
        msgpack_buffer buffer;
        message_packer packer(buffer);
        packer.pack_array(isVersion3 ? fieldsInVersion3 : fieldsInVersion2);
        if (isVersion3)
            packer.pack(static_cast<std::uint8_t>(format));
        else
            packer.pack_fix_uint8(static_cast<std::uint8_t>(format));
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
        const std::span<const steering::server_load> loads = std::span(message.loads).first(loadCount);
        packer.pack_array(static_cast<std::uint32_t>(2 * loadCount));
        for (const steering::server_load& load : loads) {
            packer.pack(load.server.value);
            packer.pack(isVersion3 ? std::min(load.openFlows, maximumCountInVersion3) : load.openFlows);
        }
        if (isVersion3) {
            packDetails(packer, loads);
            packer.pack(message.isPartial || loadCount < message.loads.size());
        }
        return std::move(buffer).take();
    }

    /// Returns nothing for a version that is not known.
    std::optional<message_format> readFormat(array_reader& reader)
    {
        const std::uint64_t version = reader.readNumber(static_cast<std::uint64_t>(message_format::Version3));
        if (version < static_cast<std::uint64_t>(message_format::Version2))
            return std::nullopt;
        return static_cast<message_format>(version);
    }

    /// Reads the fields of version 3 into the loads that they belong to.
    void readDetails(array_reader& details, steering::load_report& loads)
    {
        while (details.isGood() && !details.isComplete()) {
            const std::uint64_t index = details.readNumber(maximumLoads);
            const std::uint64_t established = details.readNumber(maximumCountInVersion3);
            const std::uint64_t slowness = details.readNumber(maximumSlownessTenths);
            if (index >= loads.size())
                return details.fail();
            loads[index].establishedFlows = static_cast<std::uint32_t>(established);
            loads[index].slownessTenths = static_cast<std::uint8_t>(slowness);
        }
    }

} // namespace

std::vector<std::byte> encodeNeighbourMessage(
    const steering::neighbour_message& message, steering::message_format format)
{
    std::size_t hostCount = std::min(message.hosts.size(), maximumHosts);
    std::size_t loadCount = std::min(message.loads.size(), maximumLoads);
    std::vector<std::byte> bytes = encode(message, format, hostCount, loadCount);
    // Hosts omitted here are sent in a later answer.
    while (bytes.size() > maximumNeighbourMessageBytes) {
        (hostCount > 0 ? hostCount : loadCount) /= 2;
        bytes = encode(message, format, hostCount, loadCount);
    }
    return bytes;
}

std::optional<steering::neighbour_message> decodeNeighbourMessage(std::span<const std::byte> bytes)
{
    constexpr std::uint64_t maximumWord = std::numeric_limits<std::uint32_t>::max();
    if (bytes.size() <= versionOffset || bytes.size() > maximumNeighbourMessageBytes)
        return std::nullopt;
    const msgpack::unpack_limit limits(maximumElements, 0, maximumNeighbourMessageBytes, 0, 0, maximumDepth);
    try {
        const msgpack::object_handle handle = msgpack::unpack(
            reinterpret_cast<const char*>(bytes.data()), bytes.size(), nullptr, nullptr, limits);
        array_reader reader(handle.get());
        const std::optional<message_format> format = readFormat(reader);
        if (!format)
            return std::nullopt;
        steering::neighbour_message message;
        const bool isAnnouncing = bytes[versionOffset] == std::byte { oneByteNumber };
        message.newestFormat = isAnnouncing ? message_format::Version3 : *format;
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
        if (*format == message_format::Version3) {
            array_reader details = reader.readArray(fieldsPerDetail * maximumLoads);
            readDetails(details, message.loads);
            message.isPartial = reader.readBool();
            if (!details.isGood())
                return std::nullopt;
        }
        if (!reader.isComplete() || !hosts.isGood() || !loads.isGood())
            return std::nullopt;
        return message;
    } catch (const msgpack::unpack_error&) {
        return std::nullopt;
    }
}

} // namespace shallotcove::wire
