#pragma once

#include <sys/socket.h>

namespace shallotcove::daemon {

/// A socket address in the form that the system's calls take.
struct native_address {
    sockaddr_storage storage {};
    socklen_t length {};
};

} // namespace shallotcove::daemon
