#include "control_fleet.hpp"

#include <algorithm>
#include <variant>

namespace shallotcove::core {

namespace {

    std::size_t bytesOf(const gossip& updates)
    {
        std::size_t bytes = 4;
        for (const member& info : updates.members)
            bytes += 100 + info.dataCentre.size() + 5 * info.blockedServices.size();
        for (const limit_update& update : updates.limits)
            bytes += 40 + 9 * update.acknowledgedBy.size();
        return bytes;
    }

} // namespace

std::size_t encodedBytes(const peer_message& message)
{
    constexpr std::size_t envelope = 64;
    return envelope
        + std::visit(
            [](const auto& content) -> std::size_t {
                if constexpr (requires { content.updates; })
                    return 18 + bytesOf(content.updates);
                else if constexpr (requires { content.bytes; })
                    return 50 + content.key.size() + content.bytes.size();
                else
                    return 9;
            },
            message);
}

control_fleet::control_fleet(std::size_t count, std::uint64_t seed)
    : hosts(count)
    , m_random(seed)
{
    for (std::size_t i = 0; i < count; ++i)
        m_indexes.emplace(addressOf(i), i);
}

socket_address control_fleet::addressOf(std::size_t index)
{
    return { ip_address::fromV4(0x7f010000U + static_cast<std::uint32_t>(index) + 1), 7946 };
}

void control_fleet::start(std::size_t index, const std::vector<socket_address>& seeds)
{
    control_engine_options options;
    options.self.peerAddress = addressOf(index);
    options.self.packetAddress = addressOf(index);
    options.self.dataCentre = "dc-" + std::to_string(index % dataCentres);
    options.self.incarnation = ++m_incarnations * 1000;
    options.randomSeed = m_random();
    options.seeds = seeds;
    hosts[index] = {};
    hosts[index].engine.emplace(std::move(*control_engine::create(options)));
}

std::vector<listed_host> control_fleet::hostList() const
{
    std::vector<listed_host> list;
    for (std::size_t i = 0; i < hosts.size(); ++i)
        list.push_back({ addressOf(i), "dc-" + std::to_string(i % dataCentres), false });
    return list;
}

void control_fleet::run(duration length, const std::function<void()>& check)
{
    const timestamp end = now + length;
    while (now < end) {
        step();
        check();
    }
}

std::optional<duration> control_fleet::runUntil(const std::function<bool()>& condition, duration limit)
{
    const timestamp start = now;
    while (!condition()) {
        if (now - start >= limit)
            return std::nullopt;
        step();
    }
    return now - start;
}

void control_fleet::step()
{
    constexpr duration granularity = std::chrono::milliseconds { 10 };
    now = now + granularity;
    while (!m_queue.empty() && m_queue.begin()->first <= now) {
        const datagram arrived = std::move(m_queue.begin()->second);
        const timestamp arrival = m_queue.begin()->first;
        m_queue.erase(m_queue.begin());
        host& receiver = hosts[arrived.to];
        if (!receiver.engine)
            continue;
        if (receiver.isPaused) {
            m_queue.emplace(arrival + granularity, arrived);
            continue;
        }
        receiver.engine->handleMessage(idOf(arrived.from), addressOf(arrived.from), arrived.message, arrival);
        // Answers are sent at once, as in a process that calls advance() after each message.
        dispatch(arrived.to);
    }
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        const bool isDue = (now.sinceStart + granularity * static_cast<int>(i)) % tick < granularity;
        if (!hosts[i].engine || hosts[i].isPaused || !isDue)
            continue;
        deliverStoreChanges(i);
        dispatch(i);
    }
}

void control_fleet::deliverStoreChanges(std::size_t index)
{
    host& self = hosts[index];
    if (isStoreUp && self.holdsLease)
        self.engine->handleLease(true, now);
    if (!isStoreUp || !self.last.shouldWatchStore || self.watchedUpTo >= revision)
        return;
    // The first delivery is a complete read, which does not list deleted keys.
    const bool isRead = self.watchedUpTo.value == 0;
    std::vector<store_entry> entries;
    for (const auto& [key, entry] : store)
        if (entry.modified > self.watchedUpTo && !(isRead && entry.isDeleted))
            entries.push_back(entry);
    if (isRead)
        self.engine->handleStoreContents(entries, revision, now);
    else
        self.engine->handleStoreEntries(entries, revision, now);
    self.watchedUpTo = revision;
}

void control_fleet::dispatch(std::size_t index)
{
    host& self = hosts[index];
    self.last = self.engine->advance(now);
    if (self.last.snapshot)
        self.snapshot = self.last.snapshot;
    for (const store_write& planned : self.last.writes) {
        if (!isStoreUp) {
            self.engine->handleWriteResult(planned.key, std::nullopt, now);
            continue;
        }
        const auto [isDone, result] = onWrite(planned, store[planned.key].modified == planned.expected);
        if (isDone)
            write(planned.key, planned.value);
        self.engine->handleWriteResult(planned.key, result, now);
    }
    for (const addressed_message& sent : self.last.messages) {
        self.messages += 1;
        self.bytes += encodedBytes(sent.message);
        largestMessage = std::max(largestMessage, encodedBytes(sent.message));
        const auto to = m_indexes.find(sent.toAddress);
        if (to == m_indexes.end() || isCut(index, to->second))
            continue;
        const auto randomShare = [this] { return m_random(1'000'000) / 1e6; };
        const int copies = randomShare() < duplication ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            if (randomShare() < loss)
                continue;
            const timestamp arrival = now + delay
                + duration { static_cast<std::int64_t>(randomShare() * static_cast<double>(jitter.count())) };
            m_queue.emplace(arrival, datagram { index, to->second, sent.message });
        }
    }
    self.last.messages.clear();
}

config_index control_fleet::write(const std::string& key, const std::string& value, bool isDeleted)
{
    revision.value += 1;
    store[key] = { key, revision, isDeleted, value };
    return revision;
}

std::optional<member> control_fleet::view(std::size_t viewer, std::size_t seen) const
{
    for (const member& known : hosts[viewer].engine->members())
        if (known.id == idOf(seen))
            return known;
    return std::nullopt;
}

std::vector<member_state> control_fleet::states(std::size_t viewer) const
{
    std::vector<member_state> result(hosts.size(), member_state::Dead);
    for (const member& known : hosts[viewer].engine->members())
        if (const auto index = m_indexes.find(known.peerAddress); index != m_indexes.end())
            result[index->second] = known.state;
    return result;
}

bool control_fleet::isConverged() const
{
    for (const host& viewer : hosts) {
        if (!viewer.engine)
            continue;
        const std::vector<member_state> seen = states(static_cast<std::size_t>(&viewer - hosts.data()));
        for (std::size_t i = 0; i < hosts.size(); ++i)
            if (hosts[i].engine && seen[i] != member_state::Alive)
                return false;
    }
    return true;
}

bool control_fleet::haveAllApplied(config_index index) const
{
    return std::all_of(hosts.begin(), hosts.end(),
        [index](const host& each) { return !each.engine || each.engine->appliedIndex() >= index; });
}

} // namespace shallotcove::core
