#include <shallotcove/core/address_decision.hpp>

#include <criterion/criterion.h>

namespace core = shallotcove::core;

// An address must not go to another service while a host may still forward its packets to the previous one.
Test(address_decision, address_stays_reserved_until_all_hosts_applied_its_removal)
{
    using enum core::address_availability;
    struct address_case {
        const char* name;
        std::optional<core::stored_reservation> stored;
        std::vector<core::host_progress> hosts;
        core::address_availability expected;
        std::vector<std::string> behind;
    };
    const core::stored_reservation inUse { { "mostre", { 3 }, false }, { 20 } };
    const core::stored_reservation removing { { "mostre", { 3 }, true }, { 20 } };
    const core::stored_reservation ownRemoving { { "rezervari", { 2 }, true }, { 20 } };
    const std::vector<address_case> cases {
        { "no reservation", std::nullopt, {}, Free, {} },
        { "other service", inUse, { { "a", { 30 }, true, false } }, InUse, {} },
        { "own service", core::stored_reservation { { "rezervari", { 4 }, false }, { 20 } }, {}, Owned, {} },
        { "all applied", removing, { { "a", { 20 }, true, false }, { "b", { 21 }, false, false } }, Free,
            {} },
        { "listed host behind", removing, { { "a", { 19 }, true, false }, { "b", { 20 }, true, false } },
            Removing, { "a" } },
        { "seen host behind, not listed", removing, { { "a", { 19 }, false, false } }, Removing, { "a" } },
        { "dead but listed", removing, { { "a", { 19 }, true, true } }, Removing, { "a" } },
        { "dead and not listed", removing, { { "a", { 19 }, false, true }, { "b", { 20 }, true, false } },
            Free, {} },
        { "never heard from", removing, { { "a", { 0 }, true, false } }, Removing, { "a" } },
        { "no host known", removing, {}, Removing, {} },
        { "same name, earlier service", ownRemoving, { { "a", { 19 }, true, false } }, Removing, { "a" } },
    };
    for (const address_case& entry : cases) {
        const core::address_decision decision = core::decideAddress("rezervari",
            *core::socket_address::parse("192.0.2.1:443"), core::transport::Tcp, entry.stored, entry.hosts);
        cr_assert(decision.availability == entry.expected, "%s", entry.name);
        cr_assert(decision.hostsBehind == entry.behind, "%s", entry.name);
        const bool isAvailable = entry.expected == Free || entry.expected == Owned;
        cr_assert(decision.message.empty() == isAvailable, "%s: %s", entry.name, decision.message.c_str());
        for (const std::string& host : entry.behind)
            cr_assert(decision.message.find(": " + host) != std::string::npos, "%s", entry.name);
    }
}
