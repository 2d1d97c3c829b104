#pragma once

#include <utility>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include <tl/expected.hpp>

#include <shallotcove/core/ip_address.hpp>

namespace shallotcove::testbench {

/// Fault injected into the store stand-in.
enum class store_fault : std::uint8_t {
    None,
    /// Closes open connections and refuses new ones.
    Down,
    /// Processes a call only after a delay, delayMs of POST /fault.
    Slow,
    /// Executes the call and closes the connection without a response.
    LoseResponses,
    /// Executes the call and closes the connection within the response body.
    TruncateResponses,
    /// Responds with bytes that are not HTTP.
    InvalidHttp,
    /// Responds with HTTP 200 and a body that is not JSON.
    InvalidJson,
    /// Responds with HTTP 503, as the etcd gateway does while the store has no leader.
    NoLeader,
};

struct store_standin_options {
    core::socket_address address;
    /// HTTP address for faults, clock and statistics. It has its own port, so that it works while the store
    /// is down.
    core::socket_address controlAddress;
};

/// Stand-in for the platform's key-value service: the calls of the JSON gateway of the etcd v3 API that the
/// product uses, with faults that can be injected at run time.
class store_standin {
public:
    static tl::expected<std::unique_ptr<store_standin>, std::string> create(
        boost::asio::io_context&, const store_standin_options&);

    ~store_standin();

    core::socket_address address() const;
    core::socket_address controlAddress() const;

    void setFault(store_fault, std::chrono::milliseconds delay = {});
    /// Closes the connections of all watches.
    void closeWatches();
    /// Discards the history before this revision, as POST /v3/kv/compaction does. Returns false if the
    /// revision is already compacted or in the future.
    bool compact(std::int64_t revision);
    /// Advances the clock that lease expiry uses.
    void advanceClock(std::chrono::milliseconds);

    /// Calls received. A watch counts as one call.
    std::uint64_t callCount() const;
    std::size_t watchCount() const;
    std::int64_t revision() const;

private:
    class implementation;
    explicit store_standin(std::unique_ptr<implementation>);
    std::unique_ptr<implementation> m_implementation;
};

} // namespace shallotcove::testbench
