#include <shallotcove/steering/steering_engine.hpp>

#include <algorithm>
#include <utility>

#include <shallotcove/steering/routing_config.hpp>

namespace shallotcove::steering {

namespace {

    constexpr std::chrono::milliseconds sweepInterval { 250 };
    // Longest time between two calls of advance() that the callers of the library have to bear.
    constexpr std::chrono::seconds longestDeadline { 1 };
    // Notes that are not taken are dropped beyond this; a host places far fewer flows between two calls.
    constexpr std::size_t maximumNotes = 4096;

} // namespace

steering_engine::steering_engine(steering_options options)
    : m_options(std::move(options))
    , m_random(m_options.randomSeed)
    , m_servers(m_options)
    , m_ledger(m_options.ledgerFlows)
    , m_neighbours(m_options.neighbourLoadLifetime)
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

void steering_engine::setHosts(std::vector<std::uint32_t> hosts, std::uint32_t self)
{
    m_self = self;
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
    if (packet.isOpening)
        return handleOpening(packet, now);
    flow_record* const record = m_ledger.find(packet.flow);
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
        end(*record, now, note_kind::FlowAbandoned);
        m_ledger.erase(packet.flow);
        record = nullptr;
    }
    if (record != nullptr && record->state != flow_state::Opening)
        return { packet_action::Drop, packet_reason::StaleCopy, {}, {}, {} };
    if (!m_isInformed || m_config == nullptr)
        return { packet_action::Drop, packet_reason::NotReady, {}, {}, {} };
    const route* const target = findRoute(packet.flow);
    if (target == nullptr)
        return refuse(packet, packet_reason::NoRoute, {}, now);
    return offer(packet, record, *target, now);
}

packet_decision steering_engine::offer(
    const caller_packet& packet, flow_record* record, const route& target, core::timestamp now)
{
    const std::string* service = nullptr;
    if (record != nullptr) {
        const server_record* const former = m_servers.find(record->server);
        if (former != nullptr)
            service = &former->entry.service;
    }
    // The route may lead elsewhere since the flow was first offered.
    if (service == nullptr
        || std::none_of(target.targets.begin(), target.targets.end(),
            [service](const weighted_service& entry) { return entry.weight > 0 && entry.service == *service; }))
        service = chooseService(target);
    if (service == nullptr)
        return refuse(packet, packet_reason::NoServer, {}, now);
    const std::vector<server_tag> none;
    const placement placed = placeFlow(m_servers.serversOf(*service), record != nullptr ? record->offered : none,
        target, contextFor(*service, now));
    countTraffic(*service, now);
    if (placed.server == nullptr) {
        if (record != nullptr) {
            end(*record, now, note_kind::FlowAbandoned);
            m_ledger.erase(packet.flow);
        }
        return refuse(packet, placed.failure, placed, now);
    }
    server_record& server = *placed.server;
    steering_note note = noteOf(
        record == nullptr ? note_kind::FlowPlaced : note_kind::FlowPlacedAgain, packet, &server, now);
    note.subject = target.name;
    note.permitted = placed.permitted;
    note.trusted = placed.trusted;
    server.evidence.recordPlacement(now);
    m_dataCentres[server.entry.dataCentre].recordPlacement(now);
    if (record != nullptr) {
        release(record->server);
        note.elapsed = now - record->startedAt;
    } else {
        record = m_ledger.add(packet.flow);
        if (record != nullptr) {
            record->startedAt = now;
            record->opening = packet;
            record->idleLimit = target.timeout > std::chrono::milliseconds::zero() ? core::duration(target.timeout)
                                                                                   : m_options.idleFlow;
        }
    }
    if (record != nullptr) {
        ++server.openFlows;
        record->server = server.tag;
        record->offered.push_back(server.tag);
        record->offeredAt = now;
        record->lastPacketAt = now;
        note.attempt = static_cast<std::uint32_t>(record->offered.size());
        m_deadlines.push({ now + m_openings.patience(server.entry.dataCentre, m_options), packet.flow, now });
    }
    if (m_notes.size() < maximumNotes)
        m_notes.push_back(std::move(note));
    return forwardTo(server, now);
}

packet_decision steering_engine::handleKnown(
    const caller_packet& packet, flow_record& record, core::timestamp now)
{
    record.lastPacketAt = now;
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
            ++server->openFlows;
            *record = { flow_state::Open, server->tag, { server->tag }, packet, now, now, now, m_options.idleFlow };
        }
    }
    return forwardTo(*server, now);
}

void steering_engine::open(const caller_packet& packet, flow_record& record, core::timestamp now)
{
    record.state = flow_state::Open;
    // The first acknowledgement carries the tag of the server that it acknowledges, which may have answered after
    // the flow was offered to the next one.
    const bool isOffered
        = std::find(record.offered.begin(), record.offered.end(), packet.tag) != record.offered.end();
    if (isOffered && packet.tag != record.server) {
        release(record.server);
        record.server = packet.tag;
        server_record* const server = m_servers.find(packet.tag);
        if (server != nullptr)
            ++server->openFlows;
    }
    server_record* const server = m_servers.find(record.server);
    if (server == nullptr)
        return;
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
    if (m_notes.size() < maximumNotes)
        m_notes.push_back(std::move(note));
    release(record.server);
    record.state = flow_state::Ended;
}

void steering_engine::release(server_tag tag)
{
    server_record* const server = m_servers.find(tag);
    if (server != nullptr && server->openFlows > 0)
        --server->openFlows;
}

std::vector<repeated_offer> steering_engine::advance(core::timestamp now)
{
    std::vector<repeated_offer> offers;
    while (!m_deadlines.empty() && m_deadlines.top().at <= now) {
        const offer_deadline due = m_deadlines.top();
        m_deadlines.pop();
        flow_record* const record = m_ledger.find(due.flow);
        if (record == nullptr || record->state != flow_state::Opening || record->offeredAt != due.offeredAt)
            continue;
        recordUnanswered(record->server, now);
        const route* const target = findRoute(due.flow);
        if (record->offered.size() >= m_options.attemptsPerFlow || target == nullptr)
            continue;
        const caller_packet opening = record->opening;
        const packet_decision decision = offer(opening, record, *target, now);
        offers.push_back({ opening, decision });
    }
    if (now >= m_nextSweep) {
        m_nextSweep = now + sweepInterval;
        m_ledger.expire(now, m_options.memoryOfEndedFlows, [this, now](const flow_record& record) {
            flow_record released = record;
            end(released, now, note_kind::FlowAbandoned);
        });
        m_neighbours.expire(m_servers, now);
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
    if (m_dataCentres[server->entry.dataCentre].recordUnanswered(tag, now, m_options)) {
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
    return { packet_action::Forward, packet_reason::None, server.entry.address, server.entry.wireId, server.tag };
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
    return { m_options, m_dataCentresOut, m_dataCentres, m_cold,
        rules == m_rules.end() ? 0.0 : rules->second->coldFlowsPerSecond, m_neighbours.hostsBefore(m_self),
        m_neighbours.hostCount() + 1, now };
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
    if (!m_deadlines.empty())
        next = std::min(next, m_deadlines.top().at);
    return next;
}

load_report steering_engine::loads() const
{
    load_report report;
    for (const auto& [tag, record] : m_servers.all()) {
        if (record.openFlows > 0)
            report.push_back({ tag, record.openFlows });
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
