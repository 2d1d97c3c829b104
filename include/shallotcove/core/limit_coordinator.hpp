#pragma once

#include <vector>

#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/member.hpp>

namespace shallotcove::core {

/// The one host that may raise or clear the limit of a backend server: the first of hosts in rendezvous
/// order. Host 0 if hosts is empty.
host_id limitCoordinatorOf(const std::vector<member>& hosts, service_id service, backend_server_id server);

} // namespace shallotcove::core
