#pragma once

#include <utility>

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include <tl/expected.hpp>

#include "caller_options.hpp"
#include "caller_report.hpp"

namespace shallotcove::testbench {

/// Stand-in for callers: keeps connections to services open through the fabric, sends requests and checks the
/// responses.
class caller_standin {
public:
    /// onFinished is called once the duration has elapsed or finish() was called, and all flows have ended or
    /// the timeout for that has expired.
    static tl::expected<std::unique_ptr<caller_standin>, std::string> create(
        boost::asio::io_context&, const caller_options&, std::function<void()> onFinished);

    ~caller_standin();

    core::socket_address controlAddress() const;
    /// Starts no new requests, and finishes once the open flows have ended or time out.
    void finish();
    const caller_report& report() const;

private:
    class implementation;
    explicit caller_standin(std::unique_ptr<implementation>);
    std::unique_ptr<implementation> m_implementation;
};

} // namespace shallotcove::testbench
