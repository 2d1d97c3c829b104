#include "peer_writer.hpp"

#include <algorithm>
#include <array>
#include <variant>

#include "byte_order.hpp"
#include "peer_limits.hpp"

namespace shallotcove::wire {

namespace {

    std::uint32_t fieldCount(const core::peer_message& message)
    {
        // In the order of the alternatives of core::peer_message.
        constexpr std::array<std::uint32_t, peerMessageTypeCount> counts { 3, 4, 4, 1, 11, 1, 1, 2 };
        return counts[message.index()];
    }

} // namespace

void peer_writer::write(const peer_envelope& envelope, const core::peer_message& message)
{
    m_packer.pack_array(envelopeFields + fieldCount(message));
    m_packer.pack(newestPeerVersion);
    m_packer.pack(static_cast<std::uint8_t>(message.index() + 1));
    m_packer.pack(envelope.sender.value);
    m_packer.pack(envelope.incarnation);
    m_packer.pack(envelope.sequence);
    std::visit([this](const auto& fields) { writeFields(fields); }, message);
}

void peer_writer::writeFields(const core::ping& message)
{
    m_packer.pack(message.probe);
    writeGossip(message.updates);
}

void peer_writer::writeFields(const core::ping_request& message)
{
    m_packer.pack(message.probe);
    m_packer.pack(message.target.value);
    writeGossip(message.updates);
}

void peer_writer::writeFields(const core::ack& message)
{
    m_packer.pack(message.probe);
    m_packer.pack(message.target.value);
    writeGossip(message.updates);
}

void peer_writer::writeFields(const core::config_pull& message) { m_packer.pack(message.since.value); }

void peer_writer::writeFields(const core::config_push& message)
{
    writeText(message.key);
    m_packer.pack(message.modified.value);
    m_packer.pack(message.upTo.value);
    m_packer.pack(message.number);
    m_packer.pack(message.count);
    m_packer.pack(message.isDeleted);
    m_packer.pack(message.offset);
    m_packer.pack(message.totalBytes);
    m_packer.pack_bin(static_cast<std::uint32_t>(message.bytes.size()));
    m_packer.pack_bin_body(message.bytes.data(), static_cast<std::uint32_t>(message.bytes.size()));
    m_packer.pack(message.since.value);
    m_packer.pack(message.deletionHorizon.value);
}

void peer_writer::writeFields(const core::track_batch& message) { writeFlows(message.flows); }

void peer_writer::writeFields(const core::hint& message) { writeFlows(message.flows); }

void peer_writer::writeFields(const core::load_report& message)
{
    m_packer.pack(message.sequence);
    m_packer.pack_array(static_cast<std::uint32_t>(loadFields * message.servers.size()));
    for (const core::server_load& load : message.servers) {
        m_packer.pack(load.service.value);
        m_packer.pack(load.server.value);
        m_packer.pack(load.newFlows);
        m_packer.pack(load.badFlows);
        m_packer.pack(load.activeFlows);
    }
}

void peer_writer::writeGossip(const core::gossip& updates)
{
    m_packer.pack_array(static_cast<std::uint32_t>(updates.members.size()));
    for (const core::member& member : updates.members)
        writeMember(member);
    m_packer.pack_array(static_cast<std::uint32_t>(updates.limits.size()));
    for (const core::limit_update& limit : updates.limits)
        writeLimit(limit);
}

void peer_writer::writeMember(const core::member& member)
{
    m_packer.pack_array(memberFields);
    // Members dominate the size of a ping, so the id and the packet address are abbreviated in the usual
    // cases: nil for an id that follows from the peer address, and the port alone if both sockets have the
    // same IP address.
    if (member.id == core::hostIdFor(member.peerAddress))
        m_packer.pack_nil();
    else
        m_packer.pack(member.id.value);
    writeAddress(member.peerAddress);
    if (member.packetAddress.address == member.peerAddress.address)
        m_packer.pack(member.packetAddress.port);
    else
        writeAddress(member.packetAddress);
    writeText(member.dataCentre);
    m_packer.pack(member.incarnation);
    m_packer.pack(static_cast<std::uint8_t>(member.state));
    m_packer.pack(member.appliedIndex.value);
    m_packer.pack(member.retirementScanIndex.value);
    m_packer.pack(member.preparedScanIndex.value);
    m_packer.pack_array(static_cast<std::uint32_t>(member.blockedServices.size()));
    for (const core::service_id service : member.blockedServices)
        m_packer.pack(service.value);
    m_packer.pack(member.isPlanner);
}

void peer_writer::writeLimit(const core::limit_update& update)
{
    m_packer.pack_array(limitFields);
    m_packer.pack(update.limit.service.value);
    m_packer.pack(update.limit.server.value);
    m_packer.pack(update.limit.sequence);
    m_packer.pack(update.limit.proposer.value);
    m_packer.pack(static_cast<std::uint8_t>(update.limit.kind));
    m_packer.pack(update.limit.newFlowsPerSecond);
    m_packer.pack_array(static_cast<std::uint32_t>(update.acknowledgedBy.size()));
    for (const core::host_id host : update.acknowledgedBy)
        m_packer.pack(host.value);
}

void peer_writer::writeFlows(const std::vector<core::tracked_flow>& flows)
{
    // One flat array, because a nested array for each flow would add a byte per flow.
    m_packer.pack_array(static_cast<std::uint32_t>(flowFields * flows.size()));
    for (const core::tracked_flow& flow : flows) {
        std::array<std::byte, 16> hash {};
        storeNumber(std::span<std::byte> { hash }, 0, flow.flow.high);
        storeNumber(std::span<std::byte> { hash }, 8, flow.flow.low);
        m_packer.pack_bin(hash.size());
        m_packer.pack_bin_body(reinterpret_cast<const char*>(hash.data()), hash.size());
        m_packer.pack(flow.service.value);
        m_packer.pack(flow.server.value);
    }
}

void peer_writer::writeAddress(const core::socket_address& address)
{
    std::array<std::byte, 18> bytes {};
    const std::span<const std::byte> mappedBytes = std::as_bytes(std::span { address.address.bytes });
    const std::span<const std::byte> ipBytes = address.address.isV4() ? mappedBytes.subspan(12) : mappedBytes;
    std::copy(ipBytes.begin(), ipBytes.end(), bytes.begin());
    storeNumber(std::span<std::byte> { bytes }, ipBytes.size(), address.port);
    const std::uint32_t length = static_cast<std::uint32_t>(ipBytes.size() + 2);
    m_packer.pack_bin(length);
    m_packer.pack_bin_body(reinterpret_cast<const char*>(bytes.data()), length);
}

void peer_writer::writeText(std::string_view text)
{
    m_packer.pack_str(static_cast<std::uint32_t>(text.size()));
    m_packer.pack_str_body(text.data(), static_cast<std::uint32_t>(text.size()));
}

} // namespace shallotcove::wire
