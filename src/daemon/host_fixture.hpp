#pragma once

// Runs hosts and stand-ins of the platform's services in one process, for tests of the whole daemon.

#include <utility>

#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/connect.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <shallotcove/daemon/event_log.hpp>
#include <shallotcove/daemon/host.hpp>
#include <shallotcove/rpc/operator_client.hpp>

#include <testbench/host_list_standin.hpp>
#include <testbench/store_standin.hpp>

#include "packet_fixture.hpp"

namespace shallotcove::daemon::testing {

inline const std::string operatorToken = "0123456789abcdef";

/// Stand-ins of the store and the list of hosts, both run by one thread of this object.
class platform_standins {
public:
    platform_standins()
        : m_store(std::move(*testbench::store_standin::create(
            m_context, { parsedAddress("127.0.0.1:0"), parsedAddress("127.0.0.1:0") })))
        , m_hosts(std::move(*testbench::host_list_standin::create(m_context, parsedAddress("127.0.0.1:0"))))
        , m_work(boost::asio::make_work_guard(m_context))
        , m_storeAddress(m_store->address())
        , m_hostListAddress(m_hosts->address())
        , m_thread([this] { m_context.run(); })
    {
        runOnThread([this] { m_hosts->setHosts("[]"); });
    }

    ~platform_standins()
    {
        m_context.stop();
        m_thread.join();
    }

    core::socket_address storeAddress() const { return m_storeAddress; }
    core::socket_address hostListAddress() const { return m_hostListAddress; }

    void setFault(testbench::store_fault fault)
    {
        runOnThread([this, fault] { m_store->setFault(fault); });
    }

private:
    void runOnThread(const std::function<void()>& work)
    {
        std::promise<void> done;
        boost::asio::post(m_context, [&] {
            work();
            done.set_value();
        });
        done.get_future().wait();
    }

    boost::asio::io_context m_context;
    std::unique_ptr<testbench::store_standin> m_store;
    std::unique_ptr<testbench::host_list_standin> m_hosts;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    core::socket_address m_storeAddress;
    core::socket_address m_hostListAddress;
    std::thread m_thread;
};

inline settings hostSettings(const platform_standins& platform, const std::string& name,
    const std::vector<core::socket_address>& seeds)
{
    settings result;
    result.name = name;
    result.dataCentre = "buc-a";
    result.packetAddress = parsedAddress("127.0.0.1:0");
    result.peerAddress = result.packetAddress;
    result.operatorAddress = result.packetAddress;
    result.metricsAddress = result.packetAddress;
    result.seeds = seeds;
    result.peerKey = std::string(64, '3');
    result.operatorToken = operatorToken;
    result.store = { platform.storeAddress(), std::chrono::milliseconds { 500 } };
    result.hostList = { platform.hostListAddress(), std::chrono::milliseconds { 100 } };
    result.flows = { 1024, 1024, std::chrono::seconds { 900 } };
    return result;
}

inline std::unique_ptr<event_log> errorLog()
{
    return std::move(*event_log::create({ log_level::Error, log_format::Text, "" }, "test"));
}

/// One host and an operator client that is connected to it.
class running_host {
public:
    explicit running_host(const settings& settings, const host_options& options = {})
        : m_log(errorLog())
        , m_host(std::move(*host::create(settings, *m_log, options)))
        , m_client(clientOptions(m_host->addresses().operators))
    {
    }

    daemon::host& host() { return *m_host; }
    host_addresses addresses() const { return m_host->addresses(); }

    tl::expected<Json::Value, rpc::client_error> command(
        const std::string& name, const std::string& id, const Json::Value& request)
    {
        Json::Value operation;
        operation["operationId"] = id;
        operation["author"] = "ana";
        return m_client.command(name, operation, request);
    }

    Json::Value query(const std::string& name, const Json::Value& request = Json::objectValue)
    {
        return m_client.query(name, request).value_or(Json::Value());
    }

    /// Polls the host's status until the condition holds. Returns false if it does not within the limit.
    bool waitForStatus(const std::function<bool(const Json::Value&)>& condition,
        std::chrono::seconds limit = std::chrono::seconds { 20 })
    {
        const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + limit;
        while (std::chrono::steady_clock::now() < end) {
            if (condition(query("status")))
                return true;
        }
        return false;
    }

    bool waitUntilServing()
    {
        return waitForStatus([](const Json::Value& status) {
            return status["sync"] == "Synchronized" || status["sync"] == "Isolated";
        });
    }

private:
    static rpc::operator_client_options clientOptions(const core::socket_address& address)
    {
        rpc::operator_client_options options;
        options.host = address.address.toString();
        options.port = address.port;
        options.token = operatorToken;
        return options;
    }

    std::unique_ptr<event_log> m_log;
    std::unique_ptr<daemon::host> m_host;
    rpc::operator_client m_client;
};

inline Json::Value newServiceRequest()
{
    Json::Value request;
    request["name"] = "rezervari";
    request["address"] = serviceAddress.toString();
    return request;
}

inline Json::Value newServerRequest(const core::socket_address& address)
{
    Json::Value request;
    request["service"] = "rezervari";
    request["server"]["dataCentre"] = "buc-a";
    request["server"]["address"] = address.toString();
    request["server"]["coldNewFlowsPerSecond"] = 1000;
    return request;
}

/// The answer to GET /metrics, with its headers.
inline std::string readMetrics(const core::socket_address& address)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect({ boost::asio::ip::make_address(address.address.toString()), address.port });
    const std::string request = "GET /metrics HTTP/1.0\r\nHost: localhost\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(request));
    std::string answer;
    boost::system::error_code end;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), end);
    return answer;
}

} // namespace shallotcove::daemon::testing
