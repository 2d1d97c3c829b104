#include <shallotcove/steering/flow_address.hpp>

#include <shallotcove/core/ip_address.hpp>

namespace shallotcove::steering {

std::string flow_address::toString() const
{
    const core::socket_address caller { core::ip_address::fromV4(callerAddress), callerPort };
    const core::socket_address service { core::ip_address::fromV4(serviceAddress), servicePort };
    return caller.toString() + ">" + service.toString();
}

} // namespace shallotcove::steering

std::size_t std::hash<shallotcove::steering::flow_address>::operator()(
    const shallotcove::steering::flow_address& flow) const noexcept
{
    // Derived from the golden ratio. Multiplying by it before and after the mix spreads differences over all
    // bits of the result.
    constexpr std::uint64_t multiplier = 0x9e3779b97f4a7c15;
    const std::uint64_t caller = (std::uint64_t { flow.callerAddress } << 16) | flow.callerPort;
    const std::uint64_t service = (std::uint64_t { flow.serviceAddress } << 16) | flow.servicePort;
    const std::uint64_t mixed = (caller * multiplier) ^ (service + (caller >> 7));
    return static_cast<std::size_t>((mixed ^ (mixed >> 29)) * multiplier);
}
