#include "tagged_metrics.hpp"

#include <shallotcove/daemon/metrics.hpp>
#include <shallotcove/daemon/tagged_channels.hpp>
#include <shallotcove/steering/hold_end.hpp>

#include "store_follower_counts.hpp"

namespace shallotcove::daemon {

void refreshMetrics(metrics& target, const tagged_channels& channels, const store_follower_counts& counts,
    std::uint64_t revision)
{
    const tagged_counters& counters = channels.counters;
    const auto total = [](const relaxed_counter& counter) { return static_cast<double>(counter.value()); };
    target.raiseTo(metric::PacketsReceived, { "caller" }, total(counters.fromCallers));
    target.raiseTo(metric::PacketsReceived, { "neighbour" }, total(counters.fromNeighbours));
    target.raiseTo(metric::PacketsForwarded, {}, total(counters.forwarded));
    for (std::size_t index = 0; index < counters.refused.size(); ++index) {
        const char* const reason = textOf(static_cast<steering::packet_reason>(index));
        if (counters.refused[index].value() > 0)
            target.raiseTo(metric::PacketsRefused, { reason }, total(counters.refused[index]));
        if (counters.dropped[index].value() > 0)
            target.raiseTo(metric::PacketsDropped, { reason }, total(counters.dropped[index]));
    }
    double malformed = 0;
    for (const relaxed_counter& counter : counters.malformed)
        malformed += total(counter);
    target.raiseTo(metric::PacketsDropped, { "malformed" }, malformed);
    target.raiseTo(metric::PacketsDropped, { "malformedNeighbour" }, total(counters.malformedNeighbours));
    target.raiseTo(metric::PacketsDropped, { "sendFailed" }, total(counters.sendFailed));
    target.raiseTo(metric::RequestsHeld, { "held" }, total(counters.requestsHeld));
    for (std::size_t index = 0; index < counters.requestsReleased.size(); ++index)
        target.raiseTo(metric::RequestsHeld, { textOf(static_cast<steering::hold_end>(index)) },
            total(counters.requestsReleased[index]));
    target.set(metric::LocalFlows, {}, static_cast<double>(counters.flows.load()));
    target.set(metric::KnownHosts, {}, static_cast<double>(counters.hosts.load()));
    target.raiseTo(metric::StoreCalls, {}, static_cast<double>(counts.calls));
    target.raiseTo(metric::CatchUps, {}, static_cast<double>(counts.catchUps));
    target.raiseTo(metric::CatchUpCalls, {}, static_cast<double>(counts.catchUpCalls));
    target.set(metric::ConfigIndex, {}, static_cast<double>(revision));
    target.raiseTo(metric::RingDropped, { "notes" }, static_cast<double>(channels.packetEvents.dropped()));
    target.raiseTo(metric::RingDropped, { "logTasks" }, static_cast<double>(channels.logTasks.dropped()));
    const steering::readiness_state current = channels.readiness.load();
    for (const steering::readiness_state state : { steering::readiness_state::Starting,
             steering::readiness_state::Ready, steering::readiness_state::CatchingUp,
             steering::readiness_state::Isolated, steering::readiness_state::Stopping })
        target.set(metric::Readiness, { textOf(state) }, state == current ? 1 : 0);
}

} // namespace shallotcove::daemon
