#include <shallotcove/core/packet_engine.hpp>

#include <algorithm>
#include <map>
#include <vector>

#include <criterion/criterion.h>

#include "engine_fleet.hpp"

using namespace shallotcove::core;
using namespace shallotcove::core::testing;

namespace {

constexpr duration second = std::chrono::seconds { 1 };

const service_config service = makeService(4);

/// Applies a limit of a server to all hosts.
void limitServer(engine_fleet& fleet, std::size_t hosts, std::uint32_t server, limit_stage stage,
    std::uint32_t newFlowsPerSecond, limit_kind kind = limit_kind::Cold)
{
    for (std::size_t host = 0; host < hosts; ++host) {
        fleet.nextSnapshot(host).limits.push_back(
            { { service.id, { server }, 1, {}, kind, newFlowsPerSecond }, stage, fleet.now() });
        fleet.apply(host);
    }
}

/// Offers 3,000 new flows over 10 s, a quarter of them for server 1, and returns how many were forwarded
/// there. Checks that at no time more were forwarded than the limit of 10 a second allows since the start.
std::uint32_t offerFlows(engine_fleet& fleet, std::size_t hosts, limit_stage stage)
{
    const timestamp start = fleet.now();
    std::uint32_t admitted {};
    for (std::uint32_t caller = 1; caller <= 3000; ++caller) {
        const decision result = fleet.send(caller % hosts, firstPacket(caller, service)).finalDecision;
        admitted += result.kind == decision_kind::Forward && result.server.value == 1 ? 1 : 0;
        cr_assert(admitted * second <= 10 * (fleet.now() - start), "%u flows", admitted);
        // While some hosts may not know the limit, it must not cause any flow to be placed elsewhere.
        if (stage == limit_stage::Pending && choiceOf(service, 0, caller) == 1)
            cr_assert(result.server.value == 1 || result.dropped == drop_reason::LimitPending);
        if (caller % 3 == 0)
            fleet.run(second / 100);
    }
    return admitted;
}

} // namespace

// All hosts together must not send a cold server more new flows than its limit, even while a partition hides
// some of them from each other.
Test(packet_engine_limit, cold_server_gets_at_most_its_limit)
{
    for (const bool isPartitioned : { false, true }) {
        for (const limit_stage stage : { limit_stage::Pending, limit_stage::Effective }) {
            engine_fleet fleet(9);
            fleet.applyToAll({ service });
            limitServer(fleet, 9, 1, stage, 10);
            for (std::size_t host = 0; isPartitioned && host < 9; ++host)
                fleet.setOwners(host,
                    host < 4 ? std::vector<std::size_t> { 0, 1, 2, 3 }
                             : std::vector<std::size_t> { 4, 5, 6, 7, 8 });
            const std::uint32_t admitted = offerFlows(fleet, 9, stage);
            cr_assert(admitted >= 30, "%u: the limit was hardly used", admitted);
        }
    }
}

// If a flow overflows from a limited server to the next one, its packets must go there from every host that
// they enter at.
Test(packet_engine_limit, overflow_goes_to_the_next_server)
{
    engine_fleet fleet(5);
    const std::vector<std::size_t> hosts = fleet.hostsExcept({});
    fleet.applyToAll({ service });
    limitServer(fleet, 5, 1, limit_stage::Effective, 1);
    std::uint32_t overflowed {};
    for (std::uint32_t caller = 1; caller <= 200; ++caller) {
        const packet_outcome placed = fleet.send(caller % 5, firstPacket(caller, service));
        cr_assert(placed.finalDecision.kind == decision_kind::Forward);
        for (std::size_t host = 0; host < 5; ++host)
            cr_assert(fleet.send(host, laterPacket(caller, service))
                          .isForwardedTo(placed.finalDecision.server.value));
        overflowed += placed.finalDecision.server.value != choiceOf(service, 0, caller) ? 1 : 0;
    }
    cr_assert(overflowed >= 20, "%u", overflowed);
    // The limit must be kept while a flow depends on it.
    fleet.run(second);
    cr_assert(std::any_of(hosts.begin(), hosts.end(),
        [&](std::size_t host) { return fleet.output(host).blockedServices.size() == 1; }));
}

// A first packet must not be refused while another owner may have placed an earlier copy of it.
Test(packet_engine_limit, refuses_only_when_certain)
{
    engine_fleet fleet(2);
    fleet.applyToAll({ service });
    for (std::uint32_t server = 1; server <= 4; ++server)
        limitServer(fleet, 2, server, limit_stage::Effective, 0, limit_kind::Dead);
    const packet_summary first = firstPacket(1, service);
    cr_assert(fleet.send(0, first).finalDecision.dropped == drop_reason::AdmissionUncertain);
    fleet.run(second * 79 / 10);
    cr_assert(fleet.send(0, first).finalDecision.dropped == drop_reason::AdmissionUncertain);
    fleet.run(second / 5);
    cr_assert(fleet.send(0, first).finalDecision.refused == refusal_reason::NoCapacity);
    // A change of owners restarts the window, because another owner may have placed the flow before.
    fleet.setOwnersAtAllHosts({ 0 });
    cr_assert(fleet.send(0, first).finalDecision.dropped == drop_reason::AdmissionUncertain);
}

// A burst of new flows from one caller class must not use the share of other classes.
Test(packet_engine_limit, class_limit_spares_other_classes)
{
    engine_fleet fleet(2);
    service_config classes = service;
    classes.classes.push_back({ "planners", ip_address::fromV4(0x0a000000), 119, 20 });
    classes.classes.push_back({ "offices", ip_address::fromV4(0x0a000100), 120, 1000 });
    fleet.applyToAll({ classes });
    std::uint32_t forwarded {};
    for (std::uint32_t caller = 1; caller <= 200; ++caller) {
        const decision result = fleet.send(caller % 2, firstPacket(caller, classes)).finalDecision;
        const bool isRefused
            = result.kind == decision_kind::Refuse && result.refused == refusal_reason::ClassLimit;
        cr_assert(isRefused || result.kind == decision_kind::Forward);
        forwarded += isRefused ? 0 : 1;
        cr_assert(fleet.send(caller % 2, firstPacket(0x100 + caller % 256, classes)).finalDecision.kind
            == decision_kind::Forward);
    }
    cr_assert(forwarded == 20, "%u", forwarded);
    fleet.run(second / 10);
    std::uint32_t refused {};
    for (std::size_t host = 0; host < 2; ++host) {
        for (const class_evidence& evidence : fleet.classEvidence(host))
            refused += evidence.callerClass == 0 ? evidence.refused : 0;
    }
    cr_assert(refused == 180, "%u", refused);
}

// No packet may go to a data centre that is out. Packets of its open flows must be refused, not sent to
// another server.
Test(packet_engine_limit, data_centre_that_is_out_gets_no_packets)
{
    engine_fleet fleet(3);
    service_config twoDataCentres = service;
    twoDataCentres.servers[0].dataCentre = "b";
    fleet.applyToAll({ twoDataCentres });
    const std::uint32_t establishedCaller = callerOnServer1();
    const std::uint32_t newCaller = findCaller([&](std::uint32_t caller) {
        return caller != establishedCaller && choiceOf(service, 0, caller) == 1;
    });
    fleet.send(0, firstPacket(establishedCaller, service));
    fleet.send(0, laterPacket(establishedCaller, service));
    for (std::size_t host = 0; host < 3; ++host)
        fleet.nextSnapshot(host).dataCentresOut = { "b" };
    const auto expectRefusals = [&]() {
        for (std::size_t host = 0; host < 3; ++host) {
            const decision result = fleet.send(host, laterPacket(establishedCaller, service)).finalDecision;
            cr_assert(result.kind == decision_kind::Refuse);
            cr_assert(result.refused == refusal_reason::DataCentreOut);
        }
    };
    for (const epoch_phase phase : { epoch_phase::Active, epoch_phase::Prepared }) {
        if (phase == epoch_phase::Prepared)
            addEpoch(twoDataCentres, phase, { 2, 3, 4 });
        fleet.applyToAll({ twoDataCentres });
        expectRefusals();
        const decision result = fleet.send(1, firstPacket(newCaller, service)).finalDecision;
        cr_assert(result.kind == decision_kind::Drop && result.dropped == drop_reason::DataCentreOut);
    }
    twoDataCentres.epochs.back().phase = epoch_phase::Active;
    fleet.applyToAll({ twoDataCentres });
    expectRefusals();
    cr_assert(
        fleet.send(1, firstPacket(newCaller, service)).isForwardedTo(choiceOf(twoDataCentres, 1, newCaller)));
}

// Datagram flows must keep their server when an epoch becomes active, although a datagram does not show
// whether it is the first one of its flow.
Test(packet_engine_limit, datagram_flows_are_tracked_before_activation)
{
    engine_fleet fleet(5);
    service_config datagrams = drainingService(epoch_phase::Prepared);
    datagrams.protocol = transport::Udp;
    const epoch_plan next = datagrams.epochs.back();
    datagrams.epochs.pop_back();
    fleet.applyToAll({ datagrams });
    for (std::uint32_t caller = 1; caller <= 100; ++caller)
        fleet.send(caller % 5, laterPacket(caller, datagrams));
    datagrams.epochs.push_back(next);
    fleet.applyToAll({ datagrams });
    cr_assert(fleet.output(0).preparedScanIndex < config_index { 2 });
    fleet.run(second);
    for (std::size_t host = 0; host < 5; ++host)
        cr_assert(fleet.output(host).preparedScanIndex == config_index { 2 });
    datagrams.epochs.back().phase = epoch_phase::Active;
    fleet.applyToAll({ datagrams });
    for (std::uint32_t caller = 1; caller <= 200; ++caller) {
        const std::uint32_t server = choiceOf(datagrams, caller <= 100 ? 0 : 1, caller);
        for (std::size_t host = 0; host < 5; ++host)
            cr_assert(
                fleet.send(host, laterPacket(caller, datagrams)).isForwardedTo(server), "caller %u", caller);
    }
}

// The byte budget for track batches must hold when many tracked flows need new owners at once.
Test(packet_engine_limit, track_batches_stay_within_their_budget)
{
    engine_fleet fleet(2);
    const service_config active = drainingService(epoch_phase::Active);
    fleet.applyToAll({ active });
    fleet.setOwnersAtAllHosts({ 0 });
    for (std::uint32_t caller = 1; caller <= 3000; ++caller)
        fleet.send(0, firstPacket(caller, active));
    fleet.run(second);
    fleet.setOwnersAtAllHosts({ 0, 1 });
    fleet.run(second);
    // Two seconds of budget: one saved up before the change of owners and one since.
    cr_assert(fleet.trackedFlowsSent() > 0 && fleet.trackedFlowsSent() * 24 <= 2 * 6000);
    fleet.run(5 * second);
    cr_assert(fleet.engine(1).trackedFlowCount() == fleet.engine(0).trackedFlowCount());
}

// A hint from the owner has to end the redirects of a flow at its entry host.
Test(packet_engine_limit, hint_ends_redirects)
{
    engine_fleet fleet(5);
    const service_config active = drainingService(epoch_phase::Active);
    fleet.applyToAll({ active });
    fleet.run(9 * second);
    const std::uint32_t caller = callerOnServer1();
    const packet_summary first = firstPacket(caller, active);
    const std::size_t entry = fleet.uninvolvedHost(first);
    cr_assert(fleet.send(entry, first).hops == 2);
    cr_assert(fleet.send(entry, laterPacket(caller, active)).hops == 1);
    fleet.run(second / 100);
    const packet_outcome result = fleet.send(entry, laterPacket(caller, active));
    cr_assert(result.hops == 0 && result.isForwardedTo(choiceOf(active, 1, caller)));
}

// Server evidence must not make a healthy server look dead because packets of its flows enter at different
// hosts, and it must show a server that is dead.
Test(packet_engine_limit, evidence_of_flows_spread_over_hosts)
{
    engine_fleet fleet(9);
    fleet.applyToAll({ service });
    std::map<std::uint32_t, std::uint32_t> flows;
    for (std::uint32_t caller = 1; caller <= 2000; ++caller) {
        const std::uint32_t server = choiceOf(service, 0, caller);
        ++flows[server];
        fleet.send(caller % 9, firstPacket(caller, service));
        for (std::uint32_t packet = 1; packet <= 3 && server != 1; ++packet)
            fleet.send((caller * 7 + packet * 5) % 9, laterPacket(caller, service));
        if (caller % 5 == 0)
            fleet.run(second / 100);
    }
    fleet.run(3 * second);
    cr_assert(fleet.evidence(1).newFlows == flows[1]);
    // Each host leaves out its first 6 silent flows, which may be due to random variation.
    cr_assert(fleet.evidence(1).silentFlows == flows[1] - 9 * 6);
    cr_assert(fleet.evidence(1).establishedFlows == 0);
    // Below the share of silent flows up to which limit_policy considers a server healthy.
    const server_evidence healthy = fleet.evidence(2);
    cr_assert(healthy.silentFlows * 20 < healthy.establishedFlows, "%u silent", healthy.silentFlows);
}

// When a table is full, established flows must not break, and new flows that cannot be recorded must be
// refused.
Test(packet_engine_limit, full_table_refuses_only_new_flows)
{
    packet_engine_options options = engine_fleet::smallTableOptions();
    options.trackedFlows = 64;
    engine_fleet fleet(1, options);
    const service_config active = drainingService(epoch_phase::Active);
    fleet.applyToAll({ active });
    fleet.run(9 * second);
    std::uint32_t refused {};
    for (std::uint32_t caller = 1; caller <= 1000; ++caller) {
        const decision placed = fleet.send(0, firstPacket(caller, active)).finalDecision;
        if (placed.refused == refusal_reason::TableFull)
            ++refused;
        else
            cr_assert(fleet.send(0, laterPacket(caller, active)).isForwardedTo(choiceOf(active, 1, caller)));
    }
    cr_assert(refused > 0 && fleet.engine(0).trackedFlowCount() == 64);
}

// A refusal tells the caller that its request was not run. A repeated first packet must not be refused if an
// earlier copy was forwarded before its server was limited as dead. Found by fleet_fuzz --seed 2 --invariant
// I6.
Test(packet_engine_limit, repeated_first_packet_at_dead_server_is_dropped)
{
    engine_fleet fleet(1);
    fleet.applyToAll({ service });
    const packet_summary first = firstPacket(callerOnServer1(), service);
    cr_assert(fleet.send(0, first).isForwardedTo(1));
    limitServer(fleet, 1, 1, limit_stage::Effective, 0, limit_kind::Dead);
    fleet.run(second);
    cr_assert(fleet.send(0, first).finalDecision.kind == decision_kind::Drop);
    // After the retransmission window, a first packet is a new attempt of the caller.
    fleet.run(9 * second);
    cr_assert(fleet.send(0, first).finalDecision.refused == refusal_reason::AddressPairReused);
}

// A repeated first packet must not be refused if its flow reuses the address pair of an earlier one, because
// a copy of the packet may have been forwarded. Found by fleet_fuzz --seed 10 --invariant I6.
Test(packet_engine_limit, repeated_first_packet_of_a_reused_pair_is_not_refused)
{
    engine_fleet fleet(1);
    fleet.applyToAll({ service });
    const packet_summary first = firstPacket(callerOnServer1(), service);
    fleet.send(0, first);
    fleet.send(0, laterPacket(callerOnServer1(), service));
    cr_assert(fleet.send(0, first).isForwardedTo(1));
    limitServer(fleet, 1, 1, limit_stage::Effective, 0, limit_kind::Dead);
    cr_assert(fleet.send(0, first).finalDecision.kind == decision_kind::Drop);
}
