#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include <shallotcove/store/key_value_client.hpp>

namespace shallotcove::store {

struct http_response;

// Formats the bodies of requests to the JSON gateway of the etcd v3 API.

std::string formatRange(const std::string& prefix);
std::string formatSwap(const std::vector<key_swap>&, std::int64_t leaseId);
std::string formatLeaseGrant(std::chrono::seconds timeToLive);
/// For keeping a lease alive and for revoking it.
std::string formatLeaseId(std::int64_t leaseId);
std::string formatWatch(const std::string& prefix, core::config_index firstRevision);

// Parses responses. If the HTTP status is not 200, the error follows from the gRPC status code in the body.

tl::expected<store_range, store_error> parseRange(const http_response&);
tl::expected<swap_result, store_error> parseSwap(const http_response&);
tl::expected<std::int64_t, store_error> parseLeaseGrant(const http_response&);
tl::expected<std::chrono::seconds, store_error> parseKeepAlive(const http_response&);
tl::expected<std::monostate, store_error> parseLeaseRevoke(const http_response&);

/// One response of a watch, which the gateway sends as one line of JSON.
struct watch_response {
    /// The store has accepted the watch; the response reports no changes.
    bool isCreated {};
    store_range range;
};

tl::expected<watch_response, store_error> parseWatchResponse(std::string_view line);

} // namespace shallotcove::store
