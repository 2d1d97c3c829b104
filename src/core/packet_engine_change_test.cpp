#include <shallotcove/core/packet_engine.hpp>

#include <algorithm>

#include <criterion/criterion.h>

#include "engine_fleet.hpp"

using namespace shallotcove::core;
using namespace shallotcove::core::testing;

namespace {

constexpr std::size_t hostCount = 5;
constexpr duration second = std::chrono::seconds { 1 };

const service_config before = makeService(4);
const service_config prepared = drainingService(epoch_phase::Prepared);
const service_config active = drainingService(epoch_phase::Active);

bool isBlocked(const packet_engine_output& output, std::uint32_t service)
{
    const std::vector<service_id>& blocked = output.blockedServices;
    return std::find(blocked.begin(), blocked.end(), service_id { service }) != blocked.end();
}

} // namespace

// A first packet that is repeated across a change of epochs must not be placed twice, by the old epoch and
// then by the new one.
Test(packet_engine_change, first_packet_repeated_across_a_change)
{
    engine_fleet fleet(hostCount);
    fleet.applyToAll({ before });
    const std::uint32_t caller = callerOnServer1();
    const packet_summary first = firstPacket(caller, before);
    cr_assert(fleet.send(fleet.uninvolvedHost(first), first).isForwardedTo(1));
    fleet.applyToAll({ prepared });
    fleet.run(second / 10);
    fleet.applyToAll({ active });
    cr_assert(fleet.send(fleet.uninvolvedHost(first, 1), first).isForwardedTo(1));
    for (std::size_t host = 0; host < hostCount; ++host)
        cr_assert(fleet.send(host, laterPacket(caller, before)).isForwardedTo(1));
    // Each host sends a flow to its owner and backup once, however many snapshots follow.
    fleet.run(second / 10);
    cr_assert(fleet.trackedFlowsSent() == 2);
}

// After a first packet was lost, its repetition may enter at another host and be placed on another server by
// the owner. The host that forwarded the lost packet must adopt the owner's decision. Nothing that this host
// sent about the first placement arrives.
Test(packet_engine_change, owner_decides_after_repeated_first_packet)
{
    engine_fleet fleet(hostCount);
    fleet.applyToAll({ before });
    const std::uint32_t caller = callerOnServer1();
    const packet_summary first = firstPacket(caller, before);
    cr_assert(fleet.send(fleet.uninvolvedHost(first), first).isForwardedTo(1));
    fleet.applyToAll({ prepared });
    fleet.applyToAll({ active });
    const std::uint32_t server = choiceOf(active, 1, caller);
    cr_assert(fleet.send(fleet.uninvolvedHost(first, 1), first).isForwardedTo(server));
    cr_assert(fleet.send(fleet.uninvolvedHost(first), first).isForwardedTo(server));
    for (std::size_t host = 0; host < hostCount; ++host)
        cr_assert(fleet.send(host, laterPacket(caller, before)).isForwardedTo(server));
}

// When a host joins and becomes owner or backup of a tracked flow, the flow must not be lost: at first the
// other host that tracks it still has its server, and the scan then sends the flow to the joined host for
// good.
Test(packet_engine_change, tracked_flows_survive_a_joining_owner)
{
    engine_fleet fleet(hostCount);
    fleet.applyToAll({ active });
    const std::size_t joining = 2;
    const std::uint32_t caller = callerOnServer1(
        [&](const packet_summary& first) { return fleet.ownerAndBackup(first).first == joining; });
    const packet_summary first = firstPacket(caller, before);
    const std::uint32_t server = choiceOf(active, 1, caller);
    fleet.setOwnersAtAllHosts(fleet.hostsExcept({ joining }));
    fleet.run(9 * second);
    const std::size_t backup = fleet.ownerAndBackup(first).second;
    cr_assert(fleet.send(fleet.uninvolvedHost(first), first).isForwardedTo(server));

    fleet.setOwnersAtAllHosts(fleet.hostsExcept({}));
    for (std::size_t host = 0; host < hostCount; ++host)
        cr_assert(fleet.send(host, laterPacket(caller, before)).isForwardedTo(server));

    fleet.run(9 * second);
    fleet.setDown(backup, true);
    fleet.setOwnersAtAllHosts(fleet.hostsExcept({ backup }));
    for (const std::size_t host : fleet.hostsExcept({ backup }))
        cr_assert(fleet.send(host, laterPacket(caller, before)).isForwardedTo(server));
}

// A flow must not stay without a replica: the first packet is lost on its way to the backup, the repeated one
// has to reach the backup, and then the owner dies.
Test(packet_engine_change, repeated_first_packet_reaches_the_backup)
{
    engine_fleet fleet(hostCount);
    fleet.applyToAll({ active });
    fleet.run(9 * second);
    const std::uint32_t caller = callerOnServer1();
    const packet_summary first = firstPacket(caller, before);
    const auto [owner, backup] = fleet.ownerAndBackup(first);
    fleet.setDown(backup, true);
    cr_assert(fleet.send(fleet.uninvolvedHost(first), first).finalDecision.kind == decision_kind::Drop);
    fleet.setDown(backup, false);
    const std::uint32_t server = choiceOf(active, 1, caller);
    cr_assert(fleet.send(fleet.uninvolvedHost(first), first).isForwardedTo(server));
    fleet.setDown(owner, true);
    fleet.setOwnersAtAllHosts(fleet.hostsExcept({ owner }));
    for (const std::size_t host : fleet.hostsExcept({ owner }))
        cr_assert(fleet.send(host, laterPacket(caller, before)).isForwardedTo(server));
}

// A host that has just become owner must not place a flow anew of which the backup has an entry.
Test(packet_engine_change, first_packet_repeated_at_a_new_owner)
{
    engine_fleet fleet(hostCount);
    const std::size_t joining = 2;
    fleet.applyToAll({ before });
    const std::uint32_t caller = callerOnServer1(
        [&](const packet_summary& first) { return fleet.ownerAndBackup(first).first == joining; });
    const packet_summary first = firstPacket(caller, before);
    fleet.setOwnersAtAllHosts(fleet.hostsExcept({ joining }));
    fleet.applyToAll({ prepared });
    cr_assert(fleet.send(fleet.uninvolvedHost(first), first).isForwardedTo(1));

    fleet.applyToAll({ active });
    fleet.setOwnersAtAllHosts(fleet.hostsExcept({}));
    cr_assert(fleet.send(fleet.uninvolvedHost(first, 1), first).isForwardedTo(1));
    for (std::size_t host = 0; host < hostCount; ++host)
        cr_assert(fleet.send(host, laterPacket(caller, before)).isForwardedTo(1));
}

// While hosts have different lists of members, two of them must not place the same flow on different
// servers, and packets must not be redirected in a loop.
Test(packet_engine_change, hosts_agree_despite_different_member_lists)
{
    engine_fleet fleet(hostCount);
    fleet.applyToAll({ before });
    fleet.applyToAll({ prepared });
    fleet.applyToAll({ active });
    for (std::size_t host = 0; host < 3; ++host)
        fleet.setOwners(host, { 0, 1, 2, 3 });
    fleet.run(9 * second);
    for (std::uint32_t caller = 1; caller <= 300; ++caller) {
        const std::uint32_t server = choiceOf(active, 1, caller);
        const std::size_t entry = caller % hostCount;
        cr_assert(fleet.send(entry, firstPacket(caller, before)).isForwardedTo(server));
        for (std::size_t host = 0; host < hostCount; ++host)
            cr_assert(fleet.send(host, laterPacket(caller, before)).isForwardedTo(server));
    }
}

// Redirects must end: a packet at the hop limit is dropped instead of being redirected again.
Test(packet_engine_change, drops_packets_at_hop_limit)
{
    engine_fleet fleet(hostCount);
    fleet.applyToAll({ active });
    const std::uint32_t caller = callerOnServer1();
    const packet_summary first = firstPacket(caller, before);
    const std::size_t entry = fleet.uninvolvedHost(first);
    decision sent = fleet.engine(entry).handlePacket(first, first.key.caller, fleet.now());
    sent.header.hops = 3;
    for (const std::size_t host : { fleet.ownerAndBackup(first).first, fleet.uninvolvedHost(first, 1) }) {
        for (const packet_summary& packet : { first, laterPacket(caller, before) }) {
            const decision result = fleet.redirectTo(host, packet, sent.header);
            cr_assert(result.kind == decision_kind::Drop && result.dropped == drop_reason::HopLimit);
        }
    }
}

// A host that was paused during a whole change must not place new flows by the old configuration when it
// resumes.
Test(packet_engine_change, paused_host_does_not_place_by_old_configuration)
{
    engine_fleet fleet(hostCount);
    const std::size_t paused = 1;
    fleet.applyToAll({ before });
    fleet.run(second);
    const std::uint32_t establishedCaller = callerOnServer1();
    fleet.send(paused, firstPacket(establishedCaller, before));
    fleet.send(paused, laterPacket(establishedCaller, before));
    fleet.setDown(paused, true);
    service_config retired = active;
    retired.epochs.erase(retired.epochs.begin());
    for (const std::size_t host : fleet.hostsExcept({ paused })) {
        fleet.applyService(host, prepared);
        fleet.applyService(host, active);
    }
    fleet.run(9 * second);
    for (const std::size_t host : fleet.hostsExcept({ paused }))
        fleet.applyService(host, retired);
    for (std::uint32_t caller = 1; caller <= 100; ++caller)
        fleet.send(fleet.hostsExcept({ paused })[caller % 4], firstPacket(caller, before));

    fleet.setDown(paused, false);
    cr_assert(fleet.send(paused, laterPacket(establishedCaller, before)).isForwardedTo(1));
    for (std::uint32_t caller = 1; caller <= 100; ++caller) {
        const std::uint32_t server = choiceOf(retired, 0, caller);
        if (caller != establishedCaller)
            cr_assert(
                fleet.send(paused, laterPacket(caller, before)).isForwardedTo(server), "caller %u", caller);
    }
    for (std::uint32_t caller = 101; caller <= 200; ++caller) {
        const packet_outcome result = fleet.send(paused, firstPacket(caller, before));
        cr_assert(result.isForwardedTo(choiceOf(retired, 0, caller))
            || result.finalDecision.dropped == drop_reason::Unsynchronized);
    }
}

// An epoch must not be retired while flows that it placed are open, even if they have been idle for long.
Test(packet_engine_change, retirement_waits_for_flows)
{
    engine_fleet fleet(2);
    fleet.applyToAll({ before });
    const std::uint32_t caller = callerOnServer1();
    fleet.run(second / 10);
    fleet.send(0, firstPacket(caller, before));
    fleet.send(0, laterPacket(caller, before));
    fleet.applyToAll({ prepared });
    fleet.applyToAll({ active });
    fleet.run(890 * second);
    cr_assert(fleet.output(0).retirementScanIndex == config_index { 3 });
    cr_assert(isBlocked(fleet.output(0), 1));
    cr_assert(!isBlocked(fleet.output(1), 1));
    cr_assert(fleet.send(1, laterPacket(caller, before)).isForwardedTo(1));
    fleet.run(905 * second);
    cr_assert(!isBlocked(fleet.output(0), 1) && !isBlocked(fleet.output(1), 1));
}

// An epoch must not be retired while flows may be open whose entries were evicted from the flow table and
// whose server only the base epoch gives.
Test(packet_engine_change, retirement_waits_after_eviction)
{
    packet_engine_options options = engine_fleet::smallTableOptions();
    options.localFlows = 64;
    engine_fleet fleet(1, options);
    fleet.applyToAll({ before });
    for (std::uint32_t caller = 1; caller <= 100; ++caller)
        cr_assert(fleet.send(0, firstPacket(caller, before)).isForwardedTo(choiceOf(before, 0, caller)));
    cr_assert(fleet.engine(0).localFlowCount() == 64);
    // The second epoch has the same servers, so no entry in the table differs from its choice.
    service_config sameServers = before;
    addEpoch(sameServers, epoch_phase::Active, { 1, 2, 3, 4 });
    fleet.applyToAll({ sameServers });
    fleet.run(890 * second);
    cr_assert(fleet.output(0).retirementScanIndex == config_index { 2 } && isBlocked(fleet.output(0), 1));
    fleet.run(31 * second);
    cr_assert(!isBlocked(fleet.output(0), 1));
}

// When a new flow reuses the address pair of an old flow on a draining server, no host may send it to the old
// flow's server.
Test(packet_engine_change, address_pair_reused_on_draining_server)
{
    engine_fleet fleet(hostCount);
    fleet.applyToAll({ before });
    const std::uint32_t caller = callerOnServer1();
    for (std::size_t host = 0; host < hostCount; ++host) {
        fleet.send(host, firstPacket(caller, before));
        fleet.send(host, laterPacket(caller, before));
    }
    packet_summary last = laterPacket(caller, before);
    last.isFinal = true;
    fleet.send(0, last);
    cr_assert(fleet.send(0, firstPacket(caller, before)).isForwardedTo(1));
    fleet.send(0, laterPacket(caller, before));
    fleet.send(0, last);
    fleet.applyToAll({ prepared });
    fleet.applyToAll({ active });
    for (std::size_t host = 0; host < hostCount; ++host) {
        const decision result = fleet.send(host, firstPacket(caller, before)).finalDecision;
        cr_assert(result.kind == decision_kind::Refuse);
        cr_assert(result.refused == refusal_reason::AddressPairReused);
    }
}

// A host must not decide on packets before it has the configuration and the list of members.
Test(packet_engine_change, starting_host_drops_packets)
{
    engine_fleet fleet(2);
    const packet_summary first = firstPacket(1, before);
    cr_assert(fleet.send(0, first).finalDecision.dropped == drop_reason::NoSnapshot);
    fleet.nextSnapshot(0).sync = sync_state::Starting;
    fleet.applyService(0, before);
    redirect_header header { before.id, {}, redirect_stage::Owner, 1, {}, {}, {} };
    cr_assert(fleet.send(0, first).finalDecision.dropped == drop_reason::NoSnapshot);
    cr_assert(fleet.redirectTo(0, first, header).dropped == drop_reason::NoSnapshot);
}

// A packet must not reach the servers of another service: after its address has moved, with an entry of the
// other service for the same hash, and with a redirect for the other service.
Test(packet_engine_change, packets_reach_servers_of_their_service_only)
{
    engine_fleet fleet(2);
    fleet.applyToAll({ before });
    const packet_summary first = firstPacket(1, before);
    for (std::size_t host = 0; host < 2; ++host)
        fleet.send(host, first);
    service_config moved = makeService(2);
    moved.id = { 2 };
    for (backend_server& server : moved.servers)
        server.address.port = 7000;
    service_config removed = before;
    removed.state = service_state::Removing;
    fleet.applyToAll({ moved, removed });
    const redirect_header header { before.id, hashOf(first), redirect_stage::Replicate, 1, { 4 }, {}, {} };
    for (std::size_t host = 0; host < 2; ++host) {
        fleet.engine(host).handleHint({ { { header.flow, { 1 }, { 4 } } } }, fleet.now());
        fleet.engine(host).handleTrackBatch({ { { header.flow, { 1 }, { 4 } } } }, fleet.now());
        const packet_outcome result = fleet.send(host, laterPacket(1, before));
        cr_assert(result.finalDecision.service == service_id { 2 }
            && result.finalDecision.serverAddress.port == 7000);
        cr_assert(result.isForwardedTo(choiceOf(moved, 0, 1)));
        cr_assert(fleet.redirectTo(host, first, header).dropped == drop_reason::ServiceMismatch);
    }
}
