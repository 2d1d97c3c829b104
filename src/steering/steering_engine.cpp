#include <shallotcove/steering/steering_engine.hpp>

#include <algorithm>
#include <utility>

#include <shallotcove/steering/routing_config.hpp>

namespace shallotcove::steering {

namespace {

    constexpr std::chrono::milliseconds sweepInterval { 250 };
    // Longest time between two calls of advance() that the callers of the library have to bear.
    constexpr std::chrono::seconds longestDeadline { 1 };
    // Flows that wait are looked at this often, besides whenever a flow ends.
    constexpr std::chrono::milliseconds waitingInterval { 20 };
    // Notes that are not taken are dropped beyond this; a host places far fewer flows between two calls.
    constexpr std::size_t maximumNotes = 4096;

} // namespace

steering_engine::steering_engine(steering_options options)
    : m_options(std::move(options))
    , m_random(m_options.randomSeed)
    , m_servers(m_options)
    , m_ledger(m_options.ledgerFlows)
    , m_neighbours(&server_record::neighbourFlows, m_options.neighbourLoadLifetime)
    , m_places(&server_record::farFlows, m_options.neighbourLoadLifetime)
{
    m_cold.setLeastHosts(m_options.assumedHosts);
}

void steering_engine::applyConfig(std::shared_ptr<const routing_config> config)
{
    m_routes.clear();
    m_rules.clear();
    m_config = std::move(config);
    // Of two routes with one address the first holds.
    for (const route& target : m_config->routes)
        m_routes.try_emplace(target.at, &target);
    for (const service_rules& rules : m_config->services)
        m_rules.try_emplace(rules.name, &rules);
}

void steering_engine::applyServer(const server_entry& entry, core::timestamp now)
{
    m_servers.apply(entry, now);
}

void steering_engine::removeServer(std::string_view serverId, bool isDoubtful, core::timestamp now)
{
    m_servers.remove(serverId, isDoubtful, now);
}

void steering_engine::setDataCentreOut(const std::string& dataCentre, bool isOut, core::timestamp now)
{
    if (isOut) {
        m_dataCentresOut.insert(dataCentre);
        m_outSince.try_emplace(dataCentre, now);
        return;
    }
    if (m_dataCentresOut.erase(dataCentre) == 0)
        return;
    m_outSince.erase(dataCentre);
    // Servers that idled while their data centre was out are cold until their entries say otherwise.
    for (const auto& [tag, known] : m_servers.all()) {
        const auto rules = m_rules.find(known.entry.service);
        if (known.entry.dataCentre == dataCentre && rules != m_rules.end()) {
            server_record& record = *m_servers.find(tag);
            record.coldUntil = std::max(record.coldUntil, now + rules->second->coldAfterStart);
        }
    }
}

void steering_engine::applyNeighbourLoads(
    std::uint32_t hostAddress, const load_report& loads, core::timestamp now)
{
    m_neighbours.apply(hostAddress, loads, m_servers, now);
}

void steering_engine::applyFarLoads(
    const std::string& dataCentre, const load_report& loads, core::timestamp now)
{
    m_places.apply(dataCentre, loads, m_servers, now);
}

void steering_engine::setHosts(std::vector<std::uint32_t> hosts, std::uint32_t self, std::size_t neighbours)
{
    m_self = self;
    m_neighbourCount = neighbours;
    m_hostCount = hosts.size();
    m_cold.setHosts(std::move(hosts), self);
}

void steering_engine::trustDataCentre(const std::string& dataCentre)
{
    const auto found = m_dataCentres.find(dataCentre);
    if (found != m_dataCentres.end())
        found->second.recordAnswered();
    for (const auto& [tag, known] : m_servers.all()) {
        if (known.entry.dataCentre == dataCentre)
            m_servers.find(tag)->evidence.reset();
    }
}

packet_decision steering_engine::handlePacket(const caller_packet& packet, core::timestamp now)
{
    if (!m_startedAt)
        m_startedAt = now;
    if (packet.isOpening)
        return handleOpening(packet, now);
    flow_record* record = m_ledger.find(packet.flow);
    if (record != nullptr && record->state == flow_state::Waiting) {
        // The flow was opened through another host, so it no longer waits here.
        forget(packet.flow);
        record = nullptr;
    }
    return record != nullptr ? handleKnown(packet, *record, now) : handleUnknown(packet, now);
}

packet_decision steering_engine::handleOpening(const caller_packet& packet, core::timestamp now)
{
    // A caller can only send an acknowledgement after the opening packet, so this is no caller's packet.
    if (packet.isAcknowledging || packet.isReset || packet.isClosing)
        return { packet_action::Drop, packet_reason::UnknownServer, {}, {}, {} };
    flow_record* record = m_ledger.find(packet.flow);
    if (record != nullptr && record->opening.sequence != packet.sequence) {
        // The caller uses the port for a new flow.
        forget(packet.flow);
        record = nullptr;
    }
    if (record != nullptr && record->state == flow_state::Waiting) {
        record->lastPacketAt = now;
        return { packet_action::Drop, packet_reason::Waiting, {}, {}, {} };
    }
    if (record != nullptr && record->state != flow_state::Opening)
        return { packet_action::Drop, packet_reason::StaleCopy, {}, {}, {} };
    if (!m_isInformed || m_config == nullptr)
        return { packet_action::Drop, packet_reason::NotReady, {}, {}, {} };
    const route* const target = findRoute(packet.flow);
    if (target == nullptr) {
        forget(packet.flow);
        return refuse(packet, packet_reason::NoRoute, {}, now);
    }
    if (record != nullptr) {
        record->lastPacketAt = now;
        return offerAgain(*record, *target, now);
    }
    const std::string* const service = chooseService(*target);
    if (service == nullptr)
        return refuse(packet, packet_reason::NoServer, {}, now);
    countTraffic(*service, now);
    const placement placed = place(*service, nullptr, *target, true, now);
    if (placed.failure == packet_reason::Waiting
        || (placed.server != nullptr && !waitingFor(*service).isEmpty()))
        return hold(packet, *target, *service, placed, now);
    return carryOut(placed, packet, *target, now);
}

packet_decision steering_engine::offerAgain(flow_record& record, const route& target, core::timestamp now)
{
    const server_record* const former = m_servers.find(record.server);
    // The route may lead elsewhere since the flow was first offered.
    const bool isStillTarget = former != nullptr
        && std::any_of(target.targets.begin(), target.targets.end(), [former](const weighted_service& entry) {
               return entry.weight > 0 && entry.service == former->entry.service;
           });
    const std::string* const service = isStillTarget ? &former->entry.service : chooseService(target);
    const caller_packet opening = record.opening;
    if (service == nullptr) {
        forget(opening.flow);
        return refuse(opening, packet_reason::NoServer, {}, now);
    }
    countTraffic(*service, now);
    return carryOut(place(*service, &record, target, false, now), opening, target, now);
}

placement steering_engine::place(const std::string& service, const flow_record* record, const route& target,
    bool isLimited, core::timestamp now)
{
    static const std::vector<server_tag> none;
    placement_context context = contextFor(service, now);
    context.isLimited = isLimited;
    return placeFlow(
        m_servers.serversOf(service), record != nullptr ? record->offered : none, target, context);
}

packet_decision steering_engine::hold(const caller_packet& packet, const route& target,
    const std::string& service, const placement& placed, core::timestamp now)
{
    waiting_flows& waiting = waitingFor(service);
    const core::timestamp sentAt = now - packet.age;
    const bool hasTimeout = target.timeout > std::chrono::milliseconds::zero();
    const core::duration timeout = hasTimeout ? core::duration(target.timeout) : m_options.idleFlow;
    const waiting_flow entry { packet.flow, target.priority, now, sentAt + target.latencyGoal,
        sentAt + m_options.openingTimeout, sentAt + timeout };
    flow_record* const record
        = m_waitingCount < m_options.waitingFlows && waiting.canServe(entry, flowsAtOnce(service), now)
        ? m_ledger.add(packet.flow)
        : nullptr;
    if (record == nullptr)
        return refuse(packet, packet_reason::Overload, placed, now);
    record->state = flow_state::Waiting;
    record->opening = packet;
    record->startedAt = now;
    record->lastPacketAt = now;
    record->openUntil = entry.openUntil;
    record->idleLimit = timeout;
    waiting.add(entry);
    ++m_waitingCount;
    steering_note note = noteOf(note_kind::FlowWaiting, packet, nullptr, now);
    note.subject = target.name;
    note.permitted = placed.permitted;
    note.trusted = placed.trusted;
    if (m_notes.size() < maximumNotes)
        m_notes.push_back(std::move(note));
    return { packet_action::Drop, packet_reason::Waiting, {}, {}, {} };
}

double steering_engine::flowsAtOnce(const std::string& service) const
{
    double slots = 0;
    for (const server_record* const server : m_servers.serversOf(service)) {
        if (server->entry.state == server_state::Ready
            && !m_dataCentresOut.contains(server->entry.dataCentre))
            slots += std::max(1U, server->entry.slots);
    }
    return slots * m_options.flowsPerSlot / static_cast<double>(std::max<std::size_t>(1, m_hostCount));
}

std::vector<delayed_offer> steering_engine::startWaiting(core::timestamp now)
{
    std::vector<delayed_offer> offers;
    for (auto& [service, waiting] : m_waiting) {
        for (const waiting_flow& hopeless : waiting.takeHopeless(now)) {
            --m_waitingCount;
            const flow_record* const record = m_ledger.find(hopeless.flow);
            if (record == nullptr)
                continue;
            const caller_packet opening = record->opening;
            m_ledger.erase(hopeless.flow);
            offers.push_back({ opening, refuse(opening, packet_reason::Overload, {}, now) });
        }
        while (const std::optional<waiting_flow> next = waiting.next(now)) {
            const flow_record* const record = m_ledger.find(next->flow);
            const route* const target = findRoute(next->flow);
            const placement placed = record != nullptr && target != nullptr
                ? place(service, nullptr, *target, true, now)
                : placement {};
            if (placed.failure == packet_reason::Waiting)
                break;
            waiting.remove(next->flow);
            waiting.recordStart(*next, now);
            --m_waitingCount;
            if (record == nullptr)
                continue;
            const caller_packet opening = record->opening;
            if (target == nullptr) {
                m_ledger.erase(next->flow);
                offers.push_back({ opening, refuse(opening, packet_reason::NoRoute, {}, now) });
                continue;
            }
            offers.push_back({ opening, carryOut(placed, opening, *target, now) });
        }
    }
    return offers;
}

packet_decision steering_engine::carryOut(
    const placement& placed, const caller_packet& packet, const route& target, core::timestamp now)
{
    if (placed.server == nullptr) {
        forget(packet.flow);
        return refuse(packet, placed.failure, placed, now);
    }
    server_record& server = *placed.server;
    flow_record* record = m_ledger.find(packet.flow);
    const bool isFirst = record == nullptr || record->state == flow_state::Waiting;
    steering_note note
        = noteOf(isFirst ? note_kind::FlowPlaced : note_kind::FlowPlacedAgain, packet, &server, now);
    note.subject = target.name;
    note.permitted = placed.permitted;
    note.trusted = placed.trusted;
    server.evidence.recordPlacement(now);
    m_dataCentres[server.entry.dataCentre].recordPlacement(now);
    ++server.freshFlows;
    if (record == nullptr) {
        record = m_ledger.add(packet.flow);
        if (record != nullptr) {
            record->startedAt = now;
            record->lastPacketAt = now;
            record->opening = packet;
            record->openUntil = now - packet.age + m_options.openingTimeout;
            record->idleLimit = target.timeout > std::chrono::milliseconds::zero()
                ? core::duration(target.timeout)
                : m_options.idleFlow;
        }
    }
    if (record != nullptr) {
        note.elapsed = now - record->startedAt;
        release(*record);
        record->state = flow_state::Opening;
        record->offered.push_back(server.tag);
        record->offeredAt = now;
        count(*record, server);
        note.attempt = static_cast<std::uint32_t>(record->offered.size());
        m_deadlines.push({ now + m_openings.patience(server.entry.dataCentre, m_options), packet.flow, now });
    }
    if (m_notes.size() < maximumNotes)
        m_notes.push_back(std::move(note));
    return forwardTo(server, now);
}

waiting_flows& steering_engine::waitingFor(const std::string& service)
{
    return m_waiting.try_emplace(service, m_options.firstServiceTime).first->second;
}

void steering_engine::forget(const flow_address& flow)
{
    flow_record* const record = m_ledger.find(flow);
    if (record == nullptr)
        return;
    if (record->state == flow_state::Waiting)
        stopWaiting(flow);
    release(*record);
    m_ledger.erase(flow);
}

void steering_engine::stopWaiting(const flow_address& flow)
{
    m_waitingCount = 0;
    for (auto& [service, waiting] : m_waiting) {
        waiting.remove(flow);
        m_waitingCount += waiting.size();
    }
}

packet_decision steering_engine::handleKnown(
    const caller_packet& packet, flow_record& record, core::timestamp now)
{
    record.lastPacketAt = now;
    if (record.state == flow_state::Open && packet.payloadBytes > 0 && !record.isCounted)
        countAgain(record);
    if (record.state == flow_state::Opening && packet.isAcknowledging)
        open(packet, record, now);
    const server_record* const server = m_servers.find(record.server);
    if (packet.isClosing || packet.isReset)
        end(record, now, note_kind::FlowEnded);
    if (server == nullptr)
        return handleUnknown(packet, now);
    return forwardTo(*server, now);
}

packet_decision steering_engine::handleUnknown(const caller_packet& packet, core::timestamp now)
{
    server_record* const server = m_servers.find(packet.tag);
    if (server == nullptr)
        return { packet_action::Drop, packet_reason::UnknownServer, {}, {}, {} };
    // The flow came from another host; from its first request on it is load of this one.
    if (packet.payloadBytes > 0 && !packet.isClosing && !packet.isReset) {
        flow_record* const record = m_ledger.add(packet.flow);
        if (record != nullptr) {
            record->state = flow_state::Open;
            record->opening = packet;
            record->startedAt = record->offeredAt = record->lastPacketAt = now;
            record->idleLimit = m_options.idleFlow;
            count(*record, *server);
        }
    }
    return forwardTo(*server, now);
}

void steering_engine::open(const caller_packet& packet, flow_record& record, core::timestamp now)
{
    record.state = flow_state::Open;
    // The first acknowledgement carries the tag of the server that it acknowledges, which may have answered
    // after the flow was offered to the next one.
    const bool isOffered
        = std::find(record.offered.begin(), record.offered.end(), packet.tag) != record.offered.end();
    server_record* const server = m_servers.find(isOffered ? packet.tag : record.server);
    if (server == nullptr)
        return;
    release(record);
    count(record, *server);
    if (record.offered.size() == 1)
        m_openings.record(server->entry.dataCentre, now - record.offeredAt);
    recordAnswered(*server, now);
}

void steering_engine::end(flow_record& record, core::timestamp now, note_kind kind)
{
    if (record.state == flow_state::Ended)
        return;
    const server_record* const server = m_servers.find(record.server);
    steering_note note = noteOf(kind, record.opening, server, now);
    note.elapsed = now - record.startedAt;
    note.attempt = static_cast<std::uint32_t>(record.offered.size());
    const route* const target = findRoute(record.opening.flow);
    note.subject = target == nullptr ? "" : target->name;
    if (m_notes.size() < maximumNotes)
        m_notes.push_back(std::move(note));
    if (kind == note_kind::FlowEnded && server != nullptr && record.state == flow_state::Open)
        waitingFor(server->entry.service).recordServiceTime(now - record.offeredAt);
    release(record);
    record.state = flow_state::Ended;
}

void steering_engine::countAgain(flow_record& record)
{
    server_record* const server = m_servers.find(record.server);
    if (server != nullptr)
        count(record, *server);
}

void steering_engine::count(flow_record& record, server_record& server)
{
    record.server = server.tag;
    record.isCounted = true;
    ++server.openFlows;
}

void steering_engine::releaseSilent(flow_record& record, core::timestamp now)
{
    if (!record.isCounted || record.state != flow_state::Open)
        return;
    const server_record* const server = m_servers.find(record.server);
    if (server == nullptr)
        return;
    const core::duration usual
        = m_options.silentServiceTimes * waitingFor(server->entry.service).serviceTime();
    if (now - record.lastPacketAt >= std::max(usual, m_options.leastSilence))
        release(record);
}

void steering_engine::release(flow_record& record)
{
    if (!std::exchange(record.isCounted, false))
        return;
    server_record* const server = m_servers.find(record.server);
    if (server != nullptr && server->openFlows > 0)
        --server->openFlows;
}

std::vector<delayed_offer> steering_engine::advance(core::timestamp now)
{
    std::vector<delayed_offer> offers;
    while (!m_deadlines.empty() && m_deadlines.top().at <= now) {
        const offer_deadline due = m_deadlines.top();
        m_deadlines.pop();
        flow_record* const record = m_ledger.find(due.flow);
        if (record == nullptr || record->state != flow_state::Opening || record->offeredAt != due.offeredAt)
            continue;
        release(*record);
        // Without its caller, the flow says nothing about the server: it gave up, or moved to another host
        // while its packet waited here.
        if (due.at >= record->openUntil || due.offeredAt - record->lastPacketAt > m_options.freshPacket)
            continue;
        recordUnanswered(record->server, now);
        const route* const target = findRoute(due.flow);
        if (record->offered.size() >= m_options.attemptsPerFlow || target == nullptr)
            continue;
        const caller_packet opening = record->opening;
        const packet_decision decision = offerAgain(*record, *target, now);
        offers.push_back({ opening, decision });
    }
    if (now >= m_nextSweep) {
        m_nextSweep = now + sweepInterval;
        m_ledger.forEach([this, now](flow_record& record) { releaseSilent(record, now); });
        m_ledger.expire(now, m_options.memoryOfEndedFlows, [this, now](flow_record& record) {
            if (record.state == flow_state::Waiting) {
                stopWaiting(record.opening.flow);
                return;
            }
            end(record, now, note_kind::FlowAbandoned);
        });
        m_neighbours.expire(m_servers, now);
        m_places.expire(m_servers, now);
        m_servers.expire(now);
    }
    return offers;
}

void steering_engine::recordUnanswered(server_tag tag, core::timestamp now)
{
    server_record* const server = m_servers.find(tag);
    if (server == nullptr)
        return;
    if (server->evidence.recordUnanswered(now, m_options.unansweredUntilSuspect, m_options))
        m_notes.push_back(noteOf(note_kind::ServerSuspected, {}, server, now));
    const std::size_t servers = m_servers.countIn(server->entry.dataCentre);
    if (m_dataCentres[server->entry.dataCentre].recordUnanswered(tag, servers, now, m_options)) {
        steering_note note = noteOf(note_kind::DataCentreSuspected, {}, server, now);
        note.subject = server->entry.dataCentre;
        m_notes.push_back(std::move(note));
    }
}

void steering_engine::recordAnswered(server_record& server, core::timestamp now)
{
    if (server.evidence.recordAnswered())
        m_notes.push_back(noteOf(note_kind::ServerTrusted, {}, &server, now));
    if (m_dataCentres[server.entry.dataCentre].recordAnswered()) {
        steering_note note = noteOf(note_kind::DataCentreTrusted, {}, &server, now);
        note.subject = server.entry.dataCentre;
        m_notes.push_back(std::move(note));
    }
}

packet_decision steering_engine::refuse(
    const caller_packet& packet, packet_reason reason, const placement& placed, core::timestamp now)
{
    steering_note note = noteOf(note_kind::FlowRefused, packet, nullptr, now);
    note.reason = reason;
    note.permitted = placed.permitted;
    note.trusted = placed.trusted;
    if (m_notes.size() < maximumNotes)
        m_notes.push_back(std::move(note));
    return { packet_action::Refuse, reason, {}, {}, {} };
}

packet_decision steering_engine::forwardTo(const server_record& server, core::timestamp now) const
{
    const auto out = m_outSince.find(server.entry.dataCentre);
    if (out != m_outSince.end() && now - out->second >= m_options.evacuationGrace)
        return { packet_action::Drop, packet_reason::DataCentreOut, {}, {}, {} };
    return { packet_action::Forward, packet_reason::None, server.entry.address, server.entry.wireId,
        server.tag };
}

void steering_engine::countTraffic(const std::string& service, core::timestamp now)
{
    // A second that is over counts a quarter from then on, so that a pause of a kind of flows fades out.
    service_traffic& traffic = m_traffic[service];
    if (now - traffic.since >= std::chrono::seconds { 1 })
        traffic = { now, traffic.recent / 4 };
    traffic.recent += 1;
}

bool steering_engine::isUnreachable(const std::string& service) const
{
    bool isAnyPermitted = false;
    for (const server_record* const server : m_servers.serversOf(service)) {
        if (server->entry.state != server_state::Ready || m_dataCentresOut.contains(server->entry.dataCentre))
            continue;
        isAnyPermitted = true;
        const auto place = m_dataCentres.find(server->entry.dataCentre);
        const bool isPlaceSuspect = place != m_dataCentres.end() && place->second.isSuspect();
        if (!server->evidence.isSuspect() && !isPlaceSuspect)
            return false;
    }
    return isAnyPermitted;
}

const route* steering_engine::findRoute(const flow_address& flow) const
{
    const auto found = m_routes.find({ flow.serviceAddress, flow.servicePort });
    return found == m_routes.end() ? nullptr : found->second;
}

const std::string* steering_engine::chooseService(const route& target)
{
    std::uint64_t total = 0;
    for (const weighted_service& entry : target.targets)
        total += entry.weight;
    if (total == 0)
        return nullptr;
    std::uint64_t point = m_random(static_cast<std::uint32_t>(total));
    for (const weighted_service& entry : target.targets) {
        if (point < entry.weight)
            return &entry.service;
        point -= entry.weight;
    }
    return nullptr;
}

placement_context steering_engine::contextFor(const std::string& service, core::timestamp now)
{
    const auto rules = m_rules.find(service);
    const bool isSettling = m_startedAt && now - *m_startedAt < m_options.settling;
    const std::size_t neighbours
        = isSettling ? std::max(m_neighbourCount, m_options.assumedNeighbours) : m_neighbourCount;
    return { m_options, m_dataCentresOut, m_dataCentres, m_places, m_cold,
        rules == m_rules.end() ? 0.0 : rules->second->coldFlowsPerSecond, m_neighbours.countBefore(m_self),
        m_neighbours.count() + 1, neighbours, false, now };
}

steering_note steering_engine::noteOf(
    note_kind kind, const caller_packet& packet, const server_record* server, core::timestamp now) const
{
    steering_note note;
    note.kind = kind;
    note.flow = packet.flow;
    note.at = now;
    note.configVersion = m_config == nullptr ? 0 : m_config->version;
    if (server != nullptr) {
        note.wireId = server->entry.wireId;
        note.openFlows = server->openFlows;
        note.neighbourFlows = server->neighbourFlows;
        note.unanswered = server->evidence.unanswered();
    }
    return note;
}

std::vector<steering_note> steering_engine::takeNotes() { return std::exchange(m_notes, {}); }

core::timestamp steering_engine::nextDeadline(core::timestamp now) const
{
    core::timestamp next = std::min(now + longestDeadline, m_nextSweep);
    if (m_waitingCount > 0)
        next = std::min(next, now + waitingInterval);
    if (!m_deadlines.empty())
        next = std::min(next, m_deadlines.top().at);
    return next;
}

load_report steering_engine::takeLoads()
{
    load_report report;
    for (const auto& [tag, known] : m_servers.all()) {
        if (known.openFlows == 0 && known.freshFlows == 0)
            continue;
        server_record& record = *m_servers.find(tag);
        record.freshFlows = 0;
        if (record.openFlows > 0)
            report.push_back({ tag, record.openFlows });
    }
    return report;
}

load_report steering_engine::placeLoads() const
{
    load_report report;
    for (const auto& [tag, known] : m_servers.all()) {
        if (known.openFlows + known.neighbourFlows > 0)
            report.push_back({ tag, known.openFlows + known.neighbourFlows });
    }
    return report;
}

double steering_engine::unreachableShare(core::timestamp now) const
{
    double recent = 0;
    double unreachable = 0;
    for (const auto& [service, traffic] : m_traffic) {
        if (now - traffic.since > std::chrono::seconds { 2 })
            continue;
        recent += traffic.recent;
        unreachable += isUnreachable(service) ? traffic.recent : 0;
    }
    return recent > 0 ? unreachable / recent : 0.0;
}

std::set<std::string> steering_engine::servingDataCentres() const
{
    std::set<std::string> places;
    for (const auto& [tag, record] : m_servers.all()) {
        if (record.presence != server_presence::Left && record.entry.state == server_state::Ready
            && !m_dataCentresOut.contains(record.entry.dataCentre))
            places.insert(record.entry.dataCentre);
    }
    return places;
}

} // namespace shallotcove::steering
