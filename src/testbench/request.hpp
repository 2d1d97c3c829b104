#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace shallotcove::testbench {

/// Request of a caller stand-in to a backend stand-in.
struct request {
    std::uint64_t id {};
    /// Not idempotent, like a hold or an order: must be executed at most once.
    bool runsOnce {};
    /// Size of the response body.
    std::uint32_t responseBytes {};
    /// UDP port at the caller's address to which responses are sent.
    std::uint16_t responsePort {};

    friend bool operator==(const request&, const request&) = default;
};

inline constexpr std::size_t requestBytes = 16;
inline constexpr std::size_t responseHeaderBytes = 16;

std::vector<std::byte> formatRequest(const request&);
std::optional<request> parseRequest(std::span<const std::byte>);

/// Formats the complete response: a header with the request id and the server number, then bytes derived from
/// the request id.
std::vector<std::byte> formatResponse(const request&, std::uint32_t server);

/// Whether this is exactly the complete response to the request.
bool isResponseTo(const request&, std::span<const std::byte> response);

// Payloads of handshakes: the caller sends its response port, and the server its number.

std::vector<std::byte> formatNumber(std::uint32_t);
std::optional<std::uint32_t> parseNumber(std::span<const std::byte>);

} // namespace shallotcove::testbench
