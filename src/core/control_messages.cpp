#include <algorithm>
#include <variant>

#include "control_state.hpp"

namespace shallotcove::core {

namespace {

    constexpr std::size_t maximumGossipMembers = 8;
    // Encoded size of envelope, probe, target and checksum, rounded up.
    constexpr std::size_t envelopeBytes = 96;
    // Set in the numbers of relayed probes, so that an answer never matches one of this host's own probes as
    // well, which are numbered from 1.
    constexpr std::uint64_t relayBit = 1ULL << 63;
    constexpr std::size_t maximumRelays = 256;

    /// Whether an incarnation grew by a restart and not by refutations: a restart sets it to the clock in
    /// milliseconds, a refutation adds one.
    bool isRestart(std::uint64_t before, std::uint64_t after)
    {
        constexpr std::uint64_t maximumRefutations = 100;
        return after > before && after - before > maximumRefutations;
    }

    /// Encoded size of a member, rounded up.
    std::size_t bytesOf(const member& info)
    {
        return 105 + info.dataCentre.size() + info.blockedServices.size() * 5;
    }

} // namespace

void control_engine::implementation::handleMessage(
    host_id from, const socket_address& fromAddress, const peer_message& message, timestamp now)
{
    // Messages that waited in the socket during a pause may be as outdated as this host's view, so the pause
    // has to be detected before they are handled.
    detectPause(now);
    const sender source { from, fromAddress };
    std::visit([&](const auto& content) { handle(source, content, now); }, message);
}

void control_engine::implementation::handle(const sender& from, const ping& message, timestamp now)
{
    const member* const before = members.find(from.id);
    const std::uint64_t incarnation = before == nullptr ? 0 : before->incarnation;
    const bool wasDead = before != nullptr && before->state == member_state::Dead;
    mergeGossip(from, message.updates, now);
    send(from, ack { message.probe, members.self().id, gossipFor(from.id, true) });
    const member* const after = members.find(from.id);
    const bool isJoining
        = before == nullptr || wasDead || (after != nullptr && isRestart(incarnation, after->incarnation));
    if (isJoining && after != nullptr)
        sendAllMembers(from);
}

void control_engine::implementation::sendAllMembers(const sender& to)
{
    gossip part { { members.self() }, {} };
    std::size_t bytes = envelopeBytes + bytesOf(members.self());
    const auto flush = [&] {
        if (part.members.size() > 1)
            send(to, ack { 0, members.self().id, part });
        part.members.resize(1);
        bytes = envelopeBytes + bytesOf(members.self());
    };
    for (const member* const other : members.otherMembers()) {
        if (other->id == to.id)
            continue;
        if (part.members.size() == maximumGossipMembers || bytes + bytesOf(*other) > maximumPeerMessageBytes)
            flush();
        part.members.push_back(*other);
        bytes += bytesOf(*other);
    }
    flush();
}

void control_engine::implementation::handle(const sender& from, const ping_request& message, timestamp now)
{
    mergeGossip(from, message.updates, now);
    const std::optional<socket_address> address = addressOf(message.target);
    if (!address || m_relays.size() >= maximumRelays)
        return;
    m_lastRelay += 1;
    const std::uint64_t probe = m_lastRelay | relayBit;
    m_relays.emplace(
        probe, relayed_probe { from, message.probe, message.target, now + 2 * m_options.probeTimeout });
    send({ message.target, *address }, ping { probe, gossipFor(message.target, false) });
}

void control_engine::implementation::handle(const sender& from, const ack& message, timestamp now)
{
    const bool hadUpdates = mergeGossip(from, message.updates, now);
    const auto relay = m_relays.find(message.probe);
    if (relay != m_relays.end() && relay->second.target == from.id) {
        const sender origin = relay->second.origin;
        send(origin, ack { relay->second.probe, from.id, gossipFor(origin.id, false) });
        m_relays.erase(relay);
        return;
    }
    const bool isAnswer = m_prober.handleAck(message.probe, message.target);
    if (isAnswer && !message.updates.members.empty())
        m_sync.handleAnswer(hadUpdates, now);
}

void control_engine::implementation::handle(const sender& from, const config_pull& message, timestamp /*now*/)
{
    for (const config_push& push : m_exchange.answer(from.id, replica, message.since))
        send(from, push);
}

void control_engine::implementation::handle(const sender& from, const config_push& message, timestamp now)
{
    m_exchange.handlePush(from.id, message, replica, now);
    members.setAppliedIndex(replica.appliedIndex());
}

void control_engine::implementation::handle(
    const sender& /*from*/, const track_batch& message, timestamp /*now*/)
{
    m_output.forPacketEngine.push_back(message);
}

void control_engine::implementation::handle(const sender& /*from*/, const hint& message, timestamp /*now*/)
{
    m_output.forPacketEngine.push_back(message);
}

void control_engine::implementation::handle(const sender& from, const load_report& message, timestamp now)
{
    // A report from an unknown host may come from one that was removed for good.
    if (members.find(from.id) != nullptr)
        m_capacity.addReport(from.id, message, now);
}

bool control_engine::implementation::mergeGossip(const sender& from, const gossip& updates, timestamp now)
{
    bool hadUpdates = false;
    for (const member& info : updates.members) {
        const member* const before = members.find(info.id);
        const std::uint64_t incarnation = before == nullptr ? 0 : before->incarnation;
        const bool wasDead = before != nullptr && before->state == member_state::Dead;
        const bool isDirect = info.id == from.id;
        const merge_result result = members.merge(info, isDirect, now);
        if (result == merge_result::Added || isRestart(incarnation, info.incarnation))
            m_limits.handleHostRestart(info.id, now);
        if (isDirect)
            m_prober.markReachable(info.id, wasDead, now);
        hadUpdates = hadUpdates || result == merge_result::Added;
    }
    for (const limit_update& update : updates.limits)
        hadUpdates = m_limits.merge(from.id, update, now) || hadUpdates;
    return hadUpdates;
}

gossip control_engine::implementation::gossipFor(host_id receiver, bool addRandomMember)
{
    gossip updates { members.selectUpdates(receiver, maximumGossipMembers, addRandomMember), {} };
    std::size_t bytes = maximumPeerMessageBytes - envelopeBytes;
    std::size_t kept = 0;
    while (kept < updates.members.size() && bytesOf(updates.members[kept]) <= bytes)
        bytes -= bytesOf(updates.members[kept++]);
    updates.members.resize(kept);
    updates.limits = m_limits.selectUpdates(receiver, bytes);
    return updates;
}

void control_engine::implementation::send(const sender& to, peer_message message)
{
    m_output.messages.push_back({ to.id, to.address, std::move(message) });
}

std::optional<socket_address> control_engine::implementation::addressOf(host_id id) const
{
    const member* const known = members.find(id);
    if (known != nullptr)
        return known->peerAddress;
    const auto contact = m_prober.contacts().find(id);
    if (contact != m_prober.contacts().end())
        return contact->second;
    return std::nullopt;
}

} // namespace shallotcove::core
