#include "tagged_log_worker.hpp"

#include <array>
#include <charconv>
#include <cmath>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include <shallotcove/daemon/clock.hpp>

namespace shallotcove::daemon {

namespace {

    constexpr std::chrono::seconds reportInterval { 1 };
    // Maximum number of events written in one round, so that lines of the control thread are not delayed by
    // many lines about flows.
    constexpr std::size_t maximumEventsPerRound = 64;

    constexpr double hundredSlots = 100;

    std::int64_t milliseconds(core::duration time)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    }

    // Bounds the labels of the metrics.
    constexpr std::size_t maximumRooms = 64;

    std::uint64_t rounded(double number) { return static_cast<std::uint64_t>(std::llround(number)); }

    std::string hexadecimal(std::uint64_t number)
    {
        std::array<char, 16> digits {};
        const std::to_chars_result end
            = std::to_chars(digits.data(), digits.data() + digits.size(), number, 16);
        return { digits.data(), end.ptr };
    }

} // namespace

tagged_log_worker::tagged_log_worker(
    event_log& log, metrics& metrics, tagged_channels& channels, std::size_t linesPerSecond)
    : m_log(log)
    , m_metrics(metrics)
    , m_channels(channels)
    , m_lineBudget(static_cast<double>(linesPerSecond), static_cast<double>(linesPerSecond),
          static_cast<double>(linesPerSecond), monotonicNow())
    , m_nextReport(monotonicNow() + reportInterval)
{
}

bool tagged_log_worker::runOnce()
{
    const bool hasTasks = writeTasks();
    const bool hasEvents = writeEvents();
    if (monotonicNow() >= m_nextReport)
        reportDropped();
    return hasTasks || hasEvents;
}

bool tagged_log_worker::writeTasks()
{
    bool hasTasks = false;
    while (const std::optional<log_task> task = m_channels.logTasks.pop()) {
        hasTasks = true;
        (*task)(m_log);
    }
    return hasTasks;
}

bool tagged_log_worker::writeEvents()
{
    for (std::size_t lines = 0; lines < maximumEventsPerRound; ++lines) {
        const std::optional<packet_event> packetEvent = m_channels.packetEvents.pop();
        if (!packetEvent)
            return lines > 0;
        if (const auto* const steeringEvent = std::get_if<steering::steering_event>(&*packetEvent)) {
            count(*steeringEvent);
            if (tryTakeLine())
                write(*steeringEvent);
        } else if (const auto* const report = std::get_if<room_report>(&*packetEvent)) {
            write(*report);
        } else if (tryTakeLine()) {
            std::visit([this](const auto& entry) { write(entry); }, *packetEvent);
        }
    }
    return true;
}

bool tagged_log_worker::tryTakeLine()
{
    const bool isAllowed = m_lineBudget.take(1, monotonicNow());
    m_droppedLines += isAllowed ? 0 : 1;
    return isAllowed;
}

void tagged_log_worker::reportDropped()
{
    m_nextReport = monotonicNow() + reportInterval;
    const std::uint64_t dropped = std::exchange(m_droppedLines, 0);
    if (dropped == 0)
        return;
    m_metrics.add(metric::LogLinesDropped, {}, static_cast<double>(dropped));
    m_log.write<event::LogLinesDropped>(dropped);
}

void tagged_log_worker::write(const host_pause& pause)
{
    m_log.write<event::HostPaused>(pause.length.count());
}

void tagged_log_worker::write(const readiness_change& change)
{
    m_log.write<event::ReadinessChanged>(textOf(change.from), textOf(change.to), change.unreachablePercent);
}

void tagged_log_worker::write(const room_report& report)
{
    const std::set<room_labels> former = std::exchange(m_currentRooms, {});
    for (const reported_room& entry : report.rooms) {
        const room_labels labels { entry.service, entry.room.dataCentre };
        if (!m_knownRooms.contains(labels) && m_knownRooms.size() >= maximumRooms)
            continue;
        m_knownRooms.insert(labels);
        m_currentRooms.insert(labels);
        setRoom(labels, entry.room);
    }
    // A service that no longer has long flows has no room.
    for (const room_labels& labels : former) {
        if (!m_currentRooms.contains(labels))
            setRoom(labels, {});
    }
}

void tagged_log_worker::setRoom(const room_labels& labels, const steering::service_room& room)
{
    m_metrics.set(metric::ServiceUsableSlots, { labels.first, labels.second }, room.usableSlots);
    m_metrics.set(metric::ServiceRequests, { labels.first, labels.second }, room.requestsInProgress);
    m_metrics.set(metric::ServiceFreeSlots, { labels.first, labels.second }, room.freeSlots);
}

void tagged_log_worker::count(const steering::steering_event& steeringEvent)
{
    using kind = steering::steering_event_kind;
    if (steeringEvent.kind == kind::FlowPlaced || steeringEvent.kind == kind::FlowPlacedAgain)
        m_metrics.add(
            metric::FlowsOffered, { steeringEvent.kind == kind::FlowPlaced ? "first" : "again" }, 1);
    if (steeringEvent.kind == kind::FlowWaiting)
        m_metrics.add(
            metric::RouteWaits, { steeringEvent.subject, std::to_string(steeringEvent.priority) }, 1);
    if (steeringEvent.kind == kind::FlowRefused)
        m_metrics.add(
            metric::RouteRefusals, { steeringEvent.subject, std::to_string(steeringEvent.priority) }, 1);
    if (steeringEvent.kind == kind::FlowPlaced && steeringEvent.hasWaited)
        m_metrics.observe(metric::RouteWaitTime, { steeringEvent.subject },
            std::chrono::duration<double> { steeringEvent.elapsed }.count());
    if (steeringEvent.kind == kind::FlowLimitChanged)
        m_metrics.set(metric::FlowLimit, { steeringEvent.subject }, steeringEvent.flowsPerSlot);
    if (steeringEvent.kind == kind::FlowEnded)
        m_metrics.observe(metric::FlowTime, { steeringEvent.subject },
            std::chrono::duration<double> { steeringEvent.elapsed }.count());
    if (steeringEvent.kind == kind::ServerUnanswered)
        m_metrics.add(metric::ServersSuspected, { "server" }, 1);
    if (steeringEvent.kind == kind::ServerSuspected || steeringEvent.kind == kind::DataCentreSuspected)
        m_metrics.add(metric::ServersSuspected,
            { steeringEvent.kind == kind::ServerSuspected ? "server" : "dataCentre" }, 1);
}

void tagged_log_worker::write(const steering::steering_event& steeringEvent)
{
    const std::string server = hexadecimal(steeringEvent.wireId);
    switch (steeringEvent.kind) {
    case steering::steering_event_kind::FlowPlaced:
        return m_log.write<event::FlowPlaced>(steeringEvent.flow.toString(), server, steeringEvent.subject,
            steeringEvent.openFlows, steeringEvent.neighbourFlows, steeringEvent.permitted,
            steeringEvent.trusted, steeringEvent.configVersion);
    case steering::steering_event_kind::FlowWaiting:
        return m_log.write<event::FlowWaiting>(steeringEvent.flow.toString(), steeringEvent.subject,
            steeringEvent.priority, steeringEvent.permitted, steeringEvent.trusted,
            steeringEvent.configVersion);
    case steering::steering_event_kind::FlowPlacedAgain:
        return m_log.write<event::FlowPlacedAgain>(steeringEvent.flow.toString(), server,
            steeringEvent.subject, steeringEvent.openFlows, steeringEvent.neighbourFlows,
            steeringEvent.permitted, steeringEvent.trusted, steeringEvent.configVersion,
            steeringEvent.attempt, milliseconds(steeringEvent.elapsed));
    case steering::steering_event_kind::FlowDeclined:
        return m_log.write<event::FlowDeclined>(
            steeringEvent.flow.toString(), textOf(steeringEvent.reason), steeringEvent.configVersion);
    case steering::steering_event_kind::FlowRefused:
        return m_log.write<event::FlowRefused>(steeringEvent.flow.toString(), textOf(steeringEvent.reason),
            steeringEvent.subject, steeringEvent.priority, steeringEvent.permitted, steeringEvent.trusted,
            steeringEvent.configVersion);
    case steering::steering_event_kind::FlowEnded:
        return m_log.write<event::FlowEnded>(steeringEvent.flow.toString(), server, steeringEvent.attempt,
            milliseconds(steeringEvent.elapsed));
    case steering::steering_event_kind::FlowAbandoned:
        return m_log.write<event::FlowAbandoned>(steeringEvent.flow.toString(), server, steeringEvent.attempt,
            milliseconds(steeringEvent.elapsed));
    case steering::steering_event_kind::ServerSuspected:
        return m_log.write<event::ServerSuspected>(server, steeringEvent.unanswered, steeringEvent.openFlows);
    case steering::steering_event_kind::ServerTrusted:
        return m_log.write<event::ServerTrusted>(server);
    case steering::steering_event_kind::ServerUnanswered:
        return m_log.write<event::ServerUnanswered>(server, steeringEvent.openFlows);
    case steering::steering_event_kind::ServerWithoutTag:
        return m_log.write<event::ServerWithoutTag>(steeringEvent.subject, server);
    case steering::steering_event_kind::DataCentreSuspected:
        return m_log.write<event::DataCentreSuspected>(steeringEvent.subject, server);
    case steering::steering_event_kind::DataCentreTrusted:
        return m_log.write<event::DataCentreTrusted>(steeringEvent.subject, server);
    case steering::steering_event_kind::ServiceFull:
        return m_log.write<event::ServiceFull>(steeringEvent.subject, steeringEvent.dataCentre,
            rounded(steeringEvent.usableSlots), rounded(steeringEvent.requestsInProgress),
            steeringEvent.permitted, steeringEvent.trusted, steeringEvent.slowServers);
    case steering::steering_event_kind::ServiceFree:
        return m_log.write<event::ServiceFree>(steeringEvent.subject, steeringEvent.dataCentre,
            rounded(steeringEvent.usableSlots), rounded(steeringEvent.requestsInProgress),
            steeringEvent.permitted, steeringEvent.trusted, steeringEvent.slowServers);
    case steering::steering_event_kind::FlowLimitChanged:
        return m_log.write<event::FlowLimitChanged>(
            steeringEvent.subject, std::lround(hundredSlots * steeringEvent.flowsPerSlot));
    }
}

} // namespace shallotcove::daemon
