#pragma once

// Stand-ins of the platform for the cases of this review: store, routers, endpoints and consumers in one
// process, with the hosts as child processes. Everything runs on loopback addresses and the real clock.

#include <cstdint>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <netinet/in.h>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

/// Milliseconds since the start of the program.
using milliseconds = double;

milliseconds now();

struct flow_key {
    std::uint32_t callerAddress {};
    std::uint32_t serviceAddress {};
    std::uint16_t callerPort {};
    std::uint16_t servicePort {};

    friend auto operator<=>(const flow_key&, const flow_key&) = default;
};

/// A packet as PROTOCOL.md describes it.
struct packet {
    flow_key flow;
    bool isFromConsumer {};
    std::uint8_t flags {};
    std::uint32_t sequence {};
    std::uint32_t acknowledgement {};
    std::uint32_t echo {};
    std::uint32_t sum {};
    std::string data;
};

inline constexpr std::uint8_t synFlag = 128;
inline constexpr std::uint8_t ackFlag = 64;
inline constexpr std::uint8_t finFlag = 32;
inline constexpr std::uint8_t rstFlag = 16;

struct route_definition {
    std::string name;
    std::uint16_t port {};
    std::string kind;
    int timeoutMs {};
    int goalMs {};
    int priority {};
    std::string service;
};

struct service_definition {
    std::string name;
    double warmupSeconds {};
    double coldPerSecond {};
};

struct endpoint_definition {
    std::string id;
    std::string service;
    std::string zone;
    int slots { 3 };
    int queue { 12 };
    double workMs { 40 };
};

struct world_options {
    /// Hosts of each zone.
    std::map<std::string, int> hosts;
    std::vector<route_definition> routes;
    std::vector<service_definition> services;
    double processorShare { 0.055 };
    double heartbeatMs { 1200 };
    /// Ports that a consumer uses in turn. A port is used again at the earliest 1 s after its flow has ended.
    int portsPerConsumer { 40000 };
};

class world {
public:
    explicit world(world_options);
    ~world();

    world(const world&) = delete;
    world& operator=(const world&) = delete;

    /// Starts the hosts. Returns false if all of them are not ready within 10 s.
    bool startHosts();
    /// Sends SIGTERM to a host, SIGKILL after 6 s, and starts it again 0.3 s after its end.
    void restartHost(std::size_t index);
    std::size_t hostCount() const { return m_hosts.size(); }
    std::string hostName(std::size_t index) const { return m_hosts[index].name; }
    bool isHostReady(std::size_t index) const;

    /// Starts an endpoint, which registers itself in the store. An endpoint of an id that ran before starts
    /// as a new boot at its former address.
    void startEndpoint(const endpoint_definition&, bool isCold);
    /// Ends an endpoint without a word, as a crash does.
    void crashEndpoint(const std::string& id);

    /// While set, the store answers each call with 503 and cuts the watches that wait.
    void setStoreBusy(bool isBusy);

    /// Opens flows at a rate, from consumers in all zones. Each flow has this number of requests, with this
    /// pause between them.
    void startTraffic(const std::string& route, double flowsPerSecond, int requests, double pauseMs);
    void stopTraffic();

    /// Calls the function at a time.
    void at(milliseconds time, std::function<void()>);
    void runUntil(milliseconds time);

    void record(const char* format, ...) __attribute__((format(printf, 2, 3)));

    // What was seen.

    struct foreign_reset {
        milliseconds at {};
        flow_key flow;
        std::string sender;
        std::string endpoint;
        bool wasRequestUnanswered {};
        bool isRepeatable {};
    };
    struct taken_opening {
        milliseconds at {};
        milliseconds sentAt {};
        std::string endpoint;
        bool isCold {};
    };
    struct totals {
        std::size_t flows {};
        std::size_t opened {};
        std::size_t requests {};
        std::size_t answered {};
        std::size_t refused {};
        std::size_t rejected {};
        /// Requests whose flow was open and that had no answer at their time limit, or were cut off.
        std::size_t lost {};
        std::size_t repeatedRuns {};
        std::size_t damagedPackets {};
        std::size_t hostsThatEnded {};
    };
    const std::vector<foreign_reset>& foreignResets() const { return m_foreignResets; }
    const std::vector<taken_opening>& openings() const { return m_openings; }
    const totals& seen() const { return m_totals; }
    /// Requests lost at an endpoint in a period.
    std::size_t lostAt(const std::string& endpoint, milliseconds from, milliseconds until) const;

private:
    struct host {
        std::string name;
        std::string zone;
        std::string address;
        std::string settingsFile;
        pid_t process {};
        milliseconds startAt {};
        milliseconds killAt {};
        bool isStopping {};
        bool isInRotation {};
        int misses {};
        int probe { -1 };
        milliseconds probeUntil {};
        std::string probeAnswer;
    };
    struct item {
        std::string value;
        std::uint64_t revision {};
        std::uint64_t created {};
    };
    struct store_event {
        std::uint64_t revision {};
        std::string key;
        std::string value;
        std::uint64_t created {};
        bool isRemoved {};
    };
    struct connection {
        std::string input;
        std::string output;
        bool isWatching {};
        std::uint64_t watchAfter {};
        std::string watchPrefix;
        milliseconds watchUntil {};
        milliseconds answerAt {};
    };
    struct served_flow {
        std::uint32_t ownSequence {};
        std::uint32_t callerSequence {};
        std::uint32_t received {};
        std::uint32_t sent {};
        std::uint32_t acknowledged {};
        std::uint32_t echo {};
        bool isOpen {};
        std::string answer;
        int retransmissions {};
    };
    struct endpoint {
        endpoint_definition definition;
        std::string address;
        int socket { -1 };
        std::uint64_t number {};
        std::uint64_t boot {};
        std::uint64_t bornMs {};
        bool isRunning {};
        milliseconds coldUntil {};
        milliseconds nextBeat {};
        std::uint64_t beats {};
        std::string writtenEntry;
        int busySlots {};
        std::deque<std::pair<flow_key, std::uint64_t>> queue;
        std::map<flow_key, served_flow> flows;
    };
    struct consumer_flow {
        std::size_t consumer {};
        std::uint32_t sequence {};
        std::uint32_t serverSequence {};
        std::uint32_t sent {};
        std::uint32_t received {};
        std::uint32_t echo {};
        bool isOpen {};
        bool isWaiting {};
        bool isClosing {};
        std::string endpoint;
        std::uint64_t request {};
        milliseconds requestedAt {};
        milliseconds startedAt {};
        int requestsLeft {};
        double pauseMs {};
        const route_definition* route {};
        std::string input;
    };
    struct consumer {
        std::string zone;
        std::string address;
        int socket { -1 };
        int nextPort {};
        std::map<std::uint16_t, milliseconds> endedAt;
    };
    struct lost_request {
        milliseconds at {};
        std::string endpoint;
    };

    // Hosts and routers.
    void startHost(host&);
    void watchHosts();
    void probeHosts();
    void finishProbe(host&, bool isReady);
    host* hostFor(const std::string& zone, const flow_key&);

    // Store.
    void put(const std::string& key, const std::string& value);
    void handleStore(int descriptor, connection&);
    void answerStore(connection&, const std::string& target);
    void respond(connection&, int status, const std::string& body);
    std::string eventsAfter(std::uint64_t revision, const std::string& prefix, bool& isAny) const;
    void finishWatches();
    std::string configText() const;

    // Endpoints.
    void beat(endpoint&);
    void receiveEndpoint(endpoint&);
    void handleAtEndpoint(endpoint&, const packet&);
    void sendFromEndpoint(
        endpoint&, const flow_key&, const served_flow&, std::uint8_t flags, const std::string&);
    void sendAnswer(const std::string& id, std::uint64_t boot, flow_key, std::uint32_t sent, double interval);
    void startWork(endpoint&);
    bool isCold(const endpoint& server) const { return now() < server.coldUntil; }
    endpoint* endpointAt(const sockaddr_in&);

    // Consumers.
    void openFlow(const route_definition&, int requests, double pauseMs);
    consumer_flow* find(const flow_key&, std::uint32_t sequence);
    void sendFromConsumer(const flow_key&, consumer_flow&, std::uint8_t flags, const std::string& data);
    void sendRequest(flow_key, std::uint32_t sequence, std::uint64_t request, double interval);
    void sendClose(flow_key, std::uint32_t sequence, int copies, double interval);
    void nextRequest(const flow_key&, consumer_flow&);
    void receiveConsumer(consumer&);
    void handleAtConsumer(const packet&, const sockaddr_in& from);
    void endFlow(const flow_key&);

    int bindDatagram(const std::string& address, std::uint16_t port);
    void sendDatagram(int socket, const std::string& address, std::uint16_t port, const std::string&);
    void pollOnce();

    world_options m_options;
    std::mt19937 m_random { std::random_device {}() };
    std::string m_network;
    std::string m_folder;
    std::uint16_t m_packetPort {};
    std::uint16_t m_readyPort {};
    std::uint16_t m_peerPort {};
    std::uint16_t m_metricsPort {};
    std::uint16_t m_storePort {};
    std::FILE* m_record {};
    std::vector<host> m_hosts;
    int m_storeSocket { -1 };
    bool m_isStoreBusy {};
    std::uint64_t m_revision { 100 };
    std::map<std::string, item> m_items;
    std::vector<store_event> m_events;
    std::map<int, connection> m_connections;
    std::map<std::string, endpoint> m_endpoints;
    std::vector<consumer> m_consumers;
    std::map<flow_key, consumer_flow> m_flows;
    std::uint64_t m_nextRequest { 1 };
    std::set<std::uint64_t> m_runs;
    std::uint64_t m_trafficGeneration {};
    std::multimap<milliseconds, std::function<void()>> m_timers;
    milliseconds m_nextProbe {};
    std::vector<foreign_reset> m_foreignResets;
    std::vector<taken_opening> m_openings;
    std::vector<lost_request> m_lostRequests;
    totals m_totals;
};

} // namespace review
