#include "tagged_options.hpp"

#include <chrono>
#include <random>

#include <shallotcove/daemon/tagged_settings.hpp>

namespace shallotcove::daemon {

namespace {

    /// A host with at least this many cores lists all items of the store at its start without waiting for a
    /// neighbour.
    constexpr double minimumCoresForListing = 0.25;
    /// How long a host with fewer cores waits for a neighbour; hosts with more need a few hundred
    /// milliseconds for the listing.
    constexpr std::chrono::milliseconds smallHostNeighbourWait { 1500 };

    std::uint64_t randomNumber()
    {
        std::random_device random;
        return (static_cast<std::uint64_t>(random()) << 32) | random();
    }

} // namespace

tagged_packet_options packetOptions(const tagged_settings& settings)
{
    tagged_packet_options options;
    options.steering.dataCentre = settings.dataCentre;
    options.steering.regions = settings.regions;
    options.steering.randomSeed = randomNumber();
    options.steering.maximumTrackedFlows = settings.limits.flows;
    options.steering.maximumFlowsPerSlot = settings.limits.flowsPerSlot;
    options.steering.lowPriorityShare = settings.limits.lowPriorityShare;
    options.steering.requestHold = settings.limits.requestHold;
    constexpr double thousandths = 1000;
    options.hosts.self = { settings.peerAddress.address.toV4(), settings.dataCentre,
        static_cast<std::uint32_t>(thousandths * settings.processorShare) };
    for (const core::socket_address& seed : settings.seeds) {
        if (seed.address.isV4())
            options.hosts.seeds.push_back(seed.address.toV4());
    }
    return options;
}

store_follower_options followerOptions(const tagged_settings& settings)
{
    store_follower_options options;
    options.address = settings.storeAddress;
    options.randomSeed = randomNumber();
    if (settings.processorShare < minimumCoresForListing)
        options.neighbourWait = smallHostNeighbourWait;
    return options;
}

} // namespace shallotcove::daemon
