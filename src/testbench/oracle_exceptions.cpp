#include "oracle_exceptions.hpp"

#include <algorithm>

namespace shallotcove::testbench {

namespace {

    /// Two failures, or a failure and a planned change, that are this close together count as simultaneous.
    constexpr core::duration simultaneous = std::chrono::seconds { 10 };

    core::timestamp endOfRecovery(const disturbance& item)
    {
        // The maximum marks a disturbance that still lasts; adding to it would overflow.
        return item.to.sinceStart == core::duration::max() ? item.to : item.to + recoveryTime;
    }

    bool isHostFailure(const disturbance& item)
    {
        return item.kind == disturbance_kind::HostLost || item.kind == disturbance_kind::HostPaused;
    }

    bool isNearPlannedChange(const run_history& history, core::timestamp at)
    {
        const bool isChanged = std::any_of(
            history.accepted.begin(), history.accepted.end(), [&](const accepted_change& change) {
                return change.at >= at - simultaneous && change.at <= at + simultaneous;
            });
        return isChanged
            || std::any_of(
                history.disturbances.begin(), history.disturbances.end(), [&](const disturbance& item) {
                    return (item.kind == disturbance_kind::HostLeft
                               || item.kind == disturbance_kind::HostStarted)
                        && item.from >= at - simultaneous && item.from <= at + simultaneous;
                });
    }

    bool isServerLost(const run_history& history, const flow_record& flow)
    {
        const bool isRemoved = std::any_of(
            history.accepted.begin(), history.accepted.end(), [&](const accepted_change& change) {
                const bool isServer = change.kind == accepted_kind::ServerRemoved
                    && change.service == flow.service && change.server == flow.server;
                const bool isService
                    = change.kind == accepted_kind::ServiceRemoved && change.service == flow.service;
                return (isServer || isService) && change.at <= flow.ended;
            });
        const bool hasDied = std::any_of(
            history.disturbances.begin(), history.disturbances.end(), [&](const disturbance& item) {
                return item.kind == disturbance_kind::ServerDied && item.service == flow.service
                    && item.target == flow.server && item.from <= flow.ended;
            });
        return isRemoved || hasDied;
    }

} // namespace

std::string formatSeconds(core::timestamp time)
{
    return std::to_string(std::chrono::duration<double>(time.sinceStart).count()) + " s";
}

bool isDisturbed(const run_history& history, core::timestamp from, core::timestamp to)
{
    return std::any_of(
        history.disturbances.begin(), history.disturbances.end(), [&](const disturbance& item) {
            return item.kind != disturbance_kind::ServerDied && item.from <= to
                && endOfRecovery(item) >= from;
        });
}

std::uint32_t dataCentreOf(const run_history& history, std::uint32_t service, std::uint32_t server)
{
    for (const accepted_change& change : history.accepted)
        if (change.kind == accepted_kind::ServerAdded && change.service == service && change.server == server)
            return change.dataCentre;
    return history.dataCentres;
}

bool isOutDuring(
    const run_history& history, std::uint32_t dataCentre, core::timestamp from, core::timestamp to)
{
    bool isOut {};
    for (const accepted_change& change : history.accepted) {
        if (change.at > to)
            break;
        if (change.dataCentre != dataCentre
            || (change.kind != accepted_kind::DataCentreOut && change.kind != accepted_kind::DataCentreIn))
            continue;
        if (isOut && change.at >= from)
            return true;
        isOut = change.kind == accepted_kind::DataCentreOut;
    }
    return isOut;
}

bool isBreakAllowed(const run_history& history, const flow_record& flow)
{
    const std::uint32_t dataCentre = dataCentreOf(history, flow.service, flow.server);
    if (isServerLost(history, flow) || isOutDuring(history, dataCentre, flow.opened, flow.ended))
        return true;
    const disturbance* previous {};
    for (const disturbance& item : history.disturbances) {
        if (item.from > flow.ended || endOfRecovery(item) < flow.opened)
            continue;
        if (item.kind == disturbance_kind::Partition)
            return true;
        // A caller stops retransmitting after 15 s; with message loss all transmissions may be lost by
        // chance.
        if (item.kind == disturbance_kind::MessageLoss && flow.end == flow_end::Lost)
            return true;
        if (!isHostFailure(item))
            continue;
        if (isNearPlannedChange(history, item.from)
            || (previous != nullptr && endOfRecovery(*previous) >= item.from))
            return true;
        previous = &item;
    }
    return false;
}

} // namespace shallotcove::testbench
