#include "peer_port.hpp"

#include <array>
#include <string>

#include <criterion/criterion.h>

#include "packet_fixture.hpp"

namespace core = shallotcove::core;
namespace wire = shallotcove::wire;
namespace daemon_ns = shallotcove::daemon;
namespace testing = shallotcove::daemon::testing;

namespace {

const wire::peer_key key = *wire::peer_key::parse(std::string(64, '1'));
const wire::peer_key otherKey = *wire::peer_key::parse(std::string(64, '2'));
constexpr core::host_id receiver { 1 };
constexpr core::host_id sender { 2 };

std::vector<std::byte> encoded(core::host_id from, std::uint64_t sequence, const wire::peer_key& with)
{
    return *wire::encodePeerMessage({ from, 5, sequence }, core::config_pull { { 3 } }, with);
}

} // namespace

// Invalid, replayed and foreign messages must not be returned by receive(), and must be counted by reason.
Test(peer_port, drops_and_counts_invalid_messages)
{
    daemon_ns::udp_socket receiving = testing::loopbackSocket();
    const core::socket_address to = receiving.address();
    daemon_ns::peer_port port(std::move(receiving), key, receiver, 1);
    const daemon_ns::udp_socket from = testing::loopbackSocket();
    std::vector<std::byte> changed = encoded(sender, 1, key);
    changed[changed.size() / 2] ^= std::byte { 1 };
    testing::sendDatagram(from, to, {});
    testing::sendDatagram(from, to, { std::byte { 0x99 } });
    testing::sendDatagram(from, to, std::vector<std::byte>(core::maximumPeerMessageBytes + 1));
    testing::sendDatagram(from, to, changed);
    testing::sendDatagram(from, to, encoded(sender, 1, otherKey));
    testing::sendDatagram(from, to, encoded(receiver, 1, key));
    testing::sendDatagram(from, to, encoded(sender, 2, key));
    testing::sendDatagram(from, to, encoded(sender, 2, key));
    testing::sendDatagram(from, to, encoded(sender, 3, key));
    // The loopback interface delivers in order, so all datagrams were handled when the last message arrives.
    std::size_t received = 0;
    while (received < 2) {
        cr_assert(port.waitReadable(5000));
        while (const std::optional<daemon_ns::peer_datagram> datagram = port.receive()) {
            cr_assert(datagram->from == sender && datagram->fromAddress == from.address());
            cr_assert(std::get<core::config_pull>(datagram->message).since.value == 3);
            ++received;
        }
    }
    const daemon_ns::peer_port_counters& counters = port.counters();
    const auto dropped
        = [&](wire::peer_codec_error error) { return counters.dropped[static_cast<std::size_t>(error)]; };
    cr_assert(received == 2);
    cr_assert(dropped(wire::peer_codec_error::TooShort) == 2);
    cr_assert(dropped(wire::peer_codec_error::TooLong) == 1);
    cr_assert(dropped(wire::peer_codec_error::BadChecksum) == 2);
    cr_assert(dropped(wire::peer_codec_error::Replayed) == 2,
        "the message with the receiver's own id and the repeated one");
    cr_assert(counters.lastDroppedSender == from.address().toString());
}

// A message that one port sends must be readable at the other, and both must count the same bytes.
Test(peer_port, sent_messages_are_received)
{
    daemon_ns::udp_socket receiving = testing::loopbackSocket();
    const core::socket_address to = receiving.address();
    daemon_ns::peer_port left(testing::loopbackSocket(), key, sender, 7);
    daemon_ns::peer_port right(std::move(receiving), key, receiver, 7);
    left.send(core::config_pull { { 42 } }, to);
    cr_assert(right.waitReadable(5000));
    const std::optional<daemon_ns::peer_datagram> datagram = right.receive();
    cr_assert(datagram && std::get<core::config_pull>(datagram->message).since.value == 42);
    cr_assert(left.counters().sentBytes > 0);
    cr_assert(left.counters().sentBytes == right.counters().receivedBytes);
}

// A message that is too long to encode, or that the system cannot send, must be counted and not end the
// thread.
Test(peer_port, counts_failed_sends)
{
    daemon_ns::peer_port port(testing::loopbackSocket(), key, sender, 7);
    core::config_push push;
    push.bytes = std::string(core::maximumPeerMessageBytes, 'x');
    push.totalBytes = static_cast<std::uint32_t>(push.bytes.size());
    port.send(push, testing::parsedAddress("127.0.0.1:9"));
    cr_assert(port.counters().sendFailed == 1);
    // An IPv4 socket cannot send to an IPv6 address.
    port.send(core::config_pull {}, testing::parsedAddress("[2001:db8::1]:9"));
    cr_assert(port.counters().sendFailed == 2 && !port.counters().lastSendFailure.empty());
}
