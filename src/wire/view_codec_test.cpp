#include <shallotcove/wire/view_codec.hpp>

#include <algorithm>
#include <array>

#include <criterion/criterion.h>

#include <shallotcove/steering/routing_config.hpp>

namespace core = shallotcove::core;
namespace steering = shallotcove::steering;
using namespace shallotcove::wire;

namespace {

steering::routing_config sampleConfig(double coldFlowsPerSecond)
{
    steering::routing_config config;
    config.version = 7;
    config.routes = { { "r1", { 0xc6120001, 443 }, { { "booking", 3 }, { "media", 1 } },
        std::chrono::milliseconds { 1200 }, std::chrono::milliseconds { 200 }, 1,
        { "ro-buc", "cantabrico" } } };
    config.services = { { "booking", std::chrono::milliseconds { 4000 }, coldFlowsPerSecond } };
    return config;
}

passed_changes sampleChanges(double coldFlowsPerSecond)
{
    steering::server_entry server;
    server.id = "i-0a1b2c3d4e";
    server.wireId = 0x0a1b2c3d4e;
    server.service = "booking";
    server.address = *core::socket_address::parse("10.1.64.3:8080");
    server.dataCentre = "buc-a";
    server.slots = 3;
    server.state = steering::server_state::Draining;
    server.coldFor = std::chrono::milliseconds { 1500 };
    server.startedAtMs = 1777777777777;
    return { 99,
        { { { steering::item_kind::Config, "" }, 90, sampleConfig(coldFlowsPerSecond) },
            { { steering::item_kind::DataCentreOut, "buc-b" }, 91, steering::data_centre_out {} },
            { { steering::item_kind::Server, server.id }, 92, server },
            { { steering::item_kind::Server, "i-1" }, 93, steering::removed_item {} },
            { { steering::item_kind::Server, "i-2" }, 94, steering::unreadable_item { "no JSON" } } } };
}

} // namespace

// Guards against hosts that learn something else from a neighbour than from the store. A whole number of
// flows a second once arrived as no limit at all, found by the soak with 120 hosts, seed 201.
Test(view_codec, carries_every_field)
{
    for (const double coldFlowsPerSecond : { 0.0, 12.0, 12.5, 1e9 }) {
        const passed_changes sent = sampleChanges(coldFlowsPerSecond);
        const std::optional<passed_changes> received = decodeChanges(encodeChanges(sent));
        cr_assert(received && *received == sent, "%f", coldFlowsPerSecond);
    }
}

// Guards against a mistake within a route or a service that is taken for a zero.
Test(view_codec, refuses_mistakes_in_inner_arrays)
{
    const std::vector<std::byte> good = encodeChanges(sampleChanges(12.5));
    const auto replaced = [&good](std::string_view text, std::byte by) {
        std::vector<std::byte> bytes = good;
        const std::span<const std::byte> pattern = std::as_bytes(std::span { text });
        const auto found = std::search(bytes.begin(), bytes.end(), pattern.begin(), pattern.end());
        cr_assert(found != bytes.end());
        // The byte in front of a short text gives its type and length.
        *(found - 1) = by;
        return bytes;
    };
    cr_assert(decodeChanges(good));
    // Nil in place of a text leaves its bytes as numbers behind.
    for (const char* const text : { "media", "ro-buc", "r1" })
        cr_assert(!decodeChanges(replaced(text, std::byte { 0xc0 })), "%s", text);
    for (std::size_t size = 0; size < good.size(); ++size)
        cr_assert(!decodeChanges(std::span { good }.first(size)), "%zu bytes", size);
}
