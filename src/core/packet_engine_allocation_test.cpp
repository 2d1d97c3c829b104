#include <shallotcove/core/packet_engine.hpp>

#include <cstdlib>
#include <new>

#include <criterion/criterion.h>

#include "engine_fleet.hpp"

using namespace shallotcove::core;
using namespace shallotcove::core::testing;

namespace {

std::size_t allocations {};

} // namespace

// Replaces all forms except the aligned ones. The address sanitizer reports memory that is allocated by one
// of its own forms and freed by one of these.
void* operator new(std::size_t size, const std::nothrow_t&) noexcept
{
    ++allocations;
    return std::malloc(size == 0 ? 1 : size);
}
void* operator new(std::size_t size)
{
    if (void* const memory = operator new(size, std::nothrow))
        return memory;
    throw std::bad_alloc();
}
void* operator new[](std::size_t size) { return operator new(size); }
void* operator new[](std::size_t size, const std::nothrow_t&) noexcept
{
    return operator new(size, std::nothrow);
}
void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }
void operator delete(void* memory, const std::nothrow_t&) noexcept { std::free(memory); }
void operator delete[](void* memory) noexcept { std::free(memory); }
void operator delete[](void* memory, std::size_t) noexcept { std::free(memory); }
void operator delete[](void* memory, const std::nothrow_t&) noexcept { std::free(memory); }

// Allocations in the packet path would stall the packet thread. Covers known, new, ambiguous, limited,
// repeated and last packets, with and without free slots in the tables.
Test(packet_engine_allocation, packets_do_not_allocate)
{
    packet_engine_options options = engine_fleet::smallTableOptions();
    options.localFlows = 256;
    options.trackedFlows = 256;
    engine_fleet fleet(5, options);
    const service_config active = drainingService(epoch_phase::Active);
    for (std::size_t host = 0; host < 5; ++host)
        fleet.nextSnapshot(host).limits
            = { { { active.id, { 2 }, 1, {}, limit_kind::Cold, 5 }, limit_stage::Effective, fleet.now() } };
    fleet.applyToAll({ active });
    std::size_t allocationsInPacketPath {};
    for (std::uint32_t caller = 1; caller <= 3000; ++caller) {
        const std::size_t before = allocations;
        fleet.send(caller % 5, firstPacket(caller, active));
        for (std::size_t host = 0; host < 5; ++host)
            fleet.send(host, laterPacket(caller, active));
        packet_summary last = laterPacket(caller, active);
        last.isFinal = caller % 4 == 0;
        fleet.send((caller + 1) % 5, last);
        fleet.send(caller % 5, firstPacket(caller, active));
        allocationsInPacketPath += allocations - before;
        if (caller % 10 == 0)
            fleet.run(std::chrono::milliseconds { 10 });
    }
    cr_assert(allocations > 0, "the counter is not in use");
    cr_assert(allocationsInPacketPath == 0, "%zu allocations", allocationsInPacketPath);
}
