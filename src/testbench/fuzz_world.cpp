#include "fuzz_world.hpp"

#include <algorithm>

namespace shallotcove::testbench {

namespace {

    using namespace std::chrono_literals;

    constexpr core::duration tickLength = 10ms;
    constexpr core::duration warmUp = 8s;
    /// Time after which the fabric detects that a host is gone and sends it no more packets.
    constexpr core::duration fabricDetection = 3s;
    /// Time after which the platform's host list omits a host that is gone.
    constexpr core::duration hostListDelay = 4s;
    constexpr core::duration leaseDuration = 5s;

    fuzz_operator::operator_options operatorOptions(std::uint64_t seed, broken_variant variant)
    {
        return { 2 + std::uint32_t(seed / 3 % 2), variant == broken_variant::NoReservation };
    }

} // namespace

fuzz_world::fuzz_world(std::uint64_t seed, broken_variant variant)
    : m_random(seed)
    , m_variant(variant)
    , m_traffic(m_history, seed + 1)
    , m_operator(m_store, m_history, operatorOptions(seed, variant))
    , m_slots(3 + seed % 3)
{
    m_history.hosts = std::uint32_t(m_slots.size());
    m_history.dataCentres = operatorOptions(seed, variant).dataCentres;
    m_operator.createInitialService(m_now);
    for (std::uint32_t index = 0; index < m_slots.size(); ++index)
        start(index);
    m_isSettling = true;
    run(warmUp);
    m_isSettling = false;
    m_history.begin = m_now;
    // After the warm-up the initial hosts have the whole configuration, so that their starts justify no
    // exceptions.
    m_history.disturbances.clear();
}

core::socket_address fuzz_world::addressOf(std::uint32_t index)
{
    return { core::ip_address::fromV4(0x7f010001 + index), 7946 };
}

std::optional<std::uint32_t> fuzz_world::indexOf(const core::host_id& id) const
{
    for (std::uint32_t index = 0; index < m_slots.size(); ++index)
        if (core::hostIdFor(addressOf(index)) == id)
            return index;
    return std::nullopt;
}

bool fuzz_world::isConnected(std::uint32_t left, std::uint32_t right) const
{
    return isPartitioned(left) == isPartitioned(right);
}

bool fuzz_world::isStoreReachable(std::uint32_t host) const
{
    return m_now >= m_storeUnreachableUntil && !isPartitioned(dataCentreOf(host));
}

/// The loss rate of packets and messages is 0.2%, and 15% while the message-loss fault lasts.
bool fuzz_world::isLost() { return m_random(1000) < (m_now < m_messageLossUntil ? 150U : 2U); }

std::uint32_t fuzz_world::runningHosts() const
{
    return std::uint32_t(std::count_if(m_slots.begin(), m_slots.end(),
        [](const host_slot& slot) { return slot.host != nullptr && !slot.host->isLeaving; }));
}

void fuzz_world::start(std::uint32_t index)
{
    host_slot& slot = m_slots[index];
    core::control_engine_options options;
    options.self.peerAddress = addressOf(index);
    options.self.packetAddress = addressOf(index);
    options.self.dataCentre = fuzz_operator::dataCentreName(dataCentreOf(index));
    // The wall clocks of the hosts agree within a second; the monotonic clock of each starts at an arbitrary
    // value.
    options.self.incarnation = std::uint64_t(m_now.sinceStart.count()) + m_random(1'000'000'000);
    options.randomSeed = m_random();
    options.flowHashSeed = 7;
    const double drift = (double(m_random(400)) - 200) * 1e-6;
    const core::duration offset = std::chrono::milliseconds { m_random(100'000'000) };
    slot = { std::make_unique<fuzz_host>(options, m_variant, offset, drift), slot.startCount + 1, {}, {}, {},
        {} };
    distributeHostList();
    recordDisturbance(disturbance_kind::HostStarted, 0s, index);
}

void fuzz_world::stop(std::uint32_t index)
{
    m_slots[index].host.reset();
    m_slots[index].pausedUntil = {};
    m_slots[index].unavailableSince = m_now;
}

void fuzz_world::recordDisturbance(
    disturbance_kind kind, core::duration length, std::uint32_t target, std::uint32_t service)
{
    m_history.disturbances.push_back({ kind, m_now, m_now + length, target, service });
}

void fuzz_world::leave(std::uint32_t index)
{
    host_slot& slot = m_slots[index];
    recordDisturbance(disturbance_kind::HostLeft, 1h, index);
    slot.leaveIndex = m_history.disturbances.size() - 1;
    slot.host->control.leave(slot.host->clock(m_now));
    slot.host->isLeaving = true;
    slot.unavailableSince = m_now;
    // The fabric sends no more packets after fabricDetection; the host stops 2 s later.
    slot.stopsAt = m_now + fabricDetection + 2s;
}

void fuzz_world::run(core::duration length)
{
    const core::timestamp end = m_now + length;
    while (m_now < end)
        tick();
    m_history.end = m_now;
}

void fuzz_world::tick()
{
    m_now = m_now + tickLength;
    if (!m_isSettling)
        openFlows();
    deliverEvents();
    if (m_now.sinceStart % 1s == 0s)
        distributeHostList();
    for (std::uint32_t index = 0; index < m_slots.size(); ++index) {
        host_slot& slot = m_slots[index];
        if (slot.host != nullptr && slot.stopsAt && m_now >= *slot.stopsAt) {
            m_history.disturbances[slot.leaveIndex].to = m_now;
            stop(index);
        }
        if (slot.host != nullptr && !isPaused(index))
            advance(index);
    }
}

/// Opens one flow every 30 ms (about 30 per second), and the flows of bursts at up to 200 per second.
void fuzz_world::openFlows()
{
    const bool isDue = m_now.sinceStart % 30ms == 0s;
    for (std::uint32_t count = (isDue ? 1 : 0) + std::min(m_burstFlows, 2U); count > 0; --count)
        sendFirstPacket(m_traffic.openFlow(m_operator.pickAddress(m_random()), m_now));
    m_burstFlows -= std::min(m_burstFlows, 2U);
}

void fuzz_world::sendFirstPacket(std::uint32_t flow)
{
    m_events.emplace(m_now, fuzz_packet { flow, 0, 0, 0 });
}

void fuzz_world::sendNext(std::uint32_t flow)
{
    if (const std::optional<scheduled_packet> next = m_traffic.takeNextPacket(flow))
        m_events.emplace(m_now + next->delay, fuzz_packet { flow, next->number, 0, 0 });
}

std::uint32_t fuzz_world::pickHost()
{
    for (int attempt = 0; attempt < 100; ++attempt) {
        const std::uint32_t index = m_random(std::uint32_t(m_slots.size()));
        const host_slot& slot = m_slots[index];
        const bool isServing = slot.host != nullptr && !slot.host->isLeaving && !isPaused(index);
        if (isServing || m_now - slot.unavailableSince < fabricDetection)
            return index;
    }
    return 0;
}

void fuzz_world::advance(std::uint32_t index)
{
    fuzz_host& host = *m_slots[index].host;
    const core::packet_engine_output output = host.advance(m_now);
    send(index, output.messages);
    host.control.handlePacketEngineOutput(output, host.clock(m_now));
    // Runs before the lease check: a planner that was paused writes before it learns that its lease has
    // expired.
    dispatch(index);
    const bool isHeld = tryAcquireLease(index);
    if (isStoreReachable(index))
        host.control.handleLease(isHeld, host.clock(m_now));
    else if (m_now >= m_leaseEnd)
        host.control.handleLease(false, host.clock(m_now));
    readStore(index);
    if (m_now.sinceStart % 500ms == 0s)
        reportServerHealth(host);
}

void fuzz_world::readStore(std::uint32_t index)
{
    fuzz_host& host = *m_slots[index].host;
    const bool isSlow = m_now < m_storeSlowUntil && m_now.sinceStart % 1s != 0s;
    if (!host.lastOutput.shouldWatchStore || !isStoreReachable(index) || isSlow
        || host.watchedIndex >= m_store.revision())
        return;
    const std::vector<core::store_entry> entries = m_store.entriesSince(host.watchedIndex);
    if (host.watchedIndex.value == 0)
        host.control.handleStoreContents(entries, m_store.revision(), host.clock(m_now));
    else
        host.control.handleStoreEntries(entries, m_store.revision(), host.clock(m_now));
    host.watchedIndex = m_store.revision();
}

/// Acquires or renews the planner lease. Once the holder has not renewed it for 5 s, the next host that wants
/// it acquires it.
bool fuzz_world::tryAcquireLease(std::uint32_t index)
{
    const bool isWanted = m_slots[index].host->lastOutput.shouldHoldPlannerLease && isStoreReachable(index);
    if (isWanted && (index == m_leaseHolder || m_now >= m_leaseEnd)) {
        m_leaseHolder = index;
        m_leaseEnd = m_now + leaseDuration;
    }
    return isWanted && index == m_leaseHolder;
}

void fuzz_world::distributeHostList()
{
    std::vector<core::listed_host> list;
    for (std::uint32_t index = 0; index < m_slots.size(); ++index) {
        const host_slot& slot = m_slots[index];
        if (slot.host != nullptr || m_now - slot.unavailableSince < hostListDelay)
            list.push_back({ addressOf(index), fuzz_operator::dataCentreName(dataCentreOf(index)),
                slot.host != nullptr && slot.host->isLeaving });
    }
    for (std::uint32_t index = 0; index < m_slots.size(); ++index)
        if (m_slots[index].host != nullptr && !isPaused(index) && !isPartitioned(dataCentreOf(index)))
            m_slots[index].host->control.handleHostList(list, m_slots[index].host->clock(m_now));
}

void fuzz_world::reportServerHealth(fuzz_host& host)
{
    if (host.activeSnapshot == nullptr)
        return;
    for (const std::shared_ptr<const core::service_config>& service : host.activeSnapshot->services)
        for (const core::backend_server& server : service->servers)
            if (const fuzz_server* const at = m_operator.serverAt(server.address))
                host.control.handleHealth(service->id, server.id, at->isAlive, host.clock(m_now));
}

void fuzz_world::dispatch(std::uint32_t index)
{
    host_slot& slot = m_slots[index];
    fuzz_host& host = *slot.host;
    host.lastOutput = host.control.advance(host.clock(m_now));
    if (host.lastOutput.snapshot)
        host.applySnapshot(host.lastOutput.snapshot, m_now);
    for (const core::peer_message& message : host.lastOutput.forPacketEngine)
        host.handleMessage(message, m_now);
    const core::duration latency = m_now < m_storeSlowUntil ? core::duration { 800ms } : 3ms;
    for (const core::store_write& write : host.lastOutput.writes)
        m_events.emplace(m_now + latency, store_write_in_flight { index, slot.startCount, write });
    send(index, host.lastOutput.messages);
    recordAppliedConfigs(index);
}

void fuzz_world::recordAppliedConfigs(std::uint32_t index)
{
    const host_slot& slot = m_slots[index];
    if (slot.host->lastOutput.snapshot == nullptr || slot.host->activeSnapshot == nullptr)
        return;
    for (const std::shared_ptr<const core::service_config>& service : slot.host->activeSnapshot->services)
        m_history.appliedConfigs.push_back(
            { m_now, index, slot.startCount, false, service->id.value, service->revision });
    for (std::uint32_t number = 0; number < m_history.dataCentres; ++number) {
        const std::optional<core::store_entry> entry
            = slot.host->control.entry(core::dataCentreKey(fuzz_operator::dataCentreName(number)));
        if (entry)
            m_history.appliedConfigs.push_back({ m_now, index, slot.startCount, true, number,
                core::parseDataCentreConfig(entry->value).value().revision });
    }
}

void fuzz_world::send(std::uint32_t from, const std::vector<core::addressed_message>& messages)
{
    for (const core::addressed_message& sent : messages) {
        const core::host_id receiver
            = sent.to == core::host_id {} ? core::hostIdFor(sent.toAddress) : sent.to;
        const std::optional<std::uint32_t> to = indexOf(receiver);
        if (!to || !isConnected(dataCentreOf(from), dataCentreOf(*to)))
            continue;
        for (int copies = m_random(50) == 0 ? 2 : 1; copies > 0; --copies)
            if (!isLost())
                m_events.emplace(m_now + std::chrono::microseconds { 500 + m_random(20'000) },
                    peer_datagram { from, *to, sent.message });
    }
}

void fuzz_world::deliverEvents()
{
    while (!m_events.empty() && m_events.begin()->first <= m_now) {
        const event next = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        std::visit([this](const auto& item) { handle(item); }, next);
    }
}

} // namespace shallotcove::testbench
