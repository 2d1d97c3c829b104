#include <string>

#include <criterion/criterion.h>

#include <shallotcove/core/control_engine.hpp>

#include "test_messages.hpp"

namespace core = shallotcove::core;
namespace wire = shallotcove::wire;

// Every message that the control engine sends must fit the size limit of the codec: a message that the codec
// rejects as too long is lost. The engine gets many members and limits with large fields.
Test(gossip_size, every_message_can_be_encoded)
{
    core::control_engine_options options;
    options.self = wire::test::member("127.0.1.1:7946", "127.0.1.1:6080");
    options.self.incarnation = UINT64_MAX - 1'000'000;
    core::control_engine engine = std::move(*core::control_engine::create(options));
    std::vector<core::host_id> hosts;
    core::gossip allUpdates;
    for (std::uint16_t i = 1; i <= 100; ++i) {
        core::member other = wire::test::member("[2001:db8::1]:7946", "[2001:db8::9]:6080");
        other.dataCentre = std::string(i % 2 == 0 ? 63 : 10, 'd');
        if (i % 3 == 0)
            other.blockedServices.clear();
        other.peerAddress.port = i;
        other.id = core::hostIdFor(other.peerAddress);
        other.state = core::member_state::Alive;
        other.appliedIndex = {};
        hosts.push_back(other.id);
        allUpdates.members.push_back(other);
    }
    for (std::uint32_t i = 1; i <= 50; ++i)
        allUpdates.limits.push_back({ { { UINT32_MAX }, { UINT32_MAX - i }, UINT64_MAX, { UINT64_MAX },
                                          core::limit_kind::Cold, UINT32_MAX },
            hosts });
    const core::store_entry entry { std::string(160, 'k'), { UINT64_MAX - 1 }, false,
        std::string(5000, 'v') };
    core::timestamp now;
    std::size_t largestBytes = 0;
    std::size_t sentTypes = 0;
    engine.advance(now);
    for (int round = 0; round < 300; ++round) {
        now = now + std::chrono::milliseconds { 20 };
        const core::member& sender = allUpdates.members[static_cast<std::size_t>(round) % 100];
        core::gossip updates = allUpdates;
        std::swap(updates.members.front(), updates.members[static_cast<std::size_t>(round) % 100]);
        engine.handleMessage(sender.id, sender.peerAddress, core::ping { UINT64_MAX, updates }, now);
        engine.handleMessage(sender.id, sender.peerAddress, core::config_pull {}, now);
        engine.handleStoreEntries({ entry }, { UINT64_MAX - 1 }, now);
        for (const core::addressed_message& sent : engine.advance(now).messages) {
            const auto bytes = wire::encodePeerMessage(
                { { UINT64_MAX }, UINT64_MAX, UINT64_MAX }, sent.message, wire::test::key());
            cr_assert(bytes.has_value(), "type %zu", sent.message.index());
            largestBytes = std::max(largestBytes, bytes->size());
            sentTypes |= 1U << sent.message.index();
        }
    }
    cr_log_info("largest message: %zu bytes", largestBytes);
    // Bits of the message types that were sent: ping, ping_request, ack and config_push.
    cr_assert(sentTypes == 0b10111, "message types sent: %zu", sentTypes);
}
