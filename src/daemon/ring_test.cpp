#include <shallotcove/daemon/ring.hpp>

#include <memory>

#include <criterion/criterion.h>

namespace daemon_ns = shallotcove::daemon;

// Items must not be lost, repeated or reordered when the positions wrap around.
Test(ring, keeps_order_when_positions_wrap)
{
    daemon_ns::ring<int> ring(3);
    cr_assert(ring.capacity() == 4);
    int next = 0;
    int expected = 0;
    for (int round = 0; round < 100; ++round) {
        for (int i = 0; i <= round % 4; ++i)
            cr_assert(ring.push(next++));
        cr_assert(ring.size() == static_cast<std::size_t>(round % 4 + 1));
        for (int i = 0; i <= round % 4; ++i)
            cr_assert(ring.pop() == expected++);
        cr_assert(!ring.pop().has_value());
    }
    cr_assert(ring.dropped() == 0);
}

// A full ring must keep its items, refuse a new one, and count it if it was offered with push().
Test(ring, full_ring_drops_newest_and_counts)
{
    daemon_ns::ring<std::unique_ptr<int>> ring(2);
    cr_assert(ring.push(std::make_unique<int>(1)));
    cr_assert(ring.push(std::make_unique<int>(2)));
    std::unique_ptr<int> newest = std::make_unique<int>(3);
    cr_assert(!ring.push(std::move(newest)));
    cr_assert(newest != nullptr, "the producer keeps an item that push() refused");
    cr_assert(ring.dropped() == 1);
    cr_assert(!ring.tryPush(std::move(newest)));
    cr_assert(ring.dropped() == 1);
    cr_assert(**ring.pop() == 1);
    cr_assert(ring.push(std::move(newest)));
    cr_assert(**ring.pop() == 2 && **ring.pop() == 3);
}

// pop() must destroy the item in its slot; otherwise the ring keeps its memory until the slot is overwritten.
Test(ring, pop_releases_the_slot)
{
    daemon_ns::ring<std::shared_ptr<int>> ring(2);
    std::shared_ptr<int> item = std::make_shared<int>(1);
    const std::weak_ptr<int> watched = item;
    ring.push(std::move(item));
    ring.pop();
    cr_assert(watched.expired());
}
