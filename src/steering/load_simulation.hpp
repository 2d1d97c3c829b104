#pragma once

// Discrete-event simulation of several engines with callers and servers, for tests of the service that
// callers get under load.

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <numeric>
#include <optional>
#include <queue>
#include <vector>

#include <pcg_random.hpp>

#include "steering_fixture.hpp"

namespace shallotcove::steering::testing {

/// Requests to one route. Half of the mean work of a request is spread evenly around the mean.
struct simulated_route {
    std::uint32_t priority { 1 };
    double workMilliseconds { 42 };
    double goal { 200 };
    /// Share of the new flows.
    double share { 1 };
    /// Flows that callers keep open, and the requests per second on each of them.
    std::size_t longFlows {};
    double longFlowRequestsPerSecond {};
};

struct simulation_options {
    std::size_t hosts { 3 };
    std::size_t servers { 5 };
    std::uint32_t slots { 3 };
    /// New requests per second over all callers.
    double requestsPerSecond { 150 };
    double workMilliseconds { 42 };
    /// Replaces the default route, whose work is workMilliseconds.
    std::vector<simulated_route> routes;
    /// New requests per second before overloadFrom.
    double usualRequestsPerSecond { 150 };
    double overloadFrom {};
    /// Requests that wait at most at a server, which rejects others; 0 for no limit.
    std::size_t queueBound {};
    /// All hosts are down in this interval.
    double outageFrom { 2000 };
    double outageUntil { 3300 };
    double end { 6000 };
    /// How often callers retry after a refusal and after a flow that did not open.
    int retries {};
    /// Interval between load reports of the hosts, a multiple of ten milliseconds.
    int exchangeMilliseconds { 50 };
    /// How long callers wait for an answer, counted from their first attempt.
    double deadline { 1200 };
    /// Number of a server that answers no opening packet from the given time on; 0 for none.
    std::size_t unresponsiveServer {};
    double unresponsiveFrom {};
    steering_options steering { optionsOf() };
    std::uint64_t seed { 1 };
};

/// Outcome of the requests that callers first sent in an interval.
struct simulation_result {
    int sent {};
    int timely {};
    int late {};
    int refused {};
    /// Opening packets that were forwarded to servers.
    int offered {};
    /// Attempts that hosts refused and that servers rejected, and those that arrived at servers.
    int attemptsRefused {};
    int rejected {};
    int arrived {};
    /// Flows for one request that opened.
    int opened {};
    /// Work of all requests that were sent in the interval, and of those that were answered in time.
    double sentWorkMilliseconds {};
    double timelyWorkMilliseconds {};
};

class load_simulation {
public:
    explicit load_simulation(simulation_options options)
        : m_options(std::move(options))
        , m_random(m_options.seed)
    {
        if (m_options.routes.empty())
            m_options.routes.push_back({ 1, m_options.workMilliseconds, 200, 1, 0, 0 });
        for (std::size_t index = 0; index < m_options.servers; ++index)
            m_servers[tagOf(idOf(index))];
        startHosts(0);
        scheduleCaller(0);
        scheduleLongFlows();
        for (double now = 0; now < m_options.end + 3000; now += 5)
            schedule(now, [this, now] { tick(now); });
        schedule(m_options.outageFrom, [this] { m_hosts.clear(); });
        schedule(m_options.outageUntil, [this] { startHosts(m_options.outageUntil); });
    }

    void run()
    {
        while (!m_events.empty()) {
            const timed_event next = m_events.top();
            m_events.pop();
            next.work();
        }
    }

    /// Largest number of requests that waited at one server.
    std::size_t longestQueue() const { return m_longestQueue; }

    /// Work of the requests that were answered in the interval and in time.
    double timelyWork(double from, double until) const
    {
        double work = 0;
        for (const std::vector<request_attempt>* const requests : { &m_attempts, &m_longFlowRequests }) {
            for (const request_attempt& request : *requests) {
                const simulated_route& target = m_options.routes[request.route];
                if (request.answeredAt >= from && request.answeredAt < until
                    && request.answeredAt <= request.firstSentAt + target.goal)
                    work += target.workMilliseconds;
            }
        }
        return work;
    }

    /// Outcome of the requests to one route, or to all.
    simulation_result resultOf(double from, double until, std::optional<std::size_t> route = {}) const
    {
        simulation_result result;
        for (const request_attempt& attempt : m_attempts) {
            if (attempt.firstSentAt < from || attempt.firstSentAt >= until
                || route.value_or(attempt.route) != attempt.route || attempt.isLong)
                continue;
            result.attemptsRefused += attempt.isRefused && !attempt.isRejected ? 1 : 0;
            result.rejected += attempt.isRejected ? 1 : 0;
            result.arrived += attempt.isOpen ? 1 : 0;
            result.opened += attempt.isOpen ? 1 : 0;
            const bool isFirst = attempt.firstSentAt == attempt.sentAt;
            result.sent += isFirst ? 1 : 0;
            result.sentWorkMilliseconds += isFirst ? m_options.routes[attempt.route].workMilliseconds : 0;
            result.refused += attempt.isRefused && attempt.retriesLeft == 0 ? 1 : 0;
            result.offered += attempt.offers;
            if (attempt.answeredAt <= 0 || attempt.answeredAt > attempt.firstSentAt + m_options.deadline)
                continue;
            count(attempt, result);
        }
        for (const request_attempt& request : m_longFlowRequests) {
            if (request.sentAt < from || request.sentAt >= until
                || route.value_or(request.route) != request.route)
                continue;
            ++result.sent;
            ++result.arrived;
            result.sentWorkMilliseconds += m_options.routes[request.route].workMilliseconds;
            result.rejected += request.isRejected ? 1 : 0;
            if (request.answeredAt > 0)
                count(request, result);
        }
        return result;
    }

private:
    /// One attempt at a request. Each attempt uses a port of its own.
    struct request_attempt {
        double firstSentAt {};
        int retriesLeft {};
        double sentAt {};
        double answeredAt {};
        std::size_t host {};
        bool isOpen {};
        bool isRefused {};
        int offers {};
        std::size_t route {};
        /// Whether the caller keeps the flow open, and for requests on it the number of the flow's attempt.
        bool isLong {};
        std::size_t flow {};
        bool isRejected {};
    };

    /// A request at a server: an attempt, or a request on a flow that is kept open.
    struct server_request {
        std::size_t number {};
        bool isOnLongFlow {};
    };

    struct server_model {
        std::uint32_t busy {};
        std::deque<server_request> queue;
    };

    struct timed_event {
        double at {};
        std::uint64_t order {};
        std::function<void()> work;

        friend bool operator>(const timed_event& left, const timed_event& right)
        {
            return left.at != right.at ? left.at > right.at : left.order > right.order;
        }
    };

    static constexpr double callerDelay = 3;
    static constexpr double retryDelay = 35;
    static constexpr double openingTimeout = 1400;

    void count(const request_attempt& attempt, simulation_result& result) const
    {
        const simulated_route& target = m_options.routes[attempt.route];
        const bool isTimely = attempt.answeredAt <= attempt.firstSentAt + target.goal;
        ++(isTimely ? result.timely : result.late);
        result.timelyWorkMilliseconds += isTimely ? target.workMilliseconds : 0;
    }

    static std::string idOf(std::size_t index) { return "i-" + std::to_string(index + 1); }

    void schedule(double at, std::function<void()> work)
    {
        m_events.push({ at, m_nextOrder++, std::move(work) });
    }

    double drawUniform() { return (m_random() + 0.5) / 4294967296.0; }

    void startHosts(double now)
    {
        for (std::size_t index = 0; index < m_options.hosts; ++index) {
            steering_options options = m_options.steering;
            options.randomSeed = index + 1;
            m_hosts.emplace_back(options);
            std::vector<route> routes;
            for (std::size_t number = 0; number < m_options.routes.size(); ++number) {
                const simulated_route& simulated = m_options.routes[number];
                routes.push_back(routeTo({ { "booking", 1 } }, portOfRoute(number)));
                routes.back().priority = simulated.priority;
                routes.back().latencyGoal = std::chrono::milliseconds { static_cast<int>(simulated.goal) };
            }
            m_hosts.back().applyConfig(configOf(routes));
            for (std::size_t server = 0; server < m_options.servers; ++server) {
                server_entry entry = serverEntry(idOf(server));
                entry.slots = m_options.slots;
                m_hosts.back().applyServer(entry, at(now));
            }
            m_hosts.back().setViewComplete(true);
            std::vector<std::uint32_t> addresses(m_options.hosts);
            std::iota(addresses.begin(), addresses.end(), 1U);
            m_hosts.back().setHosts(addresses, static_cast<std::uint32_t>(index + 1), m_options.hosts - 1);
            m_hosts.back().setPosition({ index, m_options.hosts });
            m_hosts.back().setLoadReportInterval(
                std::chrono::milliseconds { m_options.exchangeMilliseconds });
        }
    }

    void scheduleCaller(double now)
    {
        const double rate
            = now < m_options.overloadFrom ? m_options.usualRequestsPerSecond : m_options.requestsPerSecond;
        const double next = now - std::log(drawUniform()) * 1000 / rate;
        if (next >= m_options.end)
            return;
        schedule(next, [this, next] {
            send(next, m_options.retries, next, drawRoute());
            scheduleCaller(next);
        });
    }

    std::size_t drawRoute()
    {
        if (m_options.routes.size() == 1)
            return 0;
        double point = drawUniform();
        std::size_t route = 0;
        while (route + 1 < m_options.routes.size() && point >= m_options.routes[route].share)
            point -= m_options.routes[route++].share;
        return route;
    }

    /// Opens the flows that callers keep within the first half second.
    void scheduleLongFlows()
    {
        for (std::size_t route = 0; route < m_options.routes.size(); ++route) {
            for (std::size_t flow = 0; flow < m_options.routes[route].longFlows; ++flow) {
                const double now = 500 * drawUniform();
                schedule(now, [this, now, route] { send(now, m_options.retries, now, route, true); });
            }
        }
    }

    void scheduleLongFlowRequest(std::size_t flow, server_tag tag, std::uint32_t received, double now)
    {
        const double rate = m_options.routes[m_attempts[flow].route].longFlowRequestsPerSecond;
        const double next = now - std::log(drawUniform()) * 1000 / rate;
        if (next >= m_options.end)
            return;
        schedule(next + callerDelay, [this, flow, tag, received, next] {
            const request_attempt& opened = m_attempts[flow];
            const double arrivedAt = next + callerDelay;
            const bool isHeld = !m_hosts.empty()
                && m_hosts[opened.host]
                        .handlePacket(laterPacketOf(flow, tag, 200, false, received), at(arrivedAt))
                        .action
                    == packet_action::Hold;
            const std::size_t number = m_longFlowRequests.size();
            m_longFlowRequests.push_back(opened);
            m_longFlowRequests.back().firstSentAt = m_longFlowRequests.back().sentAt = next;
            m_longFlowRequests.back().answeredAt = 0;
            m_longFlowRequests.back().flow = flow;
            if (isHeld)
                m_heldRequests[flow] = { number, tag };
            else
                arrive({ number, true }, tag, arrivedAt);
        });
    }

    void releaseRequests(std::size_t host, double now)
    {
        for (const released_flow& released : m_hosts[host].releaseRequests(at(now))) {
            const auto held = m_heldRequests.find(numberOf(released.flow));
            if (held == m_heldRequests.end())
                continue;
            const auto [number, tag] = held->second;
            m_heldRequests.erase(held);
            arrive({ number, true }, tag, now);
        }
    }

    /// A request arrives at a server, which rejects it if too many wait.
    void arrive(const server_request& request, server_tag tag, double now)
    {
        server_model& server = m_servers[tag];
        const bool isFull = m_options.queueBound > 0 && server.busy >= m_options.slots
            && server.queue.size() >= m_options.queueBound;
        if (!isFull) {
            server.queue.push_back(request);
            m_longestQueue = std::max(m_longestQueue, server.queue.size());
            return work(tag, now);
        }
        request_attempt& rejected = attemptOf(request);
        rejected.isRejected = true;
        schedule(now + 2 * callerDelay, [this, request, tag, now] {
            if (request.isOnLongFlow)
                return receiveOnLongFlow(request.number, tag, now + 2 * callerDelay);
            m_attempts[request.number].isRefused = true;
            close(request.number, tag, now + 2 * callerDelay, 0);
            scheduleRetry(m_attempts[request.number], now + callerDelay + retryDelay);
        });
    }

    request_attempt& attemptOf(const server_request& request)
    {
        return request.isOnLongFlow ? m_longFlowRequests[request.number] : m_attempts[request.number];
    }

    /// The caller acknowledges an answer, or a rejection, and sends its next request later.
    void receiveOnLongFlow(std::size_t number, server_tag tag, double now)
    {
        const std::size_t flow = m_longFlowRequests[number].flow;
        const std::uint32_t received = m_received[flow] += 100;
        if (!m_hosts.empty()) {
            m_hosts[m_attempts[flow].host].handlePacket(
                laterPacketOf(flow, tag, 0, false, received), at(now));
            serveWaiting(m_attempts[flow].host, now);
        }
        scheduleLongFlowRequest(flow, tag, received, now);
    }

    void send(double firstSentAt, int retriesLeft, double now, std::size_t route, bool isLong = false)
    {
        const std::size_t number = m_attempts.size();
        m_attempts.push_back(
            { firstSentAt, retriesLeft, now, 0, m_random(static_cast<std::uint32_t>(m_options.hosts)), false,
                false, 0, route, isLong, 0, false });
        schedule(now + openingTimeout, [this, number, now] {
            const request_attempt& attempt = m_attempts[number];
            if (!attempt.isOpen && !attempt.isRefused)
                scheduleRetry(attempt, now + openingTimeout);
        });
        for (std::uint32_t copy = 0; copy < 3; ++copy)
            schedule(now + callerDelay
                    + (copy == 0        ? 0
                            : copy == 1 ? 200
                                        : 600),
                [this, number, copy] { open(number, copy); });
    }

    void open(std::size_t number, std::uint32_t copy)
    {
        const request_attempt& attempt = m_attempts[number];
        if (attempt.isOpen || attempt.isRefused || m_hosts.empty())
            return;
        const double now = attempt.sentAt + callerDelay + (copy == 0 ? 0 : copy == 1 ? 200 : 600);
        applyPlacement(
            number, m_hosts[attempt.host].handlePacket(openingPacketOf(number, copy), at(now)), now);
        serveWaiting(attempt.host, now);
    }

    static std::uint16_t portOfRoute(std::size_t route)
    {
        return static_cast<std::uint16_t>(servicePort + route);
    }

    // Each attempt has an address pair of its own, by its number.
    flow_address flowOfAttempt(std::size_t number) const
    {
        flow_address flow
            = flowOf(static_cast<std::uint16_t>(number % 65536), portOfRoute(m_attempts[number].route));
        flow.callerAddress += static_cast<std::uint32_t>(number / 65536);
        return flow;
    }

    static std::size_t numberOf(const flow_address& flow)
    {
        return (flow.callerAddress - flowOf(0).callerAddress) * std::size_t { 65536 } + flow.callerPort;
    }

    caller_packet openingPacketOf(std::size_t number, std::uint32_t copy) const
    {
        caller_packet packet = openingPacket(0, copy);
        packet.flow = flowOfAttempt(number);
        return packet;
    }

    caller_packet laterPacketOf(std::size_t number, server_tag tag, std::uint16_t payloadBytes,
        bool isClosing = false, std::uint32_t received = 0) const
    {
        caller_packet packet = laterPacket(0, tag, payloadBytes, isClosing, received);
        packet.flow = flowOfAttempt(number);
        return packet;
    }

    void applyPlacement(std::size_t number, const packet_decision& decision, double now)
    {
        request_attempt& attempt = m_attempts[number];
        if (decision.action == packet_action::Refuse && !std::exchange(attempt.isRefused, true))
            scheduleRetry(attempt, now + callerDelay + retryDelay);
        if (decision.action != packet_action::Forward)
            return;
        ++attempt.offers;
        const bool isUnresponsive = m_options.unresponsiveServer > 0 && now >= m_options.unresponsiveFrom
            && decision.tag == tagOf(idOf(m_options.unresponsiveServer - 1));
        if (!isUnresponsive)
            schedule(now + callerDelay,
                [this, number, tag = decision.tag, now] { answerOpening(number, tag, now + callerDelay); });
    }

    void scheduleRetry(const request_attempt& previous, double at)
    {
        if (previous.retriesLeft > 0 && at < previous.firstSentAt + m_options.deadline)
            schedule(at,
                [this, first = previous.firstSentAt, left = previous.retriesLeft - 1, at,
                    route = previous.route,
                    isLong = previous.isLong] { send(first, left, at, route, isLong); });
    }

    // The caller accepts the first answer, unless it has given up.
    void answerOpening(std::size_t number, server_tag tag, double now)
    {
        request_attempt& attempt = m_attempts[number];
        if (attempt.isOpen || attempt.isRefused || now > attempt.sentAt + openingTimeout)
            return;
        attempt.isOpen = true;
        schedule(now + callerDelay, [this, number, tag, now] {
            const bool isLong = m_attempts[number].isLong;
            if (!m_hosts.empty())
                m_hosts[m_attempts[number].host].handlePacket(
                    laterPacketOf(number, tag, isLong ? 0 : 200), at(now + callerDelay));
            if (isLong)
                return scheduleLongFlowRequest(number, tag, 0, now + callerDelay);
            arrive({ number, false }, tag, now + callerDelay);
        });
    }

    void work(server_tag tag, double now)
    {
        server_model& server = m_servers[tag];
        while (server.busy < m_options.slots && !server.queue.empty()) {
            const server_request request = server.queue.front();
            server.queue.pop_front();
            ++server.busy;
            const double time
                = m_options.routes[attemptOf(request).route].workMilliseconds * (0.5 + drawUniform());
            schedule(now + time, [this, request, tag, now, time] {
                --m_servers[tag].busy;
                attemptOf(request).answeredAt = now + time + callerDelay;
                const double closed = now + time + 2 * callerDelay;
                schedule(closed, [this, request, tag, closed] {
                    if (request.isOnLongFlow)
                        receiveOnLongFlow(request.number, tag, closed);
                    else
                        close(request.number, tag, closed, 1000);
                });
                work(tag, now + time);
            });
        }
    }

    void close(std::size_t number, server_tag tag, double now, std::uint32_t received)
    {
        if (m_hosts.empty())
            return;
        const std::size_t host = m_attempts[number].host;
        m_hosts[host].handlePacket(laterPacketOf(number, tag, 0, true, received), at(now));
        serveWaiting(host, now);
    }

    void serveWaiting(std::size_t host, double now)
    {
        releaseRequests(host, now);
        deliver(m_hosts[host].placeWaitingFlows(at(now)), now);
    }

    void deliver(const std::vector<delayed_offer>& offers, double now)
    {
        for (const delayed_offer& offer : offers)
            applyPlacement(numberOf(offer.opening.flow), offer.decision, now);
    }

    void tick(double now)
    {
        const bool isExchange = static_cast<int>(now) % m_options.exchangeMilliseconds == 0;
        for (std::size_t index = 0; index < m_hosts.size(); ++index) {
            deliver(m_hosts[index].advance(at(now)), now);
            serveWaiting(index, now);
            if (!isExchange)
                continue;
            const load_report loads = m_hosts[index].takeLoads();
            for (std::size_t other = 0; other < m_hosts.size(); ++other) {
                if (other != index)
                    m_hosts[other].applyNeighbourLoads(static_cast<std::uint32_t>(index + 1), loads, at(now));
            }
        }
    }

    simulation_options m_options;
    pcg32 m_random;
    std::uint64_t m_nextOrder {};
    std::vector<steering_engine> m_hosts;
    std::map<server_tag, server_model> m_servers;
    std::vector<request_attempt> m_attempts;
    std::vector<request_attempt> m_longFlowRequests;
    /// Number and server of the request that a host holds, by flow.
    std::map<std::size_t, std::pair<std::size_t, server_tag>> m_heldRequests;
    /// Bytes that callers received on the flows that they keep.
    std::map<std::size_t, std::uint32_t> m_received;
    std::size_t m_longestQueue {};
    std::priority_queue<timed_event, std::vector<timed_event>, std::greater<>> m_events;
};

} // namespace shallotcove::steering::testing
