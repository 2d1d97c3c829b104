#include "tagged_log_worker.hpp"

#include <array>
#include <charconv>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include <shallotcove/daemon/clock.hpp>

namespace shallotcove::daemon {

namespace {

    constexpr std::chrono::seconds reportInterval { 1 };
    // Maximum number of notes written in one round, so that lines of the control thread are not delayed by
    // many lines about flows.
    constexpr std::size_t maximumNotesPerRound = 64;

    std::int64_t milliseconds(core::duration time)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    }

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
    const bool hasNotes = writeNotes();
    if (monotonicNow() >= m_nextReport)
        reportDropped();
    return hasTasks || hasNotes;
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

bool tagged_log_worker::writeNotes()
{
    for (std::size_t lines = 0; lines < maximumNotesPerRound; ++lines) {
        const std::optional<packet_note> note = m_channels.notes.pop();
        if (!note)
            return lines > 0;
        if (const auto* const steeringNote = std::get_if<steering::steering_note>(&*note)) {
            count(*steeringNote);
            if (tryTakeLine())
                write(*steeringNote);
        } else if (tryTakeLine()) {
            std::visit([this](const auto& entry) { write(entry); }, *note);
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

void tagged_log_worker::count(const steering::steering_note& note)
{
    using kind = steering::note_kind;
    if (note.kind == kind::FlowPlaced || note.kind == kind::FlowPlacedAgain)
        m_metrics.add(metric::FlowsOffered, { note.kind == kind::FlowPlaced ? "first" : "again" }, 1);
    if (note.kind == kind::FlowEnded)
        m_metrics.observe(
            metric::FlowTime, { note.subject }, std::chrono::duration<double> { note.elapsed }.count());
    if (note.kind == kind::ServerUnanswered)
        m_metrics.add(metric::ServersSuspected, { "server" }, 1);
    if (note.kind == kind::ServerSuspected || note.kind == kind::DataCentreSuspected)
        m_metrics.add(
            metric::ServersSuspected, { note.kind == kind::ServerSuspected ? "server" : "dataCentre" }, 1);
}

void tagged_log_worker::write(const steering::steering_note& note)
{
    const std::string server = hexadecimal(note.wireId);
    switch (note.kind) {
    case steering::note_kind::FlowPlaced:
        return m_log.write<event::FlowPlaced>(note.flow.toString(), server, note.subject, note.openFlows,
            note.neighbourFlows, note.permitted, note.trusted, note.configVersion);
    case steering::note_kind::FlowWaiting:
        return m_log.write<event::FlowWaiting>(
            note.flow.toString(), note.subject, note.permitted, note.trusted, note.configVersion);
    case steering::note_kind::FlowPlacedAgain:
        return m_log.write<event::FlowPlacedAgain>(note.flow.toString(), server, note.subject, note.openFlows,
            note.neighbourFlows, note.permitted, note.trusted, note.configVersion, note.attempt,
            milliseconds(note.elapsed));
    case steering::note_kind::FlowDeclined:
        return m_log.write<event::FlowDeclined>(
            note.flow.toString(), textOf(note.reason), note.configVersion);
    case steering::note_kind::FlowRefused:
        return m_log.write<event::FlowRefused>(
            note.flow.toString(), textOf(note.reason), note.permitted, note.trusted, note.configVersion);
    case steering::note_kind::FlowEnded:
        return m_log.write<event::FlowEnded>(
            note.flow.toString(), server, note.attempt, milliseconds(note.elapsed));
    case steering::note_kind::FlowAbandoned:
        return m_log.write<event::FlowAbandoned>(
            note.flow.toString(), server, note.attempt, milliseconds(note.elapsed));
    case steering::note_kind::ServerSuspected:
        return m_log.write<event::ServerSuspected>(server, note.unanswered, note.openFlows);
    case steering::note_kind::ServerTrusted:
        return m_log.write<event::ServerTrusted>(server);
    case steering::note_kind::ServerUnanswered:
        return m_log.write<event::ServerUnanswered>(server, note.openFlows);
    case steering::note_kind::DataCentreSuspected:
        return m_log.write<event::DataCentreSuspected>(note.subject, server);
    case steering::note_kind::DataCentreTrusted:
        return m_log.write<event::DataCentreTrusted>(note.subject, server);
    }
}

} // namespace shallotcove::daemon
