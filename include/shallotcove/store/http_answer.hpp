#pragma once

#include <string>

namespace shallotcove::store {

struct http_answer {
    unsigned status {};
    std::string body;
};

} // namespace shallotcove::store
