#pragma once

#include <string>

namespace shallotcove::store {

struct http_response {
    unsigned status {};
    std::string body;
};

} // namespace shallotcove::store
