#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <new>
#include <optional>
#include <utility>
#include <vector>

namespace shallotcove::daemon {

/// Bounded queue between one producer thread and one consumer thread. When it is full, the newest item is
/// dropped and counted. Neither side locks or waits.
template <typename Item> class ring {
public:
    /// The capacity is rounded up to a power of two, at least 2.
    explicit ring(std::size_t capacity)
        : m_slots(roundUpToPowerOfTwo(capacity))
    {
    }

    ring(const ring&) = delete;
    ring& operator=(const ring&) = delete;

    /// Producer only. Returns false if the ring is full; the item is then unchanged and counted as dropped.
    bool push(Item&& item)
    {
        if (tryPush(std::move(item)))
            return true;
        m_dropped.fetch_add(1, std::memory_order_relaxed);
        return false;
    }

    /// Producer only. Like push(), but does not count a drop if the ring is full, for producers that keep the
    /// item and try again.
    bool tryPush(Item&& item)
    {
        const std::size_t tail = m_tail.load(std::memory_order_relaxed);
        if (tail - m_cachedHead == m_slots.size()) {
            m_cachedHead = m_head.load(std::memory_order_acquire);
            if (tail - m_cachedHead == m_slots.size())
                return false;
        }
        m_slots[tail & (m_slots.size() - 1)].emplace(std::move(item));
        m_tail.store(tail + 1, std::memory_order_release);
        return true;
    }

    /// Consumer only.
    std::optional<Item> pop()
    {
        const std::size_t head = m_head.load(std::memory_order_relaxed);
        if (head == m_cachedTail) {
            m_cachedTail = m_tail.load(std::memory_order_acquire);
            if (head == m_cachedTail)
                return std::nullopt;
        }
        std::optional<Item>& slot = m_slots[head & (m_slots.size() - 1)];
        std::optional<Item> item(std::move(*slot));
        slot.reset();
        m_head.store(head + 1, std::memory_order_release);
        return item;
    }

    /// Any thread. Exact only while neither push nor pop is running.
    std::size_t size() const
    {
        const std::size_t head = m_head.load(std::memory_order_acquire);
        const std::size_t tail = m_tail.load(std::memory_order_acquire);
        return tail - head;
    }

    std::size_t capacity() const { return m_slots.size(); }
    std::uint64_t dropped() const { return m_dropped.load(std::memory_order_relaxed); }

private:
    // Separates the fields of the consumer from those of the producer to avoid false sharing. Cache lines
    // have 64 bytes on the supported processors.
    static constexpr std::size_t cacheLineBytes = 64;

    static std::size_t roundUpToPowerOfTwo(std::size_t capacity)
    {
        std::size_t rounded = 2;
        while (rounded < capacity)
            rounded *= 2;
        return rounded;
    }

    std::vector<std::optional<Item>> m_slots;
    alignas(cacheLineBytes) std::atomic<std::size_t> m_head { 0 };
    std::size_t m_cachedTail {};
    alignas(cacheLineBytes) std::atomic<std::size_t> m_tail { 0 };
    std::size_t m_cachedHead {};
    std::atomic<std::uint64_t> m_dropped { 0 };
};

} // namespace shallotcove::daemon
