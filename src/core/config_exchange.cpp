#include "config_exchange.hpp"

#include <algorithm>

#include "config_replica.hpp"

namespace shallotcove::core {

namespace {

    constexpr std::size_t maximumChunkBytes = 1100;
    // Keeps an answer well below the usual socket buffer of 200 KB.
    constexpr std::size_t windowBytes = 24 * 1024;
    constexpr duration pullTimeout = std::chrono::milliseconds { 150 };
    // A watch on the store normally delivers a change within this time after a peer received it.
    constexpr duration watchGracePeriod = std::chrono::milliseconds { 200 };
    constexpr std::uint32_t retriesPerSource = 2;
    // The store holds values of up to 1 MB; a push that claims more than this is not valid.
    constexpr std::size_t maximumValueBytes = 2 * 1024 * 1024;

    std::size_t chunkCount(std::size_t bytes)
    {
        return std::max<std::size_t>(1, (bytes + maximumChunkBytes - 1) / maximumChunkBytes);
    }

    config_push chunkOf(const store_entry& entry, std::size_t chunk)
    {
        const std::size_t offset = chunk * maximumChunkBytes;
        config_push push;
        push.key = entry.key;
        push.modified = entry.modified;
        push.isDeleted = entry.isDeleted;
        push.offset = static_cast<std::uint32_t>(offset);
        push.totalBytes = static_cast<std::uint32_t>(entry.value.size());
        push.bytes = entry.value.substr(offset, maximumChunkBytes);
        return push;
    }

    bool isWellFormed(const config_push& push)
    {
        return push.number < push.count && push.totalBytes <= maximumValueBytes
            && push.offset <= push.totalBytes && push.bytes.size() <= push.totalBytes - push.offset
            && (push.totalBytes == 0 || !push.bytes.empty()) && push.modified.value > 0;
    }

} // namespace

config_exchange::config_exchange(std::uint64_t randomSeed)
    : m_random(randomSeed)
{
}

std::vector<config_push> config_exchange::answer(
    host_id receiver, const config_replica& replica, config_index since)
{
    std::vector<config_push> pushes;
    const std::vector<const store_entry*> changed = replica.modifiedAfter(since);
    const std::uint32_t count = static_cast<std::uint32_t>(changed.size());
    const config_index upTo = replica.appliedIndex();
    if (count == 0) {
        pushes.push_back({ {}, {}, upTo, 0, 0, false, 0, 0, {}, since, replica.deletionHorizon() });
        return pushes;
    }
    std::size_t bytes = 0;
    for (std::uint32_t number = 0; number < count && bytes < windowBytes; ++number) {
        const store_entry& entry = *changed[number];
        const std::size_t chunks = chunkCount(entry.value.size());
        // A value larger than the window continues where the last answer to this receiver ended, so that
        // repeated pulls get all of its chunks.
        const bool isLarge = entry.value.size() > windowBytes;
        std::size_t chunk = isLarge ? m_nextChunk[receiver] % chunks : 0;
        for (std::size_t i = 0; i < chunks && (!isLarge || bytes < windowBytes); ++i) {
            pushes.push_back(chunkOf(entry, chunk));
            config_push& push = pushes.back();
            push.upTo = upTo;
            push.number = number;
            push.count = count;
            push.since = since;
            push.deletionHorizon = replica.deletionHorizon();
            bytes += push.bytes.size() + entry.key.size();
            chunk = (chunk + 1) % chunks;
        }
        if (isLarge)
            m_nextChunk[receiver] = chunk;
    }
    return pushes;
}

void config_exchange::handlePush(
    host_id from, const config_push& push, config_replica& replica, timestamp now)
{
    // An answer to an earlier pull, or to a pull from before this host's restart, must not move the applied
    // index; its values are valid all the same.
    const bool isPulled = m_pull && m_pull->source == from && m_pull->cursor == push.since;
    if (isPulled && m_pull->start.value > 0 && m_pull->start < push.deletionHorizon) {
        m_pull = open_pull { from, {}, {}, {}, {}, 0, {}, 0, now, 0, true };
        return;
    }
    if (push.count == 0) {
        if (isPulled && push.key.empty())
            applyAnswerIndex(push, replica);
        return;
    }
    if (!isWellFormed(push))
        return;
    if (isPulled) {
        m_pull->bytesSincePull += push.bytes.size() + push.key.size();
        m_pull->sentAt = std::max(m_pull->sentAt, now - pullTimeout / 2);
        m_pull->retries = 0;
    }
    const std::optional<store_entry> entry = addChunk(push, replica);
    if (entry)
        replica.apply(*entry);
    if (isPulled)
        recordKey(push, replica);
}

std::optional<store_entry> config_exchange::addChunk(const config_push& push, const config_replica& replica)
{
    const auto known = replica.entries().find(push.key);
    if (known != replica.entries().end() && known->second.modified >= push.modified)
        return std::nullopt;
    if (push.bytes.size() == push.totalBytes)
        return store_entry { push.key, push.modified, push.isDeleted, push.bytes };
    partial_value& partial = m_partials[push.key];
    if (partial.modified > push.modified)
        return std::nullopt;
    if (partial.modified != push.modified || partial.bytes.size() != push.totalBytes)
        partial = { push.modified, std::string(push.totalBytes, '\0'), {}, 0 };
    if (!partial.chunks.emplace(push.offset, static_cast<std::uint32_t>(push.bytes.size())).second)
        return std::nullopt;
    partial.bytes.replace(push.offset, push.bytes.size(), push.bytes);
    partial.received += push.bytes.size();
    if (partial.received < push.totalBytes)
        return std::nullopt;
    const store_entry finished { push.key, push.modified, push.isDeleted, partial.bytes };
    m_partials.erase(push.key);
    return finished;
}

void config_exchange::recordKey(const config_push& push, config_replica& replica)
{
    open_pull& open = *m_pull;
    const auto known = replica.entries().find(push.key);
    const bool isComplete = known != replica.entries().end() && known->second.modified >= push.modified;
    if (!isComplete || push.modified <= open.cursor)
        return;
    const answer_key key { push.key, push.modified };
    const auto sameNumber = open.keys.find(push.number);
    const bool isDifferentAnswer = push.upTo != open.upTo || push.count != open.count
        || (sameNumber != open.keys.end() && sameNumber->second != key)
        || std::any_of(open.keys.begin(), open.keys.end(),
            [&](const auto& entry) { return entry.first != push.number && entry.second.key == push.key; });
    // Parts of two answers must not count as one complete answer: a key of the first answer may have been
    // modified again before the second.
    if (isDifferentAnswer)
        open.keys.clear();
    open.upTo = push.upTo;
    open.count = push.count;
    open.keys.emplace(push.number, key);
    if (push.isDeleted)
        open.liveKeys.erase(push.key);
    else
        open.liveKeys.insert(push.key);
    if (open.keys.size() == open.count)
        applyAnswerIndex(push, replica);
}

void config_exchange::applyAnswerIndex(const config_push& push, config_replica& replica)
{
    if (m_pull->start.value == 0)
        replica.markCompleteUpTo(push.upTo, m_pull->liveKeys, push.deletionHorizon);
    else
        replica.markAppliedUpTo(push.upTo);
}

void config_exchange::advanceCursor()
{
    std::uint32_t next = 0;
    for (const auto& [number, key] : m_pull->keys) {
        if (number != next)
            return;
        m_pull->cursor = key.modified;
        next += 1;
    }
}

addressed_message config_exchange::pull(const member& source, timestamp now)
{
    advanceCursor();
    m_pull->keys.clear();
    m_pull->count = 0;
    m_pull->bytesSincePull = 0;
    m_pull->shouldPullNow = false;
    m_pull->sentAt = now;
    return { source.id, source.peerAddress, config_pull { m_pull->cursor } };
}

std::optional<addressed_message> config_exchange::advance(const config_replica& replica,
    const std::vector<const member*>& sources, bool waitsForWatch, timestamp now)
{
    std::vector<const member*> ahead;
    for (const member* const source : sources)
        if (source->appliedIndex > replica.appliedIndex())
            ahead.push_back(source);
    if (ahead.empty()) {
        m_pull.reset();
        m_behindSince.reset();
        return std::nullopt;
    }
    if (!m_behindSince)
        m_behindSince = now;
    if (waitsForWatch && now - *m_behindSince < watchGracePeriod)
        return std::nullopt;
    if (m_pull) {
        const auto current = std::find_if(
            ahead.begin(), ahead.end(), [&](const member* source) { return source->id == m_pull->source; });
        const bool isWindowFull = m_pull->bytesSincePull >= windowBytes || m_pull->shouldPullNow;
        const bool isTimedOut = now - m_pull->sentAt >= pullTimeout;
        const bool isUsable = current != ahead.end() && m_pull->retries < retriesPerSource;
        if (isUsable && !isWindowFull && !isTimedOut)
            return std::nullopt;
        if (isUsable) {
            m_pull->retries += isTimedOut ? 1 : 0;
            return pull(**current, now);
        }
    }
    const member& source = *ahead[m_random(static_cast<std::uint32_t>(ahead.size()))];
    const config_index start = replica.appliedIndex();
    m_pull = open_pull { source.id, start, start, {}, {}, 0, {}, 0, now, 0, false };
    return pull(source, now);
}

} // namespace shallotcove::core
