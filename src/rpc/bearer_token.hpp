#pragma once

#include <string>

namespace shallotcove {
namespace rpc {

    /// Returns whether an Authorization header contains the token. Takes the same time for all wrong tokens
    /// of the same length.
    bool isAuthorized(const std::string& authorizationHeader, const std::string& token);

} // namespace rpc
} // namespace shallotcove
