#pragma once

#include <utility>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include <pcg_random.hpp>

#include <shallotcove/wire/segment.hpp>

#include "caller_options.hpp"
#include "caller_report.hpp"
#include "request.hpp"
#include "timer_queue.hpp"

namespace shallotcove::testbench {

/// State shared by the flows of one caller stand-in.
struct caller_context {
    const caller_options& options;
    timer_queue& timers;
    caller_report& report;
    pcg32& random;
    /// Sends a packet of a caller group through the fabric.
    std::function<void(std::size_t group, const wire::segment&)> send;
    std::function<std::uint16_t(std::size_t group)> responsePort;
    /// Set once no new requests may be started.
    bool isFinishing {};
};

/// A request without a response yet. It is carried over to a new flow if it is known not to have been
/// executed.
struct pending_request {
    request content;
    std::size_t kind {};
    caller_report::clock::time_point offeredAt;
};

/// One flow of a caller, from its first packet until it is closed.
class caller_flow : public std::enable_shared_from_this<caller_flow> {
public:
    using clock = timer_queue::clock;
    /// Called once when the flow ends, with the request that was not sent because the flow was not
    /// established, if any.
    using end_handler = std::function<void(std::optional<pending_request>)>;

    caller_flow(caller_context&, std::size_t service, std::size_t group, const core::socket_address& source,
        bool isLongLived, end_handler);

    void start(std::optional<pending_request> initialRequest);
    void receive(const wire::segment&);

private:
    enum class phase : std::uint8_t { Connecting, AwaitingResponse, Idle, Closing, Ended };

    const target_service& service() const { return m_context.options.services[m_service]; }
    const std::string& groupName() const { return m_context.options.groups[m_group].name; }
    void send(std::uint32_t sequence, std::uint8_t flags, std::span<const std::byte> payload = {});
    void sendFirstPacket();
    void sendRequest();
    void sendFin();
    /// Calls the function after the delay unless m_generation has changed by then.
    void retransmitAfter(clock::duration, void (caller_flow::*)());
    void receiveConnecting(const wire::segment&);
    void receiveResponse(const wire::segment&);
    void receiveDatagram(const wire::segment&);
    void createRequest();
    void beginRequest();
    void finishRequest(bool isValid);
    void pauseOrClose();
    void breakFlow(break_cause);
    void end(std::optional<pending_request> = std::nullopt);

    caller_context& m_context;
    std::size_t m_service;
    std::size_t m_group;
    core::socket_address m_source;
    bool m_isLongLived;
    end_handler m_onEnd;
    phase m_phase { phase::Connecting };
    /// Incremented when the phase changes and with each request, so that retransmission timers set before
    /// have no effect.
    std::uint32_t m_generation {};
    std::uint32_t m_attempts {};
    std::uint32_t m_requestsDone {};
    std::uint32_t m_firstSequence;
    std::uint32_t m_sendNext {};
    std::uint32_t m_receiveNext {};
    std::optional<std::uint32_t> m_server;
    std::optional<pending_request> m_pending;
    std::vector<std::byte> m_response;
    std::vector<bool> m_received;
};

} // namespace shallotcove::testbench
