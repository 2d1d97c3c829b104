#pragma once

#include <string>

#include <tl/expected.hpp>

#include <shallotcove/rpc/operator_client.hpp>

#include "invocation.hpp"

namespace shallotcove::ctl {

/// Reads host, token and timeout from the flags. The error is a message for the operator.
tl::expected<rpc::operator_client_options, std::string> readConnection(const invocation&);

} // namespace shallotcove::ctl
