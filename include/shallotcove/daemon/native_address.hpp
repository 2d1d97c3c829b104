#pragma once

#include <sys/socket.h>

namespace shallotcove::daemon {

/// A socket address as the socket system calls take it.
struct native_address {
    sockaddr_storage storage {};
    socklen_t length {};
};

} // namespace shallotcove::daemon
