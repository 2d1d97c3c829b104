#pragma once

namespace shallotcove::steering {

/// What this host currently requires from the message exchange with other hosts.
struct exchange_requirements {
    /// Whether this host has to find out which data centres it can reach.
    bool reachability {};
    /// Whether this host requests the loads that other data centres place on the servers, because the servers
    /// of its own data centre have no room.
    bool remoteLoads {};
    /// Whether servers nearby are busy, so that neighbours must learn each other's loads quickly.
    bool frequentLoads {};
};

} // namespace shallotcove::steering
