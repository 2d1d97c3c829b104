#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include <shallotcove/store/key_value_client.hpp>

namespace shallotcove::store {

struct http_answer;

// Bodies of requests to the JSON gateway of the etcd v3 API.

std::string formatRange(const std::string& prefix);
std::string formatSwap(const std::vector<key_swap>&, std::int64_t leaseId);
std::string formatLeaseGrant(std::chrono::seconds timeToLive);
std::string formatLease(std::int64_t leaseId);
std::string formatWatch(const std::string& prefix, core::config_index from);

// Answers. Any other status than 200 gives the error that the answer's code names.

tl::expected<store_range, store_error> parseRange(const http_answer&);
tl::expected<swap_result, store_error> parseSwap(const http_answer&);
tl::expected<std::int64_t, store_error> parseLeaseGrant(const http_answer&);
tl::expected<std::chrono::seconds, store_error> parseKeepAlive(const http_answer&);
tl::expected<std::monostate, store_error> parseLeaseRevoke(const http_answer&);

/// One line of a watch.
struct watch_line {
    /// The store has accepted the watch; no news.
    bool isCreated {};
    store_range range;
};

tl::expected<watch_line, store_error> parseWatchLine(std::string_view line);

} // namespace shallotcove::store
