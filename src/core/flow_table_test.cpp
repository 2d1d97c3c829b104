#include "flow_table.hpp"

#include <map>

#include <criterion/criterion.h>

using namespace shallotcove::core;

namespace {

constexpr timestamp start { std::chrono::seconds { 1000 } };

flow_hash numberedFlow(std::uint32_t number)
{
    flow_key key;
    key.caller = { ip_address::fromV4(number), 1000 };
    return hashFlow(key, 1);
}

} // namespace

// Reusing slots must neither lose entries nor bring erased ones back. Compares the table with an ordered map.
Test(flow_table, agrees_with_a_map)
{
    flow_table table(256, std::chrono::seconds { 900 });
    std::map<flow_hash, std::uint32_t> expected;
    std::uint64_t random = 1;
    for (std::uint32_t step = 0; step < 50000; ++step) {
        random = random * 6364136223846793005 + 1442695040888963407;
        const flow_hash flow = numberedFlow(std::uint32_t(random >> 33) % 400);
        flow_entry* const found = table.find(flow, start);
        cr_assert((found != nullptr) == expected.contains(flow));
        if (found != nullptr) {
            cr_assert(found->server.value == expected[flow]);
            table.erase(*found);
            expected.erase(flow);
        } else if (flow_entry* const added = table.insert(flow, start, [](flow_entry&) {})) {
            added->server = { step };
            expected[flow] = step;
        }
        cr_assert(table.size() == expected.size());
    }
    cr_assert(expected.size() > 100);
}

// Entries of ended flows must make room for new flows, but entries of open flows must not be dropped early.
Test(flow_table, idle_flows_make_room)
{
    flow_table table(64, std::chrono::seconds { 900 });
    for (std::uint32_t number = 0; number < 64; ++number)
        cr_assert(table.insert(numberedFlow(number), start, [](flow_entry&) {}) != nullptr);
    table.find(numberedFlow(0), start)->set(flow_flag::Closed);
    std::uint32_t erased {};
    const auto onErase = [&](flow_entry&) { ++erased; };
    cr_assert(table.insert(numberedFlow(100), start + std::chrono::seconds { 29 }, onErase) == nullptr);
    cr_assert(table.insert(numberedFlow(100), start + std::chrono::seconds { 31 }, onErase) != nullptr);
    cr_assert(table.insert(numberedFlow(101), start + std::chrono::seconds { 899 }, onErase) == nullptr);
    cr_assert(table.find(numberedFlow(1), start + std::chrono::seconds { 899 }) != nullptr);
    cr_assert(table.find(numberedFlow(1), start + std::chrono::seconds { 901 }) == nullptr);
    cr_assert(table.insert(numberedFlow(101), start + std::chrono::seconds { 901 }, onErase) != nullptr);
    cr_assert(erased == 2 && table.size() == 64);
}
