#include <array>

#include "peer_limits.hpp"
#include "peer_reader.hpp"

namespace shallotcove::wire {

namespace {

    template <typename Enum> Enum readEnum(array_reader& reader, Enum last)
    {
        return static_cast<Enum>(reader.readNumber(static_cast<std::uint64_t>(last)));
    }

    core::host_id readHost(array_reader& reader) { return reader.readStrong<core::host_id>(); }

    core::tracked_flow readFlow(array_reader& reader)
    {
        core::tracked_flow flow;
        flow.flow = reader.readFlowHash();
        flow.service = reader.readStrong<core::service_id>();
        flow.server = reader.readStrong<core::backend_server_id>();
        return flow;
    }

    /// Reads the next element of outer, a flat array. Each call of read() consumes elementFields elements of
    /// it.
    template <typename Element>
    std::vector<Element> readList(
        array_reader& outer, std::size_t maximum, std::size_t elementFields, Element (*read)(array_reader&))
    {
        array_reader list = outer.readArray(maximum * elementFields);
        std::vector<Element> elements;
        elements.reserve(list.remaining() / elementFields);
        while (list.remaining() > 0)
            elements.push_back(read(list));
        if (!list.isComplete())
            outer.fail();
        return elements;
    }

    core::service_id readService(array_reader& reader) { return reader.readStrong<core::service_id>(); }

    core::member readMember(array_reader& reader)
    {
        core::member member;
        const bool isIdDerived = reader.isNextNil();
        if (isIdDerived)
            reader.skip();
        else
            member.id = reader.readStrong<core::host_id>();
        member.peerAddress = reader.readAddress();
        if (isIdDerived)
            member.id = core::hostIdFor(member.peerAddress);
        if (reader.isNextNumber())
            member.packetAddress = { member.peerAddress.address, reader.read<std::uint16_t>() };
        else
            member.packetAddress = reader.readAddress();
        member.dataCentre = reader.readText(maximumDataCentreBytes);
        member.incarnation = reader.read<std::uint64_t>();
        member.state = readEnum(reader, core::member_state::Dead);
        member.appliedIndex = reader.readStrong<core::config_index>();
        member.retirementScanIndex = reader.readStrong<core::config_index>();
        member.preparedScanIndex = reader.readStrong<core::config_index>();
        member.blockedServices = readList<core::service_id>(reader, maximumBlockedServices, 1, readService);
        member.isPlanner = reader.readBool();
        return member;
    }

    core::limit_update readLimit(array_reader& reader)
    {
        core::limit_update update;
        update.limit.service = reader.readStrong<core::service_id>();
        update.limit.server = reader.readStrong<core::backend_server_id>();
        update.limit.sequence = reader.read<std::uint64_t>();
        update.limit.proposer = reader.readStrong<core::host_id>();
        update.limit.kind = readEnum(reader, core::limit_kind::Dead);
        update.limit.newFlowsPerSecond = reader.read<std::uint32_t>();
        update.acknowledgedBy = readList<core::host_id>(reader, maximumAcknowledgements, 1, readHost);
        return update;
    }

    /// Reads an element that is a nested array of its fields.
    template <typename Element, Element (*Read)(array_reader&), std::size_t Fields>
    Element readNested(array_reader& outer)
    {
        array_reader inner = outer.readArray(Fields);
        Element element = Read(inner);
        if (!inner.isComplete())
            outer.fail();
        return element;
    }

    core::gossip readGossip(array_reader& reader)
    {
        core::gossip updates;
        updates.members = readList<core::member>(
            reader, maximumMembers, 1, readNested<core::member, readMember, memberFields>);
        updates.limits = readList<core::limit_update>(
            reader, maximumLimits, 1, readNested<core::limit_update, readLimit, limitFields>);
        return updates;
    }

    core::peer_message readPing(array_reader& reader)
    {
        core::ping message;
        message.probe = reader.read<std::uint64_t>();
        message.updates = readGossip(reader);
        return message;
    }

    template <typename Message> core::peer_message readProbeWithTarget(array_reader& reader)
    {
        Message message;
        message.probe = reader.read<std::uint64_t>();
        message.target = readHost(reader);
        message.updates = readGossip(reader);
        return message;
    }

    core::peer_message readConfigPull(array_reader& reader)
    {
        return core::config_pull { reader.readStrong<core::config_index>() };
    }

    core::peer_message readConfigPush(array_reader& reader)
    {
        core::config_push message;
        message.key = reader.readText(maximumKeyBytes);
        message.modified = reader.readStrong<core::config_index>();
        message.upTo = reader.readStrong<core::config_index>();
        message.number = reader.read<std::uint32_t>();
        message.count = reader.read<std::uint32_t>();
        message.isDeleted = reader.readBool();
        message.offset = reader.read<std::uint32_t>();
        message.totalBytes = reader.read<std::uint32_t>();
        const std::span<const std::byte> bytes = reader.readBytes(maximumChunkBytes);
        message.bytes.assign(reinterpret_cast<const char*>(bytes.data()), bytes.size());
        message.since = reader.readStrong<core::config_index>();
        message.deletionHorizon = reader.readStrong<core::config_index>();
        // The receiver copies the chunk to this offset of a buffer of totalBytes, so the chunk must not
        // extend beyond the end of the buffer.
        if (message.offset > message.totalBytes || bytes.size() > message.totalBytes - message.offset
            || message.totalBytes > maximumValueBytes
            || (message.count > 0 && message.number >= message.count))
            reader.fail();
        return message;
    }

    template <typename Message> core::peer_message readFlowList(array_reader& reader)
    {
        Message message;
        message.flows = readList<core::tracked_flow>(reader, maximumFlows, flowFields, readFlow);
        return message;
    }

    core::server_load readLoad(array_reader& reader)
    {
        core::server_load load;
        load.service = reader.readStrong<core::service_id>();
        load.server = reader.readStrong<core::backend_server_id>();
        load.newFlows = reader.read<std::uint32_t>();
        load.badFlows = reader.read<std::uint32_t>();
        load.activeFlows = reader.read<std::uint32_t>();
        return load;
    }

    core::peer_message readLoadReport(array_reader& reader)
    {
        core::load_report message;
        message.sequence = reader.read<std::uint64_t>();
        message.servers = readList<core::server_load>(reader, maximumLoads, loadFields, readLoad);
        return message;
    }

    using reader_function = core::peer_message (*)(array_reader&);

    // In the order of the alternatives of core::peer_message.
    constexpr std::array<reader_function, peerMessageTypeCount> readers { readPing,
        readProbeWithTarget<core::ping_request>, readProbeWithTarget<core::ack>, readConfigPull,
        readConfigPush, readFlowList<core::track_batch>, readFlowList<core::hint>, readLoadReport };

} // namespace

tl::expected<core::peer_message, peer_codec_error> readPeerFields(std::size_t type, array_reader& reader)
{
    if (type == 0 || type > readers.size())
        return tl::unexpected(peer_codec_error::UnknownType);
    core::peer_message message = readers[type - 1](reader);
    if (!reader.isComplete())
        return tl::unexpected(peer_codec_error::Malformed);
    return message;
}

} // namespace shallotcove::wire
