#pragma once

#include <cstddef>

namespace shallotcove::testbench {

/// Results of a measurement at one size. Fields that the measurement does not set are 0.
struct capacity_sample {
    double size {};
    /// Bytes of control messages sent per host.
    double bytesPerSecond {};
    /// Fraction of one CPU core used per host.
    double coreShare {};
    /// Heap bytes per host.
    double allocatedBytes {};
    /// Heap bytes of the packet engine's view of a snapshot.
    double packetEngineBytes {};
    /// CPU time from the store contents to the first complete snapshot.
    double startupSeconds {};
    /// CPU time of one configuration change in the control engine and in the packet engine.
    double controlChangeSeconds {};
    double packetChangeSeconds {};
    /// CPU time to handle a packet of a known flow and the first packet of a new one.
    double knownFlowNanoseconds {};
    double newFlowNanoseconds {};
};

/// Measures a fleet of this many control engines in one process while nothing changes.
capacity_sample measureMembership(std::size_t hosts);

/// Measures one host with this many services of 7 backend servers each.
capacity_sample measureConfiguration(std::size_t services);

/// Measures one packet engine with this many open flows.
capacity_sample measureFlows(std::size_t flows);

} // namespace shallotcove::testbench
