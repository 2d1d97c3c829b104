#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <tl/expected.hpp>

#include <shallotcove/core/control_engine.hpp>

namespace boost::asio {
class io_context;
}

namespace shallotcove::store {

enum class store_error : std::uint8_t {
    /// No connection: the request was not sent.
    Unavailable,
    /// Sent, but no answer in time: a write may have taken effect.
    AnswerLost,
    /// The answer does not follow the protocol. A write may have taken effect.
    ProtocolError,
    /// The watch asked for revisions that the store no longer has; read everything again.
    Compacted,
    LeaseNotFound,
};

struct key_value_client_options {
    core::socket_address address;
    std::chrono::milliseconds requestTimeout { 2000 };
    /// Wait before reconnecting a watch; doubles up to maximumBackoff, with jitter.
    std::chrono::milliseconds initialBackoff { 50 };
    std::chrono::milliseconds maximumBackoff { 2000 };
};

/// All keys with a prefix, and the store revision that they are complete up to.
struct store_range {
    std::vector<core::store_entry> entries;
    core::config_index revision;

    friend bool operator==(const store_range&, const store_range&) = default;
};

/// Result of a compare-and-swap that the store answered.
struct swap_result {
    bool wasWritten {};
    /// The store revision of the answer: that of the write if it was written.
    core::config_index revision;

    friend bool operator==(const swap_result&, const swap_result&) = default;
};

/// Key that must be at modified (0: absent) for a swap to happen, and what is written to it then.
struct key_swap {
    std::string key;
    core::config_index expected;
    /// No value deletes the key.
    std::optional<std::string> value;
};

/// Client of the platform's key-value service (JSON gateway of the etcd v3 API). Asynchronous on one
/// io_context; handlers run there, and no handler is called after the client's end. Counts each request.
class key_value_client {
public:
    template <typename Result> using handler = std::function<void(tl::expected<Result, store_error>)>;

    static std::unique_ptr<key_value_client> create(
        boost::asio::io_context&, const key_value_client_options&);

    ~key_value_client();

    /// Reads all keys that begin with prefix.
    void readRange(const std::string& prefix, handler<store_range>);
    /// Writes all keys in one transaction if each is at its expected revision. leaseId 0: no lease.
    void compareAndSwap(std::vector<key_swap>, std::int64_t leaseId, handler<swap_result>);
    /// Asks for a lease; gives its id.
    void grantLease(std::chrono::seconds timeToLive, handler<std::int64_t>);
    void keepLeaseAlive(std::int64_t leaseId, handler<std::chrono::seconds>);
    void revokeLease(std::int64_t leaseId, handler<std::monostate>);
    /// Watches all keys with prefix from the given revision on, reconnecting by itself from the last revision
    /// seen, until stopWatch(). Each answer is complete up to its revision; Compacted ends the watch.
    void watch(const std::string& prefix, core::config_index from, handler<store_range>);
    void stopWatch();

    /// Requests sent since the start; a waiting watch counts as one.
    std::uint64_t requestCount() const;

private:
    class implementation;
    explicit key_value_client(std::shared_ptr<implementation>);
    std::shared_ptr<implementation> m_implementation;
};

} // namespace shallotcove::store
