#pragma once

#include <memory>

#include <shallotcove/core/ip_address.hpp>
#include <shallotcove/daemon/tagged_channels.hpp>
#include <shallotcove/daemon/udp_socket.hpp>
#include <shallotcove/steering/host_directory.hpp>
#include <shallotcove/steering/steering_options.hpp>

namespace shallotcove::daemon {

class wake_signal;

struct tagged_packet_options {
    steering::steering_options steering;
    steering::host_directory_options hosts;
};

/// Owns the sockets for callers and neighbours and the steering engine that decides on packets; all calls
/// come from the packet thread.
class tagged_packet_worker {
public:
    tagged_packet_worker(udp_socket callers, udp_socket neighbours, const wake_signal&, tagged_channels&,
        const tagged_packet_options&);
    ~tagged_packet_worker();

    /// Waits for datagrams, changes of the view or timed work, and handles them.
    void runOnce();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace shallotcove::daemon
