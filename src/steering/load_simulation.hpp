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
#include <queue>
#include <vector>

#include <pcg_random.hpp>

#include "steering_fixture.hpp"

namespace shallotcove::steering::testing {

struct simulation_options {
    std::size_t hosts { 3 };
    std::size_t servers { 5 };
    std::uint32_t slots { 3 };
    /// New requests per second over all callers.
    double requestsPerSecond { 150 };
    double workMilliseconds { 42 };
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
};

class load_simulation {
public:
    explicit load_simulation(simulation_options options)
        : m_options(std::move(options))
        , m_random(m_options.seed)
    {
        for (std::size_t index = 0; index < m_options.servers; ++index)
            m_servers[tagOf(idOf(index))];
        startHosts(0);
        scheduleCaller(0);
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

    simulation_result resultOf(double from, double until) const
    {
        simulation_result result;
        for (const request_attempt& attempt : m_attempts) {
            if (attempt.firstSentAt < from || attempt.firstSentAt >= until)
                continue;
            result.sent += attempt.firstSentAt == attempt.sentAt ? 1 : 0;
            result.refused += attempt.isRefused && attempt.retriesLeft == 0 ? 1 : 0;
            result.offered += attempt.offers;
            if (attempt.answeredAt <= 0 || attempt.answeredAt > attempt.firstSentAt + m_options.deadline)
                continue;
            ++(attempt.answeredAt <= attempt.firstSentAt + 200 ? result.timely : result.late);
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
    };

    struct server_model {
        std::uint32_t busy {};
        std::deque<std::size_t> queue;
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
            m_hosts.back().applyConfig(configOf({ routeTo({ { "booking", 1 } }) }));
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
        const double next = now - std::log(drawUniform()) * 1000 / m_options.requestsPerSecond;
        if (next >= m_options.end)
            return;
        schedule(next, [this, next] {
            send(next, m_options.retries, next);
            scheduleCaller(next);
        });
    }

    void send(double firstSentAt, int retriesLeft, double now)
    {
        const std::size_t number = m_attempts.size();
        m_attempts.push_back({ firstSentAt, retriesLeft, now, 0,
            m_random(static_cast<std::uint32_t>(m_options.hosts)), false, false, 0 });
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
            number, m_hosts[attempt.host].handlePacket(openingPacket(portOf(number), copy), at(now)), now);
        serveWaiting(attempt.host, now);
    }

    static std::uint16_t portOf(std::size_t number) { return static_cast<std::uint16_t>(number + 1); }

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
            schedule(at, [this, first = previous.firstSentAt, left = previous.retriesLeft - 1, at] {
                send(first, left, at);
            });
    }

    // The caller accepts the first answer, unless it has given up.
    void answerOpening(std::size_t number, server_tag tag, double now)
    {
        request_attempt& attempt = m_attempts[number];
        if (attempt.isOpen || attempt.isRefused || now > attempt.sentAt + openingTimeout)
            return;
        attempt.isOpen = true;
        schedule(now + callerDelay, [this, number, tag, now] {
            if (!m_hosts.empty())
                m_hosts[m_attempts[number].host].handlePacket(
                    laterPacket(portOf(number), tag, 200), at(now + callerDelay));
            m_servers[tag].queue.push_back(number);
            m_longestQueue = std::max(m_longestQueue, m_servers[tag].queue.size());
            work(tag, now + callerDelay);
        });
    }

    void work(server_tag tag, double now)
    {
        server_model& server = m_servers[tag];
        while (server.busy < m_options.slots && !server.queue.empty()) {
            const std::size_t number = server.queue.front();
            server.queue.pop_front();
            ++server.busy;
            const double time = m_options.workMilliseconds * (0.5 + drawUniform());
            schedule(now + time, [this, number, tag, now, time] {
                --m_servers[tag].busy;
                m_attempts[number].answeredAt = now + time + callerDelay;
                schedule(now + time + 2 * callerDelay,
                    [this, number, tag, now, time] { close(number, tag, now + time + 2 * callerDelay); });
                work(tag, now + time);
            });
        }
    }

    void close(std::size_t number, server_tag tag, double now)
    {
        if (m_hosts.empty())
            return;
        const std::size_t host = m_attempts[number].host;
        m_hosts[host].handlePacket(laterPacket(portOf(number), tag, 0, true, 1000), at(now));
        serveWaiting(host, now);
    }

    void serveWaiting(std::size_t host, double now)
    {
        deliver(m_hosts[host].placeWaitingFlows(at(now)), now);
    }

    void deliver(const std::vector<delayed_offer>& offers, double now)
    {
        for (const delayed_offer& offer : offers)
            applyPlacement(offer.opening.flow.callerPort - 1U, offer.decision, now);
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
    std::size_t m_longestQueue {};
    std::priority_queue<timed_event, std::vector<timed_event>, std::greater<>> m_events;
};

} // namespace shallotcove::steering::testing
