#pragma once

#include <sys/socket.h>

namespace shallotcove::daemon {

struct udp_socket_options {
    /// Requested size of the receive buffer and of the send buffer; the system may grant less.
    int bufferBytes { 1 << 20 };
};

} // namespace shallotcove::daemon
