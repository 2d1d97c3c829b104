// Passes items from a producer to a consumer thread and checks that none is lost or reordered. Provokes data
// races in the ring, for the thread sanitizer. Returns 0 on success.

#include <shallotcove/daemon/ring.hpp>

#include <cstdio>
#include <memory>
#include <thread>

namespace {

constexpr int items = 200000;

} // namespace

int main()
{
    shallotcove::daemon::ring<std::unique_ptr<int>> ring(64);
    std::thread producer([&ring] {
        for (int i = 0; i < items; ++i) {
            std::unique_ptr<int> item = std::make_unique<int>(i);
            while (!ring.tryPush(std::move(item)))
                std::this_thread::yield();
        }
    });
    int failures = 0;
    for (int expected = 0; expected < items;) {
        const std::optional<std::unique_ptr<int>> item = ring.pop();
        if (!item) {
            std::this_thread::yield();
            continue;
        }
        failures += **item != expected ? 1 : 0;
        ++expected;
    }
    producer.join();
    if (failures > 0 || ring.size() != 0 || ring.dropped() != 0)
        std::fprintf(stderr, "%d of %d items out of order, %zu left\n", failures, items, ring.size());
    return failures > 0 || ring.size() != 0 || ring.dropped() != 0 ? 1 : 0;
}
