#include <shallotcove/core/address_decision.hpp>

namespace shallotcove::core {

namespace {

    std::string joinNames(const std::vector<std::string>& names)
    {
        // Keeps the message readable; `status` shows all hosts.
        constexpr std::size_t maximumNames = 20;
        std::string text;
        for (std::size_t index = 0; index < names.size() && index < maximumNames; ++index)
            text += (index > 0 ? ", " : "") + names[index];
        if (names.size() > maximumNames)
            text += " and " + std::to_string(names.size() - maximumNames) + " more";
        return text;
    }

} // namespace

std::vector<std::string> hostsBehind(config_index required, const std::vector<host_progress>& hosts)
{
    std::vector<std::string> behind;
    for (const host_progress& host : hosts) {
        const bool isGone = !host.isListed && host.isDead;
        if (!isGone && host.appliedIndex.value < required.value)
            behind.push_back(host.name);
    }
    return behind;
}

address_decision decideAddress(const std::string& serviceName, const socket_address& address,
    transport protocol, const std::optional<stored_reservation>& stored,
    const std::vector<host_progress>& hosts)
{
    if (!stored)
        return {};
    const address_reservation& reservation = stored->reservation;
    const std::string subject = address.toString() + (protocol == transport::Tcp ? "/tcp" : "/udp") + " ";
    if (!reservation.isRemoving) {
        if (reservation.serviceName == serviceName)
            return { address_availability::Owned, "", {} };
        return { address_availability::InUse, subject + "is used by service " + reservation.serviceName, {} };
    }
    const std::string removal = subject + "was removed from service " + reservation.serviceName + " at index "
        + std::to_string(stored->changedAt.value);
    if (hosts.empty())
        return { address_availability::Removing, removal + "; no host is known to have applied this", {} };
    std::vector<std::string> behind = hostsBehind(stored->changedAt, hosts);
    if (behind.empty())
        return {};
    std::string message = removal + "; hosts that have not applied this: " + joinNames(behind);
    return { address_availability::Removing, std::move(message), std::move(behind) };
}

} // namespace shallotcove::core
