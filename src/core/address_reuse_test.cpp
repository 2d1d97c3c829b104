#include <cstdint>
#include <optional>

#include <criterion/criterion.h>

#include "engine_fleet.hpp"

namespace core = shallotcove::core;
using namespace shallotcove::core::testing;

namespace {

constexpr std::size_t hostCount = 5;
constexpr core::duration reuseDelay = std::chrono::seconds { 60 };

/// The first caller whose flow epoch 0 places on server 1. Epoch 1, without server 1, places it on another
/// server.
std::uint32_t callerOfServerOne(const core::service_config& service)
{
    std::uint32_t caller = 1;
    while (choiceOf(service, 0, caller) != 1)
        ++caller;
    return caller;
}

} // namespace

// Hosts that missed the end of a flow keep its entry and must not send packets of a later flow with the same
// address pair to the earlier flow's server. In a run of 9 hosts, 269 of 137,506 flows broke that way.
Test(address_reuse, later_flow_has_one_server_at_all_hosts)
{
    engine_fleet fleet(hostCount);
    core::service_config service = makeService(4);
    fleet.applyToAll({ service });
    addEpoch(service, core::epoch_phase::Prepared, { 2, 3, 4 });
    const std::uint32_t caller = callerOfServerOne(service);
    service.epochs.pop_back();

    // The packets leave an entry for the flow at server 1 on every host.
    fleet.send(0, firstPacket(caller, service));
    for (std::size_t host = 0; host < hostCount; ++host)
        cr_assert(fleet.send(host, laterPacket(caller, service)).isForwardedTo(1));

    service.servers[0].state = core::server_state::Draining;
    addEpoch(service, core::epoch_phase::Active, { 2, 3, 4 });
    fleet.applyToAll({ service });
    fleet.run(reuseDelay);

    std::optional<std::uint32_t> server;
    for (std::size_t host = 0; host < hostCount; ++host) {
        const packet_outcome result
            = fleet.send(host, host == 0 ? firstPacket(caller, service) : laterPacket(caller, service));
        cr_assert(result.finalDecision.kind == core::decision_kind::Forward, "host %zu", host);
        if (!server)
            server = result.finalDecision.server.value;
        cr_assert(*server != 1, "new flow placed on a draining server");
        cr_assert(result.isForwardedTo(*server), "host %zu sends the flow to server %u, not %u", host,
            result.finalDecision.server.value, *server);
    }
}

// Flows end when their data centre goes out. Their entries must not send packets of later flows with the same
// address pair to that data centre once it has returned.
Test(address_reuse, returning_data_centre_gets_no_packet_of_a_flow_placed_elsewhere)
{
    engine_fleet fleet(hostCount);
    core::service_config service = makeService(4);
    service.servers[0].dataCentre = "b";
    fleet.applyToAll({ service });
    addEpoch(service, core::epoch_phase::Prepared, { 2, 3, 4 });
    const std::uint32_t caller = callerOfServerOne(service);
    for (std::size_t host = 0; host < hostCount; ++host)
        cr_assert(fleet.send(host, host == 0 ? firstPacket(caller, service) : laterPacket(caller, service))
                      .isForwardedTo(1));

    service.epochs.back().phase = core::epoch_phase::Active;
    for (std::size_t host = 0; host < hostCount; ++host)
        fleet.nextSnapshot(host).dataCentresOut = { "b" };
    fleet.applyToAll({ service });
    fleet.run(std::chrono::seconds { 8 });
    const packet_outcome placed = fleet.send(1, firstPacket(caller, service));
    cr_assert(placed.finalDecision.kind == core::decision_kind::Forward && !placed.isForwardedTo(1));

    addEpoch(service, core::epoch_phase::Active, { 1, 2, 3, 4 });
    for (std::size_t host = 0; host < hostCount; ++host)
        fleet.nextSnapshot(host).dataCentresOut.clear();
    fleet.applyToAll({ service });
    for (std::size_t host = 0; host < hostCount; ++host) {
        const packet_outcome result = fleet.send(host, laterPacket(caller, service));
        cr_assert(result.isForwardedTo(placed.finalDecision.server.value), "host %zu", host);
    }
}

// A backup that missed the end of a flow must not send the first packet of a later flow with the same address
// pair to the earlier flow's server, because the owner has chosen another one.
Test(address_reuse, owner_and_backup_agree_on_a_later_flow)
{
    engine_fleet fleet(hostCount);
    core::service_config service = makeService(4);
    addEpoch(service, core::epoch_phase::Active, { 2, 3, 4 });
    fleet.applyToAll({ service });
    // Until ownership is settled, owners send later packets through the backup.
    fleet.run(std::chrono::seconds { 10 });
    const std::uint32_t caller = callerOfServerOne(service);
    const core::packet_summary first = firstPacket(caller, service);
    const std::size_t entryHost = fleet.uninvolvedHost(first);
    const packet_outcome earlier = fleet.send(entryHost, first);
    cr_assert(earlier.finalDecision.kind == core::decision_kind::Forward && !earlier.isForwardedTo(1));

    // The flow ends at its owner; the backup keeps its entry.
    core::packet_summary last = laterPacket(caller, service);
    last.isFinal = true;
    fleet.send(fleet.ownerAndBackup(first).first, last);
    addEpoch(service, core::epoch_phase::Active, { 1, 2, 3, 4 });
    fleet.applyToAll({ service });
    fleet.run(reuseDelay);

    const packet_outcome later = fleet.send(entryHost, first);
    cr_assert(later.isForwardedTo(1), "server %u", later.finalDecision.server.value);
    for (std::size_t host = 0; host < hostCount; ++host)
        cr_assert(fleet.send(host, laterPacket(caller, service)).isForwardedTo(1), "host %zu", host);
}

// A hint about a flow that has just ended would create an entry that stays for the idle time-out.
Test(address_reuse, ended_flow_leaves_no_entry)
{
    engine_fleet fleet(hostCount);
    core::service_config service = makeService(4);
    addEpoch(service, core::epoch_phase::Active, { 2, 3, 4 });
    fleet.applyToAll({ service });
    const std::uint32_t caller = callerOfServerOne(service);
    const core::packet_summary first = firstPacket(caller, service);
    fleet.send(fleet.uninvolvedHost(first), first);
    core::packet_summary last = laterPacket(caller, service);
    last.isFinal = true;
    // Until ownership is settled, the last packet goes through both owner and backup.
    fleet.send(fleet.ownerAndBackup(first).first, last);
    fleet.run(reuseDelay);
    for (std::size_t host = 0; host < hostCount; ++host)
        cr_assert(fleet.engine(host).localFlowCount() + fleet.engine(host).trackedFlowCount() == 0,
            "host %zu", host);
}

// If an address pair is reused shortly after the earlier flow and only the backup has an entry of that flow,
// owner and backup must not keep different servers for the new one.
Test(address_reuse, owner_adopts_the_entry_of_the_backup)
{
    engine_fleet fleet(hostCount);
    core::service_config service = makeService(4);
    fleet.applyToAll({ service });
    fleet.run(std::chrono::seconds { 10 });
    addEpoch(service, core::epoch_phase::Active, { 2, 3, 4 });
    const std::uint32_t caller = callerOfServerOne(service);
    const core::packet_summary first = firstPacket(caller, service);
    const auto [owner, backup] = fleet.ownerAndBackup(first);
    const std::size_t uninvolvedHost = fleet.uninvolvedHost(first);
    cr_assert(fleet.send(backup, first).isForwardedTo(1));
    cr_assert(fleet.send(backup, laterPacket(caller, service)).isForwardedTo(1));

    fleet.applyToAll({ service });
    const packet_outcome second = fleet.send(uninvolvedHost, first);
    cr_assert(second.finalDecision.kind == core::decision_kind::Forward);
    for (const std::size_t host : { uninvolvedHost, owner, backup, fleet.uninvolvedHost(first, 1) }) {
        const packet_outcome result = fleet.send(host, laterPacket(caller, service));
        cr_assert(result.isForwardedTo(second.finalDecision.server.value), "host %zu: server %u, not %u",
            host, result.finalDecision.server.value, second.finalDecision.server.value);
    }
}
