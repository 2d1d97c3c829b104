#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "store_model.hpp"

namespace shallotcove::testbench {

struct api_response {
    unsigned status { 200 };
    std::string body;
};

struct watch_request {
    key_range range;
    std::int64_t startRevision {};
};

/// Executes a call of the JSON gateway of the etcd v3 API on the model, except watches. Parts of the API that
/// the product does not use return gRPC code 12 (unimplemented) or 3 (invalid argument).
api_response handleStoreCall(
    store_model&, const std::string& target, const std::string& body, store_model::time now);

/// Parses the body of /v3/watch.
std::optional<watch_request> parseWatchRequest(const std::string& body, const store_model&);

// Lines of a watch response stream.

std::string formatWatchCreated(const store_model&);
std::string formatWatchEvents(const store_model&, const std::vector<stored_event>&);
std::string formatWatchCompacted(const store_model&);

} // namespace shallotcove::testbench
