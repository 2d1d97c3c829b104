#pragma once

#include <sys/socket.h>

namespace shallotcove::daemon {

struct udp_socket_options {
    /// Bytes asked of the system for each direction; the system may give less.
    int bufferBytes { 1 << 20 };
};

} // namespace shallotcove::daemon
