#include <shallotcove/steering/host_directory.hpp>

#include <map>
#include <memory>

#include <criterion/criterion.h>

#include "steering_fixture.hpp"

namespace core = shallotcove::core;
using namespace shallotcove::steering;
using namespace shallotcove::steering::testing;

namespace {

neighbour_message otherPlace()
{
    neighbour_message message;
    message.dataCentre = "b";
    return message;
}

/// Hosts 1 to count, three in a data centre, that pass messages at once unless a link is cut.
class small_fleet {
public:
    explicit small_fleet(std::uint32_t count)
    {
        for (std::uint32_t host = 1; host <= count; ++host) {
            host_directory_options options;
            options.self = { host, placeOf(host) };
            options.seeds = { 1, 2 };
            m_hosts.emplace(host, host_directory(options));
        }
    }

    static std::string placeOf(std::uint32_t host) { return host <= 3 ? "a" : "b"; }

    void step(core::timestamp now, bool isCut = false)
    {
        for (auto& [address, host] : m_hosts) {
            for (const outgoing_message& message :
                host.advance({ { tagOf("i-1"), address } }, { address, true, now }, {}, now))
                deliver(address, message, now, isCut);
        }
    }

    host_directory& host(std::uint32_t address) { return m_hosts.at(address); }
    std::size_t messages {};

private:
    void deliver(std::uint32_t from, const outgoing_message& sent, core::timestamp now, bool isCut)
    {
        ++messages;
        const auto target = m_hosts.find(sent.to);
        if (target == m_hosts.end() || (isCut && placeOf(from) != placeOf(sent.to)))
            return;
        if (const std::optional<outgoing_message> answer
            = target->second.handle(from, sent.message, {}, {}, now))
            deliver(sent.to, *answer, now, isCut);
    }

    std::map<std::uint32_t, host_directory> m_hosts;
};

} // namespace

// Guards against hosts that stay unknown because they are no seeds, with the store away.
Test(host_directory, all_hosts_find_each_other_through_two_seeds)
{
    small_fleet fleet(6);
    for (double now = 0; now < 1500; now += 50)
        fleet.step(at(now));
    for (std::uint32_t host = 1; host <= 6; ++host) {
        cr_assert(fleet.host(host).addresses().size() == 6, "host %u", host);
        cr_assert(fleet.host(host).neighbourCount(at(1500)) == 2, "host %u", host);
    }
    cr_assert(fleet.host(1).highestRevision() == 6);
}

// Guards against hosts of a data centre that is cut off being taken for reachable, and against forgetting
// them.
Test(host_directory, silent_hosts_are_not_heard_but_stay_counted)
{
    small_fleet fleet(6);
    for (double now = 0; now < 1500; now += 50)
        fleet.step(at(now));
    for (double now = 1500; now < 8000; now += 50)
        fleet.step(at(now), true);
    cr_assert(!fleet.host(1).wasHeard("b", at(4000)));
    cr_assert(fleet.host(1).knowsHostsIn("b") && fleet.host(1).addresses().size() == 6);
    fleet.step(at(8000));
    fleet.step(at(10050));
    cr_assert(fleet.host(1).wasHeard("b", at(8000)));
}

// Guards against messages between data centres, which are priced, at the rate of those within one.
Test(host_directory, data_centres_exchange_few_messages_and_no_loads)
{
    host_directory_options options;
    options.self = { 1, "a" };
    host_directory host(options);
    host.handle(2, otherPlace(), {}, {}, at(0));
    std::size_t sent = 0;
    for (double now = 0; now < 10000; now += 50) {
        host.handle(2, otherPlace(), {}, {}, at(now));
        for (const outgoing_message& message : host.advance({ { tagOf("i-1"), 1 } }, {}, {}, at(now))) {
            cr_assert(message.message.loads.empty());
            ++sent;
        }
    }
    cr_assert(sent == 5, "%zu", sent);
}

// Guards against messages between hosts that grow with the square of their number, and against loads and
// neighbours that are forgotten between two of them.
Test(host_directory, messages_stay_few_in_a_large_data_centre)
{
    host_directory_options options;
    options.self = { 1, "a" };
    host_directory host(options);
    neighbour_message greeting;
    greeting.dataCentre = "a";
    const auto hearAll = [&](double now) {
        for (std::uint32_t other = 2; other <= 201; ++other)
            host.handle(other, greeting, {}, {}, at(now));
    };
    std::size_t sent = 0;
    for (double now = 0; now < 10000; now += 50) {
        if (static_cast<int>(now) % 2000 == 0)
            hearAll(now);
        // The loads stay the same at first and change all the time later.
        const std::uint32_t load = now < 5000 ? 1 : static_cast<std::uint32_t>(now);
        sent += host.advance({ { tagOf("i-1"), load } }, {}, {}, at(now)).size();
        cr_assert_eq(host.neighbourCount(at(now)), 200);
    }
    cr_assert_leq(sent, static_cast<std::size_t>(1.1 * 10 * options.messagesPerSecond), "%zu", sent);
    cr_assert(host.loadInterval() == std::chrono::seconds { 2 });
}
