#include <shallotcove/steering/held_requests.hpp>

#include <algorithm>
#include <utility>

#include <shallotcove/steering/steering_options.hpp>

namespace shallotcove::steering {

const char* textOf(hold_end end)
{
    switch (end) {
    case hold_end::Room:
        return "room";
    case hold_end::Timeout:
        return "timeout";
    case hold_end::Flush:
        return "flush";
    }
    return "unknown";
}

bool held_requests::release_pass::checkRoom(const held_flow& flow, const room_test& hasRoom)
{
    const auto found = std::lower_bound(fullServers.begin(), fullServers.end(), flow.server);
    if (found != fullServers.end() && *found == flow.server)
        return false;
    if (hasRoom(flow))
        return true;
    fullServers.insert(found, flow.server);
    return false;
}

held_requests::held_requests(const steering_options& options)
    : m_holdTime(options.requestHold)
    , m_maximumPackets(options.maximumHeldPackets)
    , m_maximumBytes(options.maximumHeldBytes)
{
}

void held_requests::setHoldTime(core::duration holdTime)
{
    m_holdTime = holdTime;
    if (!isEnabled())
        flushAll();
}

void held_requests::hold(const caller_packet& packet, server_tag server, std::uint32_t priority,
    core::duration longest, core::timestamp now)
{
    const release_key key { priority, m_nextNumber++ };
    held_flow& flow = m_flows[key];
    flow.server = server;
    flow.releaseAt = now + std::min(m_holdTime, longest);
    m_keys[packet.flow] = key;
    add(flow, packet);
}

void held_requests::queue(const caller_packet& packet)
{
    const auto found = m_keys.find(packet.flow);
    if (found != m_keys.end())
        add(m_flows.at(found->second), packet);
}

void held_requests::add(held_flow& flow, const caller_packet& packet)
{
    flow.packets.push_back(packet);
    ++m_packetCount;
    m_payloadBytes += packet.payloadBytes;
}

void held_requests::flush(const flow_address& flow)
{
    const auto found = m_keys.find(flow);
    if (found != m_keys.end())
        m_flows.at(found->second).isFlushed = true;
}

void held_requests::flushAll()
{
    for (auto& [key, flow] : m_flows)
        flow.isFlushed = true;
}

std::optional<held_requests::taken_flow> held_requests::takeNext(
    const room_test& hasRoom, release_pass& pass, core::timestamp now)
{
    for (auto entry = m_flows.lower_bound(pass.after); entry != m_flows.end(); ++entry) {
        held_flow& flow = entry->second;
        const bool isDue = flow.releaseAt <= now;
        if (!flow.isFlushed && !isDue && !pass.checkRoom(flow, hasRoom))
            continue;
        pass.after = entry->first;
        const hold_end end = flow.isFlushed ? hold_end::Flush : isDue ? hold_end::Timeout : hold_end::Room;
        taken_flow taken { entry->first, std::move(flow), end };
        m_keys.erase(taken.flow.packets.front().flow);
        m_flows.erase(entry);
        m_packetCount -= taken.flow.packets.size();
        for (const caller_packet& packet : taken.flow.packets)
            m_payloadBytes -= packet.payloadBytes;
        return taken;
    }
    return std::nullopt;
}

bool held_requests::canHold(const caller_packet& packet) const
{
    return isEnabled() && m_packetCount < m_maximumPackets
        && m_payloadBytes + packet.payloadBytes <= m_maximumBytes;
}

bool held_requests::containsCopyOf(const caller_packet& packet) const
{
    const auto found = m_keys.find(packet.flow);
    if (found == m_keys.end())
        return false;
    const std::vector<caller_packet>& packets = m_flows.at(found->second).packets;
    return std::find(packets.begin(), packets.end(), packet) != packets.end();
}

bool held_requests::hasEarlier(server_tag server, std::uint32_t priority) const
{
    return std::any_of(m_flows.begin(), m_flows.end(),
        [&](const auto& entry) { return entry.first.priority <= priority && entry.second.server == server; });
}

std::optional<core::timestamp> held_requests::nextRelease() const
{
    std::optional<core::timestamp> next;
    for (const auto& [key, flow] : m_flows) {
        const core::timestamp at = flow.isFlushed ? core::timestamp {} : flow.releaseAt;
        next = next ? std::min(*next, at) : at;
    }
    return next;
}

} // namespace shallotcove::steering
