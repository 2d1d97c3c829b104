#include "request.hpp"

#include <algorithm>

#include "wire/byte_order.hpp"

namespace shallotcove::testbench {

namespace {

    using wire::loadNumber;
    using wire::storeNumber;

    std::byte bodyByte(std::uint64_t id, std::size_t index)
    {
        return static_cast<std::byte>((id * 31 + index * 7) & 0xff);
    }

} // namespace

std::vector<std::byte> formatRequest(const request& message)
{
    std::vector<std::byte> bytes(requestBytes);
    bytes[0] = std::byte { 'Q' };
    bytes[1] = std::byte { message.runsOnce };
    storeNumber(std::span { bytes }, 2, message.responsePort);
    storeNumber(std::span { bytes }, 4, message.responseBytes);
    storeNumber(std::span { bytes }, 8, message.id);
    return bytes;
}

std::optional<request> parseRequest(std::span<const std::byte> bytes)
{
    if (bytes.size() != requestBytes || bytes[0] != std::byte { 'Q' })
        return std::nullopt;
    return request { loadNumber<std::uint64_t>(bytes, 8), bytes[1] != std::byte { 0 },
        loadNumber<std::uint32_t>(bytes, 4), loadNumber<std::uint16_t>(bytes, 2) };
}

std::vector<std::byte> formatResponse(const request& message, std::uint32_t server)
{
    std::vector<std::byte> bytes(responseHeaderBytes + message.responseBytes);
    bytes[0] = std::byte { 'A' };
    storeNumber(std::span { bytes }, 4, server);
    storeNumber(std::span { bytes }, 8, message.id);
    for (std::size_t index = responseHeaderBytes; index < bytes.size(); ++index)
        bytes[index] = bodyByte(message.id, index);
    return bytes;
}

bool isResponseTo(const request& message, std::span<const std::byte> response)
{
    if (response.size() != responseHeaderBytes + message.responseBytes || response[0] != std::byte { 'A' }
        || loadNumber<std::uint64_t>(response, 8) != message.id)
        return false;
    for (std::size_t index = responseHeaderBytes; index < response.size(); ++index)
        if (response[index] != bodyByte(message.id, index))
            return false;
    return true;
}

std::vector<std::byte> formatNumber(std::uint32_t number)
{
    std::vector<std::byte> bytes(sizeof number);
    storeNumber(std::span { bytes }, 0, number);
    return bytes;
}

std::optional<std::uint32_t> parseNumber(std::span<const std::byte> bytes)
{
    if (bytes.size() != sizeof(std::uint32_t))
        return std::nullopt;
    return loadNumber<std::uint32_t>(bytes, 0);
}

} // namespace shallotcove::testbench
