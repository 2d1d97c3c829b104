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
    /// No connection was established, so the request was not sent.
    Unavailable,
    /// The request was sent, but no response arrived in time. A write may have taken effect.
    AnswerLost,
    /// The response does not follow the protocol. A write may have taken effect.
    ProtocolError,
    /// The store has compacted revisions that the watch asked for; the caller must read the range again.
    Compacted,
    LeaseNotFound,
};

struct key_value_client_options {
    core::socket_address address;
    std::chrono::milliseconds requestTimeout { 2000 };
    /// Delay before a watch reconnects; doubles with each failed attempt up to maximumBackoff, with jitter.
    std::chrono::milliseconds initialBackoff { 50 };
    std::chrono::milliseconds maximumBackoff { 2000 };
};

/// All keys with a prefix, or from a watch the changes to them, complete up to the store revision.
struct store_range {
    std::vector<core::store_entry> entries;
    core::config_index revision;

    friend bool operator==(const store_range&, const store_range&) = default;
};

/// Result of a compare-and-swap to which the store responded.
struct swap_result {
    bool wasWritten {};
    /// Store revision in the response; if wasWritten, the revision of the write.
    core::config_index revision;

    friend bool operator==(const swap_result&, const swap_result&) = default;
};

/// One key of a compare-and-swap: the revision at which it must last have been modified (0: it must not
/// exist), and the value to write.
struct key_swap {
    std::string key;
    core::config_index expected;
    /// No value deletes the key.
    std::optional<std::string> value;
};

/// Client of the platform's key-value service (JSON gateway of the etcd v3 API). Asynchronous on one
/// io_context. Handlers run on that context, and none is called once the client is destroyed.
class key_value_client {
public:
    template <typename Result> using handler = std::function<void(tl::expected<Result, store_error>)>;

    static std::unique_ptr<key_value_client> create(
        boost::asio::io_context&, const key_value_client_options&);

    ~key_value_client();

    /// Reads all keys that begin with prefix.
    void readRange(const std::string& prefix, handler<store_range>);
    /// Writes all keys in one transaction, provided that each is at its expected revision. A leaseId of 0
    /// means no lease.
    void compareAndSwap(std::vector<key_swap>, std::int64_t leaseId, handler<swap_result>);
    /// Requests a lease; the result is its id.
    void grantLease(std::chrono::seconds timeToLive, handler<std::int64_t>);
    /// Renews a lease; the result is its time to live.
    void keepLeaseAlive(std::int64_t leaseId, handler<std::chrono::seconds>);
    void revokeLease(std::int64_t leaseId, handler<std::monostate>);
    /// Watches all keys with prefix from firstRevision on until stopWatch(), in place of an earlier watch.
    /// Reconnects by itself and resumes after the last revision seen. Each result is complete up to its
    /// revision; Compacted ends the watch.
    void watch(const std::string& prefix, core::config_index firstRevision, handler<store_range>);
    void stopWatch();

    /// Requests sent since the client was created; a watch counts as one for each of its connections.
    std::uint64_t requestCount() const;

private:
    class implementation;
    explicit key_value_client(std::shared_ptr<implementation>);
    std::shared_ptr<implementation> m_implementation;
};

} // namespace shallotcove::store
