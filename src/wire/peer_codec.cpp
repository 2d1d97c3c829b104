#include <shallotcove/wire/peer_codec.hpp>

#include <algorithm>
#include <utility>

#include "peer_limits.hpp"
#include "peer_reader.hpp"
#include "peer_writer.hpp"

namespace shallotcove::wire {

namespace {

    // The deepest nesting is: message, limits, limit, acknowledgements.
    constexpr std::size_t maximumDepth = 5;
    constexpr std::size_t maximumArrayElements
        = std::max(flowFields * maximumFlows, loadFields* maximumLoads);

    bool isKnownVersion(std::uint8_t version)
    {
        return version >= oldestPeerVersion && version <= newestPeerVersion;
    }

    bool isWithinLimits(const core::gossip& updates)
    {
        for (const core::member& member : updates.members)
            if (member.dataCentre.size() > maximumDataCentreBytes
                || member.blockedServices.size() > core::maximumBlockedServices)
                return false;
        for (const core::limit_update& limit : updates.limits)
            if (limit.acknowledgedBy.size() > maximumAcknowledgements)
                return false;
        return updates.members.size() <= maximumMembers && updates.limits.size() <= maximumLimits;
    }

    bool isWithinLimits(const core::config_pull&) { return true; }

    bool isWithinLimits(const core::load_report& report) { return report.servers.size() <= maximumLoads; }

    bool isWithinLimits(const core::config_push& push)
    {
        return push.key.size() <= maximumKeyBytes && push.bytes.size() <= maximumChunkBytes
            && push.totalBytes <= maximumValueBytes;
    }

    template <typename Message>
    auto isWithinLimits(const Message& message) -> decltype(message.updates, bool())
    {
        return isWithinLimits(message.updates);
    }

    template <typename Message> auto isWithinLimits(const Message& message) -> decltype(message.flows, bool())
    {
        return message.flows.size() <= maximumFlows;
    }

    tl::expected<received_message, peer_codec_error> readMessage(array_reader reader)
    {
        const std::uint8_t version = reader.read<std::uint8_t>();
        if (!reader.isGood())
            return tl::unexpected(peer_codec_error::Malformed);
        if (!isKnownVersion(version))
            return tl::unexpected(peer_codec_error::UnknownVersion);
        const std::uint8_t type = reader.read<std::uint8_t>();
        received_message received;
        received.envelope.sender = reader.readStrong<core::host_id>();
        received.envelope.incarnation = reader.read<std::uint64_t>();
        received.envelope.sequence = reader.read<std::uint64_t>();
        if (!reader.isGood())
            return tl::unexpected(peer_codec_error::Malformed);
        tl::expected<core::peer_message, peer_codec_error> message = readPeerFields(type, reader);
        if (!message)
            return tl::unexpected(message.error());
        received.message = std::move(*message);
        return received;
    }

} // namespace

tl::expected<std::vector<std::byte>, peer_codec_error> encodePeerMessage(
    const peer_envelope& envelope, const core::peer_message& message, const peer_key& key)
{
    if (!std::visit([](const auto& fields) { return isWithinLimits(fields); }, message))
        return tl::unexpected(peer_codec_error::TooLong);
    peer_writer writer;
    writer.write(envelope, message);
    std::vector<std::byte> bytes = std::move(writer).take();
    if (bytes.size() + peer_key::checksumBytes > core::maximumPeerMessageBytes)
        return tl::unexpected(peer_codec_error::TooLong);
    const peer_key::checksum checksum = key.sign(bytes);
    bytes.insert(bytes.end(), checksum.begin(), checksum.end());
    return bytes;
}

tl::expected<received_message, peer_codec_error> decodePeerMessage(
    std::span<const std::byte> bytes, const peer_key& key)
{
    if (bytes.size() <= peer_key::checksumBytes)
        return tl::unexpected(peer_codec_error::TooShort);
    if (bytes.size() > core::maximumPeerMessageBytes)
        return tl::unexpected(peer_codec_error::TooLong);
    const std::span<const std::byte> body = bytes.first(bytes.size() - peer_key::checksumBytes);
    if (!peer_key::isEqual(key.sign(body), bytes.last<peer_key::checksumBytes>()))
        return tl::unexpected(peer_codec_error::BadChecksum);
    try {
        const msgpack::unpack_limit limit(
            maximumArrayElements, 0, maximumKeyBytes, maximumChunkBytes, 0, maximumDepth);
        std::size_t offset = 0;
        bool isReferenced = false;
        // The unpacked object refers to strings and binary data in the datagram. The functions that read its
        // fields copy what they keep.
        const msgpack::object_handle handle = msgpack::unpack(
            reinterpret_cast<const char*>(body.data()), body.size(), offset, isReferenced,
            [](msgpack::type::object_type, std::size_t, void*) { return true; }, nullptr, limit);
        if (offset != body.size())
            return tl::unexpected(peer_codec_error::Malformed);
        return readMessage(array_reader(handle.get()));
    } catch (const msgpack::unpack_error&) {
        return tl::unexpected(peer_codec_error::Malformed);
    }
}

} // namespace shallotcove::wire
