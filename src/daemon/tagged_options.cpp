#include "tagged_options.hpp"

#include <random>

#include <shallotcove/daemon/tagged_settings.hpp>

namespace shallotcove::daemon {

namespace {

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
    options.steering.ledgerFlows = settings.limits.flows;
    options.hosts.self = { settings.peerAddress.address.toV4(), settings.dataCentre };
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
    return options;
}

} // namespace shallotcove::daemon
