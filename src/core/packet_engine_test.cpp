#include <shallotcove/core/packet_engine.hpp>

#include <array>
#include <vector>

#include <criterion/criterion.h>

#include "engine_fleet.hpp"

using namespace shallotcove::core;
using namespace shallotcove::core::testing;

namespace {

constexpr std::size_t hostCount = 5;

} // namespace

Test(packet_engine, refuses_bad_options)
{
    struct bad_options {
        packet_engine_options options;
        packet_engine_error error;
    };
    const std::array<bad_options, 4> inputs { {
        { { .localFlows = 1000 }, packet_engine_error::CapacityOutOfRange },
        { { .localFlows = 0 }, packet_engine_error::CapacityOutOfRange },
        { { .trackedFlows = 32 }, packet_engine_error::CapacityOutOfRange },
        { { .idleTimeout = duration::zero() }, packet_engine_error::IdleTimeoutOutOfRange },
    } };
    for (const bad_options& input : inputs) {
        const tl::expected<packet_engine, packet_engine_error> engine = packet_engine::create(input.options);
        cr_assert(!engine.has_value() && engine.error() == input.error);
    }
}

// While no epoch or limit changes, every host must compute the same server for a flow without asking another
// host.
Test(packet_engine, all_hosts_agree_without_redirects)
{
    engine_fleet fleet(hostCount);
    const service_config service = makeService(4);
    fleet.applyToAll({ service });
    for (std::uint32_t caller = 1; caller <= 200; ++caller) {
        const std::uint32_t server = choiceOf(service, 0, caller);
        cr_assert(fleet.send(caller % hostCount, firstPacket(caller, service)).isForwardedTo(server));
        for (std::size_t host = 0; host < hostCount; ++host) {
            const packet_outcome result = fleet.send(host, laterPacket(caller, service));
            cr_assert(result.isForwardedTo(server) && result.hops == 0);
        }
    }
}

// Flows must keep their server while some hosts have applied a newer epoch than others.
Test(packet_engine, flows_keep_their_server_while_hosts_differ_in_epochs)
{
    engine_fleet fleet(hostCount);
    const service_config before = makeService(4);
    fleet.applyToAll({ before });
    const service_config prepared = drainingService(epoch_phase::Prepared);
    for (std::size_t host = 0; host < hostCount; host += 2)
        fleet.applyService(host, prepared);
    for (std::uint32_t caller = 1; caller <= 200; ++caller) {
        const std::uint32_t server = choiceOf(before, 0, caller);
        const std::size_t entry = caller % hostCount;
        cr_assert(fleet.send(entry, firstPacket(caller, before)).isForwardedTo(server));
        for (std::size_t host = 0; host < hostCount; ++host)
            cr_assert(fleet.send(host, laterPacket(caller, before)).isForwardedTo(server));
    }
}

// During a drain, established flows must stay on the server of the old epoch, and new flows must go to the
// choice of the new one.
Test(packet_engine, drain_keeps_established_flows)
{
    engine_fleet fleet(hostCount);
    const service_config before = makeService(4);
    fleet.applyToAll({ before });
    for (std::uint32_t caller = 1; caller <= 100; ++caller) {
        fleet.send(caller % hostCount, firstPacket(caller, before));
        fleet.send(caller % hostCount, laterPacket(caller, before));
    }
    fleet.applyToAll({ drainingService(epoch_phase::Prepared) });
    const service_config after = drainingService(epoch_phase::Active);
    fleet.applyToAll({ after });
    for (std::uint32_t caller = 1; caller <= 200; ++caller) {
        const std::uint32_t server = choiceOf(after, caller <= 100 ? 0 : 1, caller);
        if (caller > 100)
            cr_assert(fleet.send(caller % hostCount, firstPacket(caller, after)).isForwardedTo(server));
        for (std::size_t host = 0; host < hostCount; ++host)
            cr_assert(fleet.send(host, laterPacket(caller, after)).isForwardedTo(server));
    }
}

// When the owner of a tracked flow dies, the backup must still have the flow's server.
Test(packet_engine, backup_takes_over_from_dead_owner)
{
    engine_fleet fleet(hostCount);
    const service_config before = makeService(4);
    fleet.applyToAll({ drainingService(epoch_phase::Prepared) });
    fleet.applyToAll({ drainingService(epoch_phase::Active) });
    const std::uint32_t caller = callerOnServer1();
    const packet_summary first = firstPacket(caller, before);
    const std::uint32_t server = choiceOf(drainingService(epoch_phase::Active), 1, caller);
    cr_assert(fleet.send(fleet.uninvolvedHost(first), first).isForwardedTo(server));
    const std::size_t owner = fleet.ownerAndBackup(first).first;
    fleet.setDown(owner, true);
    fleet.setOwnersAtAllHosts(fleet.hostsExcept({ owner }));
    for (std::size_t host = 0; host < hostCount; ++host) {
        if (host != owner)
            cr_assert(fleet.send(host, laterPacket(caller, before)).isForwardedTo(server));
    }
}
