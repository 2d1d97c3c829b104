#include "config_commands.hpp"

#include <charconv>

namespace shallotcove::daemon {

tl::expected<core::service_id, rpc::call_failure> parseNextServiceId(
    const std::optional<core::store_entry>& entry)
{
    if (!entry)
        return core::service_id { 1 };
    std::uint32_t number {};
    const char* const end = entry->value.data() + entry->value.size();
    const std::from_chars_result parsed = std::from_chars(entry->value.data(), end, number);
    // UINT32_MAX is refused because the counter could not be advanced past it.
    if (parsed.ec != std::errc {} || parsed.ptr != end || number == 0 || number == UINT32_MAX)
        return tl::unexpected(invalidValue(
            nextServiceIdKey, { { "", "found \"" + entry->value + "\", allowed: 1 to 4294967294" } }));
    return core::service_id { number };
}

tl::expected<void, rpc::call_failure> checkAddress(const core::service_config& service,
    const std::optional<core::store_entry>& reservation, const std::vector<std::string>& hostsBehind)
{
    if (!reservation)
        return {};
    const tl::expected<core::address_reservation, core::config_problems> parsed
        = core::parseAddressReservation(reservation->value);
    if (!parsed)
        return tl::unexpected(invalidValue(reservation->key, parsed.error()));
    // This host handles the request, so it counts as having applied the removal that it knows of.
    std::vector<core::host_progress> hosts { { "this host", reservation->modified, true, false } };
    for (const std::string& name : hostsBehind)
        hosts.push_back({ name, {}, true, false });
    const core::address_decision decision = core::decideAddress(service.name, service.address,
        service.protocol, core::stored_reservation { *parsed, reservation->modified }, hosts);
    if (!decision.message.empty())
        return tl::unexpected(rpc::call_failure { rpc::operator_error::AddressInUse, decision.message });
    return {};
}

} // namespace shallotcove::daemon
