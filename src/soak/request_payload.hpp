#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace shallotcove::soak {

/// Payload of the packets that callers and servers of the soak exchange.
struct request_payload {
    std::uint64_t request {};
    /// Whether the request may run more than once.
    bool isIdempotent {};

    friend bool operator==(const request_payload&, const request_payload&) = default;
};

std::vector<std::byte> encodePayload(const request_payload&);
std::optional<request_payload> decodePayload(std::span<const std::byte>);

} // namespace shallotcove::soak
