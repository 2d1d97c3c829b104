#include "world.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

    constexpr std::size_t headerBytes = 31;
    constexpr std::size_t prefixBytes = 8;
    constexpr double firstRetransmissionMs = 200;
    constexpr double longestRetransmissionMs = 1600;
    constexpr int mostRetransmissions = 8;
    constexpr double openingTimeoutMs = 1400;
    constexpr double graceMs = 6000;
    constexpr double restartDelayMs = 300;
    constexpr std::uint32_t sumKey = 0x7265;
    constexpr int firstPort = 20000;
    constexpr double shortestReuseMs = 1000;
    constexpr const char* program = "target/sbin/shallotcoved";

    std::uint32_t addressOf(const std::string& text) { return ntohl(inet_addr(text.c_str())); }

    sockaddr_in nativeOf(const std::string& address, std::uint16_t port)
    {
        sockaddr_in native {};
        native.sin_family = AF_INET;
        native.sin_port = htons(port);
        native.sin_addr.s_addr = inet_addr(address.c_str());
        return native;
    }

    template <typename Number> void store(std::string& bytes, std::size_t offset, Number value)
    {
        for (std::size_t index = 0; index < sizeof value; ++index)
            bytes[offset + index]
                = static_cast<char>((static_cast<std::uint64_t>(value) >> (8 * index)) & 0xff);
    }

    template <typename Number> Number load(const std::string& bytes, std::size_t offset)
    {
        std::uint64_t value = 0;
        for (std::size_t index = 0; index < sizeof(Number); ++index)
            value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[offset + index]))
                << (8 * index);
        return static_cast<Number>(value);
    }

    /// Keyed sum over everything but the sum itself and the echo.
    std::uint32_t sumOf(std::string bytes)
    {
        store(bytes, 8, std::uint32_t { 0 });
        store(bytes, 27, std::uint32_t { 0 });
        std::uint32_t sum = 2166136261U ^ sumKey;
        for (const char byte : bytes)
            sum = (sum ^ static_cast<unsigned char>(byte)) * 16777619U;
        return sum;
    }

    std::string encode(const packet& source)
    {
        std::string bytes(headerBytes, '\0');
        bytes += source.data;
        const flow_key& flow = source.flow;
        store(bytes, 0, source.sequence);
        store(bytes, 4, source.acknowledgement);
        store(bytes, 12, static_cast<std::uint16_t>(source.data.size()));
        store(bytes, 14, source.isFromConsumer ? flow.serviceAddress : flow.callerAddress);
        store(bytes, 18, source.isFromConsumer ? flow.callerAddress : flow.serviceAddress);
        store(bytes, 22, source.isFromConsumer ? flow.callerPort : flow.servicePort);
        store(bytes, 24, source.isFromConsumer ? flow.servicePort : flow.callerPort);
        store(bytes, 26, source.flags);
        store(bytes, 27, source.echo);
        store(bytes, 8, sumOf(bytes));
        return bytes;
    }

    std::optional<packet> decode(const std::string& bytes, bool isFromConsumer)
    {
        if (bytes.size() < headerBytes || load<std::uint16_t>(bytes, 12) != bytes.size() - headerBytes)
            return std::nullopt;
        packet result;
        result.isFromConsumer = isFromConsumer;
        result.sequence = load<std::uint32_t>(bytes, 0);
        result.acknowledgement = load<std::uint32_t>(bytes, 4);
        result.sum = load<std::uint32_t>(bytes, 8);
        const std::uint32_t destination = load<std::uint32_t>(bytes, 14);
        const std::uint32_t source = load<std::uint32_t>(bytes, 18);
        const std::uint16_t sourcePort = load<std::uint16_t>(bytes, 22);
        const std::uint16_t destinationPort = load<std::uint16_t>(bytes, 24);
        result.flow = isFromConsumer ? flow_key { source, destination, sourcePort, destinationPort }
                                     : flow_key { destination, source, destinationPort, sourcePort };
        result.flags = load<std::uint8_t>(bytes, 26);
        result.echo = load<std::uint32_t>(bytes, 27);
        result.data = bytes.substr(headerBytes);
        const bool isOfSystem = result.sum == 0 && (result.flags & rstFlag) != 0 && result.data.empty();
        if (!isOfSystem && result.sum != sumOf(bytes))
            return std::nullopt;
        return result;
    }

    /// Initial sequence number as RFC 9293 (3.4.1) asks for: a clock of 4 microseconds and a hash of the
    /// addresses and ports.
    std::uint32_t initialSequence(const flow_key& flow)
    {
        const std::string text = std::to_string(flow.callerAddress) + "/" + std::to_string(flow.callerPort)
            + "/" + std::to_string(flow.serviceAddress) + "/" + std::to_string(flow.servicePort);
        return static_cast<std::uint32_t>(
            std::hash<std::string> {}(text) + static_cast<std::uint64_t>(250 * now()));
    }

    std::string base64Of(const std::string& text)
    {
        static constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string result;
        for (std::size_t index = 0; index < text.size(); index += 3) {
            const std::size_t left = std::min<std::size_t>(3, text.size() - index);
            std::uint32_t group = 0;
            for (std::size_t byte = 0; byte < 3; ++byte)
                group = (group << 8) | (byte < left ? static_cast<unsigned char>(text[index + byte]) : 0U);
            for (std::size_t digit = 0; digit < 4; ++digit)
                result += digit <= left ? digits[(group >> (18 - 6 * digit)) & 63] : '=';
        }
        return result;
    }

    std::string parameterOf(const std::string& target, const std::string& name)
    {
        const std::size_t query = target.find('?');
        if (query == std::string::npos)
            return "";
        std::string parameters = "&" + target.substr(query + 1) + "&";
        const std::size_t found = parameters.find("&" + name + "=");
        if (found == std::string::npos)
            return "";
        const std::size_t begin = found + name.size() + 2;
        const std::string raw = parameters.substr(begin, parameters.find('&', begin) - begin);
        std::string text;
        for (std::size_t index = 0; index < raw.size(); ++index) {
            if (raw[index] == '%' && index + 2 < raw.size()) {
                text += static_cast<char>(std::stoi(raw.substr(index + 1, 2), nullptr, 16));
                index += 2;
            } else
                text += raw[index];
        }
        return text;
    }

    std::string textOf(const flow_key& flow) { return "port " + std::to_string(flow.callerPort); }

    void makeNonBlocking(int descriptor)
    {
        ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) | O_NONBLOCK);
    }

    std::uint64_t unixMilliseconds()
    {
        return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
                                              .count());
    }

} // namespace

milliseconds now()
{
    static const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
}

world::world(world_options options)
    : m_options(std::move(options))
{
    now();
    const char* const recordFile = std::getenv("RECORD");
    m_record = std::fopen(recordFile != nullptr ? recordFile : "record.txt", "w");
    const char* const folder = std::getenv("WORK");
    m_folder = folder != nullptr ? folder : "/tmp";
    // Addresses and ports that other runs on this machine do not use.
    const unsigned pid = static_cast<unsigned>(::getpid());
    m_network = "127." + std::to_string(20 + pid % 200) + ".";
    const std::string probeAddress = m_network + "1.1";
    const auto freePort = [&] {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in native = nativeOf(probeAddress, 0);
        socklen_t length = sizeof native;
        if (::bind(descriptor, reinterpret_cast<sockaddr*>(&native), length) != 0
            || ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&native), &length) != 0) {
            std::perror("no free port");
            std::exit(2);
        }
        ::close(descriptor);
        return ntohs(native.sin_port);
    };
    m_packetPort = freePort();
    m_readyPort = freePort();
    m_peerPort = freePort();
    m_metricsPort = freePort();

    m_storeSocket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in native = nativeOf(m_network + "9.9", 0);
    socklen_t length = sizeof native;
    if (::bind(m_storeSocket, reinterpret_cast<sockaddr*>(&native), length) != 0
        || ::listen(m_storeSocket, 128) != 0
        || ::getsockname(m_storeSocket, reinterpret_cast<sockaddr*>(&native), &length) != 0) {
        std::perror("store");
        std::exit(2);
    }
    m_storePort = ntohs(native.sin_port);
    makeNonBlocking(m_storeSocket);
    put("op/config", configText());

    int zoneIndex = 0;
    for (const auto& [zone, count] : m_options.hosts) {
        ++zoneIndex;
        for (int index = 1; index <= count; ++index) {
            host added;
            added.name = "front-" + zone + "-" + std::to_string(index);
            added.zone = zone;
            added.address = m_network + std::to_string(zoneIndex) + "." + std::to_string(index);
            m_hosts.push_back(std::move(added));
        }
        for (int index = 1; index <= 4; ++index) {
            consumer added;
            added.zone = zone;
            added.address = m_network + std::to_string(100 + zoneIndex) + "." + std::to_string(index);
            added.socket = bindDatagram(added.address, m_packetPort);
            m_consumers.push_back(std::move(added));
        }
    }
}

world::~world()
{
    for (host& each : m_hosts) {
        if (each.process > 0) {
            ::kill(each.process, SIGKILL);
            ::waitpid(each.process, nullptr, 0);
        }
    }
    if (m_record != nullptr)
        std::fclose(m_record);
}

void world::record(const char* format, ...)
{
    std::va_list arguments;
    va_start(arguments, format);
    std::fprintf(m_record, "%9.3f ", now() / 1000);
    std::vfprintf(m_record, format, arguments);
    std::fputc('\n', m_record);
    std::fflush(m_record);
    va_end(arguments);
}

int world::bindDatagram(const std::string& address, std::uint16_t port)
{
    const int descriptor = ::socket(AF_INET, SOCK_DGRAM, 0);
    const sockaddr_in native = nativeOf(address, port);
    const int bytes = 4 << 20;
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
    if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&native), sizeof native) != 0) {
        std::perror("bind");
        std::exit(2);
    }
    makeNonBlocking(descriptor);
    return descriptor;
}

void world::sendDatagram(int socket, const std::string& address, std::uint16_t port, const std::string& bytes)
{
    const sockaddr_in native = nativeOf(address, port);
    ::sendto(
        socket, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&native), sizeof native);
}

void world::at(milliseconds time, std::function<void()> work) { m_timers.emplace(time, std::move(work)); }

void world::runUntil(milliseconds time)
{
    while (now() < time)
        pollOnce();
}

void world::pollOnce()
{
    while (!m_timers.empty() && m_timers.begin()->first <= now()) {
        const std::function<void()> work = std::move(m_timers.begin()->second);
        m_timers.erase(m_timers.begin());
        work();
    }
    watchHosts();
    if (now() >= m_nextProbe) {
        m_nextProbe = now() + 500;
        probeHosts();
    }
    for (auto& [id, server] : m_endpoints) {
        if (server.isRunning && now() >= server.nextBeat)
            beat(server);
    }
    finishWatches();
    std::vector<pollfd> entries;
    entries.push_back({ m_storeSocket, POLLIN, 0 });
    for (const auto& [descriptor, state] : m_connections) {
        const bool mayWrite = !state.output.empty() && now() >= state.answerAt;
        entries.push_back({ descriptor, static_cast<short>(POLLIN | (mayWrite ? POLLOUT : 0)), 0 });
    }
    for (const host& each : m_hosts) {
        if (each.probe >= 0)
            entries.push_back({ each.probe, POLLIN, 0 });
    }
    for (const auto& [id, server] : m_endpoints) {
        if (server.socket >= 0)
            entries.push_back({ server.socket, POLLIN, 0 });
    }
    for (const consumer& each : m_consumers)
        entries.push_back({ each.socket, POLLIN, 0 });
    const double wait = m_timers.empty() ? 2.0 : std::clamp(m_timers.begin()->first - now(), 0.0, 2.0);
    const timespec timeout { 0, static_cast<long>(wait * 1e6) };
    if (::ppoll(entries.data(), entries.size(), &timeout, nullptr) <= 0)
        return;
    std::map<int, short> ready;
    for (const pollfd& entry : entries) {
        if (entry.revents != 0)
            ready[entry.fd] = entry.revents;
    }
    if (ready.contains(m_storeSocket)) {
        int accepted = -1;
        while ((accepted = ::accept(m_storeSocket, nullptr, nullptr)) >= 0) {
            makeNonBlocking(accepted);
            m_connections[accepted] = {};
        }
    }
    std::vector<int> descriptors;
    for (const auto& [descriptor, state] : m_connections) {
        if (ready.contains(descriptor))
            descriptors.push_back(descriptor);
    }
    for (const int descriptor : descriptors)
        handleStore(descriptor, m_connections[descriptor]);
    for (host& each : m_hosts) {
        if (each.probe < 0 || !ready.contains(each.probe))
            continue;
        char buffer[2048];
        const ssize_t size = ::recv(each.probe, buffer, sizeof buffer, 0);
        if (size > 0)
            each.probeAnswer.append(buffer, static_cast<std::size_t>(size));
        if (each.probeAnswer.find("\r\n") != std::string::npos)
            finishProbe(each, each.probeAnswer.compare(8, 5, " 200 ") == 0);
        else if (size <= 0)
            finishProbe(each, false);
    }
    for (auto& [id, server] : m_endpoints) {
        if (ready.contains(server.socket))
            receiveEndpoint(server);
    }
    for (consumer& each : m_consumers) {
        if (ready.contains(each.socket))
            receiveConsumer(each);
    }
}

// Hosts and routers.

bool world::startHosts()
{
    const std::string storeAddress = m_network + "9.9:" + std::to_string(m_storePort);
    std::string seeds;
    for (std::size_t index = 0; index < m_hosts.size() && index < 3; ++index)
        seeds += (index > 0 ? "," : "")
            + ("\"" + m_hosts[index].address + ":" + std::to_string(m_readyPort) + "\"");
    std::string regions;
    for (const auto& [zone, count] : m_options.hosts)
        regions += (regions.empty() ? "" : ",") + ("\"" + zone + "\":\"region\"");
    for (host& each : m_hosts) {
        const auto listen
            = [&](std::uint16_t port) { return "\"" + each.address + ":" + std::to_string(port) + "\""; };
        each.settingsFile = m_folder + "/" + each.name + ".json";
        // As deploy/settings.json.in is filled in.
        std::ofstream(each.settingsFile)
            << "{\n  \"transport\": \"tagged\",\n  \"name\": \"" << each.name << "\",\n  \"dataCentre\": \""
            << each.zone << "\",\n  \"packetAddress\": " << listen(m_packetPort)
            << ",\n  \"readinessAddress\": " << listen(m_readyPort)
            << ",\n  \"peerAddress\": " << listen(m_peerPort)
            << ",\n  \"metricsAddress\": " << listen(m_metricsPort) << ",\n  \"storeAddress\": \""
            << storeAddress << "\",\n  \"seeds\": [" << seeds
            << "],\n  \"processorShare\": " << m_options.processorShare << ",\n  \"regions\": {" << regions
            << "}\n}\n";
        startHost(each);
    }
    const milliseconds until = now() + 10000;
    while (now() < until) {
        pollOnce();
        if (std::all_of(m_hosts.begin(), m_hosts.end(), [](const host& each) { return each.isInRotation; }))
            return true;
    }
    return false;
}

bool world::isHostReady(std::size_t index) const { return m_hosts[index].isInRotation; }

void world::startHost(host& started)
{
    const std::string log = m_folder + "/" + started.name + ".log";
    const pid_t process = ::fork();
    if (process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        for (int descriptor = 3; descriptor < 1024; ++descriptor)
            ::close(descriptor);
        ::setenv("SHALLOTCOVE_CONFIG", started.settingsFile.c_str(), 1);
        ::execl(program, program, static_cast<char*>(nullptr));
        ::_exit(127);
    }
    started.process = process;
    started.isStopping = false;
    started.startAt = 0;
    started.killAt = 0;
    record("host %s started", started.name.c_str());
}

void world::restartHost(std::size_t index)
{
    host& stopped = m_hosts[index];
    if (stopped.process <= 0)
        return;
    record("host %s gets SIGTERM", stopped.name.c_str());
    ::kill(stopped.process, SIGTERM);
    stopped.isStopping = true;
    stopped.killAt = now() + graceMs;
}

void world::watchHosts()
{
    for (host& each : m_hosts) {
        if (each.process > 0) {
            int status = 0;
            if (::waitpid(each.process, &status, WNOHANG) == each.process) {
                record("host %s ended, status %d", each.name.c_str(), status);
                each.process = 0;
                each.startAt = now() + restartDelayMs;
                m_totals.hostsThatEnded += each.isStopping ? 0 : 1;
            } else if (each.isStopping && now() >= each.killAt)
                ::kill(each.process, SIGKILL);
        } else if (each.startAt > 0 && now() >= each.startAt)
            startHost(each);
    }
}

void world::probeHosts()
{
    for (host& each : m_hosts) {
        if (each.probe >= 0)
            finishProbe(each, false);
        each.probe = ::socket(AF_INET, SOCK_STREAM, 0);
        each.probeAnswer.clear();
        const sockaddr_in native = nativeOf(each.address, m_readyPort);
        if (::connect(each.probe, reinterpret_cast<const sockaddr*>(&native), sizeof native) != 0) {
            finishProbe(each, false);
            continue;
        }
        const std::string request
            = "GET /api/readiness HTTP/1.1\r\nHost: " + each.address + "\r\nConnection: close\r\n\r\n";
        ::send(each.probe, request.data(), request.size(), MSG_NOSIGNAL);
        makeNonBlocking(each.probe);
    }
}

void world::finishProbe(host& probed, bool isReady)
{
    ::close(probed.probe);
    probed.probe = -1;
    probed.misses = isReady ? 0 : probed.misses + 1;
    const bool isInRotation = isReady || (probed.isInRotation && probed.misses < 2);
    if (isInRotation != probed.isInRotation)
        record("host %s is %s rotation", probed.name.c_str(), isInRotation ? "in" : "out of");
    probed.isInRotation = isInRotation;
}

world::host* world::hostFor(const std::string& zone, const flow_key& flow)
{
    std::vector<host*> all;
    std::vector<host*> ready;
    for (host& each : m_hosts) {
        if (each.zone != zone)
            continue;
        all.push_back(&each);
        if (each.isInRotation)
            ready.push_back(&each);
    }
    const std::vector<host*>& used = 2 * ready.size() < all.size() ? all : ready;
    // Highest random weight: only the flows of a node that joins or leaves move.
    host* best = nullptr;
    std::size_t bestRank = 0;
    for (host* each : used) {
        const std::string text = each->name + "/" + std::to_string(flow.callerAddress) + "/"
            + std::to_string(flow.callerPort) + "/" + std::to_string(flow.serviceAddress) + "/"
            + std::to_string(flow.servicePort);
        const std::size_t rank = std::hash<std::string> {}(text);
        if (best == nullptr || rank > bestRank) {
            best = each;
            bestRank = rank;
        }
    }
    return best;
}

// Store.

std::string world::configText() const
{
    std::string routes;
    for (const route_definition& each : m_options.routes)
        routes += (routes.empty() ? "" : ",")
            + ("{\"name\":\"" + each.name + "\",\"host\":\"" + m_network + "200.1\",\"prefix\":\"/"
                + std::to_string(each.port) + "/\",\"kind\":\"" + each.kind + "\",\"timeout-ms\":"
                + std::to_string(each.timeoutMs) + ",\"latency-goal-ms\":" + std::to_string(each.goalMs)
                + ",\"priority\":" + std::to_string(each.priority) + ",\"service\":\"" + each.service
                + "\",\"attempts\":2}");
    std::string services;
    for (const service_definition& each : m_options.services)
        services += (services.empty() ? "" : ",")
            + ("{\"name\":\"" + each.name
                + "\",\"health-path\":\"/"
                  "health\",\"max-flows\":2000,\"protocol\":\"h1\",\"tls\":false,\"warmup-s\":"
                + std::to_string(each.warmupSeconds) + ",\"cold-per-s\":" + std::to_string(each.coldPerSecond)
                + "}");
    return "{\"config-version\":7,\"routes\":[" + routes + "],\"services\":[" + services
        + "],\"limits\":{\"header-bytes\":16384,\"max-body-bytes\":262144,\"header-timeout-ms\":3000,"
          "\"idle-timeout-ms\":15000}}";
}

void world::put(const std::string& key, const std::string& value)
{
    item& stored = m_items[key];
    stored.value = value;
    stored.revision = ++m_revision;
    if (stored.created == 0)
        stored.created = m_revision;
    m_events.push_back({ m_revision, key, value, stored.created, false });
}

void world::setStoreBusy(bool isBusy)
{
    m_isStoreBusy = isBusy;
    record("store %s", isBusy ? "is down: answers 503" : "serves again");
    if (!isBusy)
        return;
    std::vector<int> watching;
    for (const auto& [descriptor, state] : m_connections) {
        if (state.isWatching)
            watching.push_back(descriptor);
    }
    for (const int descriptor : watching) {
        ::close(descriptor);
        m_connections.erase(descriptor);
    }
}

void world::handleStore(int descriptor, connection& state)
{
    char buffer[4096];
    const ssize_t size = ::recv(descriptor, buffer, sizeof buffer, 0);
    if (size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) {
        ::close(descriptor);
        m_connections.erase(descriptor);
        return;
    }
    if (size > 0) {
        state.input.append(buffer, static_cast<std::size_t>(size));
        const std::size_t end = state.input.find("\r\n\r\n");
        if (end != std::string::npos) {
            const std::size_t begin = state.input.find(' ') + 1;
            const std::string target = state.input.substr(begin, state.input.find(' ', begin) - begin);
            state.input.clear();
            answerStore(state, target);
        }
    }
    if (state.output.empty() || now() < state.answerAt)
        return;
    const ssize_t sent = ::send(descriptor, state.output.data(), state.output.size(), MSG_NOSIGNAL);
    if (sent > 0)
        state.output.erase(0, static_cast<std::size_t>(sent));
    if (state.output.empty()) {
        ::close(descriptor);
        m_connections.erase(descriptor);
    }
}

void world::respond(connection& state, int status, const std::string& body)
{
    state.isWatching = false;
    // 4 ms an answer.
    state.answerAt = now() + 4;
    state.output = "HTTP/1.1 " + std::to_string(status)
        + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
        + "\r\nConnection: close\r\n\r\n" + body;
}

void world::answerStore(connection& state, const std::string& target)
{
    if (m_isStoreBusy)
        return respond(state, 503, "{}");
    const std::string revision = std::to_string(m_revision);
    const auto itemText = [](const std::string& key, const item& stored) {
        return "{\"key\":\"" + key + "\",\"value\":\"" + base64Of(stored.value)
            + "\",\"rev\":" + std::to_string(stored.revision)
            + ",\"create-revision\":" + std::to_string(stored.created) + ",\"lease\":0";
    };
    if (target.starts_with("/api/kv-key")) {
        const std::string key = parameterOf(target, "key");
        const auto found = m_items.find(key);
        if (found == m_items.end())
            return respond(state, 404, "{\"at\":" + revision + "}");
        return respond(state, 200, itemText(key, found->second) + ",\"at\":" + revision + "}");
    }
    if (target.starts_with("/api/kv-range")) {
        const std::string prefix = parameterOf(target, "prefix");
        const std::string after = parameterOf(target, "after");
        std::string items;
        for (const auto& [key, stored] : m_items) {
            if (key.starts_with(prefix) && (after.empty() || key > after))
                items += (items.empty() ? "" : ",") + itemText(key, stored) + "}";
        }
        return respond(state, 200, "{\"items\":[" + items + "],\"has-more\":false,\"at\":" + revision + "}");
    }
    if (target.starts_with("/api/kv-watch")) {
        state.isWatching = true;
        state.watchAfter = std::stoull("0" + parameterOf(target, "after"));
        state.watchPrefix = parameterOf(target, "prefix");
        state.watchUntil = now() + std::stod("0" + parameterOf(target, "wait-ms"));
        return;
    }
    respond(state, 404, "{}");
}

std::string world::eventsAfter(std::uint64_t revision, const std::string& prefix, bool& isAny) const
{
    std::string text;
    for (const store_event& each : m_events) {
        if (each.revision <= revision || !each.key.starts_with(prefix))
            continue;
        isAny = true;
        text += (text.empty() ? "" : ",")
            + ("{\"key\":\"" + each.key + "\",\"rev\":" + std::to_string(each.revision));
        text += each.isRemoved ? ",\"removed\":true}"
                               : ",\"value\":\"" + base64Of(each.value)
                + "\",\"create-revision\":" + std::to_string(each.created) + ",\"lease\":0}";
    }
    return "{\"events\":[" + text + "],\"at\":" + std::to_string(m_revision) + "}";
}

void world::finishWatches()
{
    for (auto& [descriptor, state] : m_connections) {
        if (!state.isWatching || (m_revision <= state.watchAfter && now() < state.watchUntil))
            continue;
        bool isAny = false;
        const std::string body = eventsAfter(state.watchAfter, state.watchPrefix, isAny);
        if (isAny || now() >= state.watchUntil)
            respond(state, 200, body);
    }
}

// Endpoints.

void world::startEndpoint(const endpoint_definition& definition, bool isCold)
{
    const bool isNew = !m_endpoints.contains(definition.id);
    endpoint& server = m_endpoints[definition.id];
    if (isNew) {
        server.address = m_network + "150." + std::to_string(m_endpoints.size());
        server.socket = bindDatagram(server.address, 8080);
        server.number = std::stoull(definition.id.substr(definition.id.rfind('-') + 1), nullptr, 16);
    }
    server.definition = definition;
    ++server.boot;
    server.bornMs = unixMilliseconds();
    server.isRunning = true;
    server.beats = 0;
    server.writtenEntry.clear();
    double warmupMs = 0;
    for (const service_definition& each : m_options.services)
        warmupMs = each.name == definition.service ? 1000 * each.warmupSeconds : warmupMs;
    server.coldUntil = isCold ? now() + warmupMs : 0;
    server.nextBeat = now();
    record("endpoint %s starts, boot %llu%s", definition.id.c_str(),
        static_cast<unsigned long long>(server.boot), isCold ? ", cold" : "");
    beat(server);
}

void world::crashEndpoint(const std::string& id)
{
    endpoint& server = m_endpoints[id];
    server.isRunning = false;
    server.flows.clear();
    server.queue.clear();
    server.busySlots = 0;
    record("endpoint %s crashes", id.c_str());
}

void world::beat(endpoint& server)
{
    server.nextBeat = now() + m_options.heartbeatMs;
    if (m_isStoreBusy) {
        // Tried again until the store takes it.
        server.nextBeat = now() + 200;
        return;
    }
    const int warmupLeft = std::max(0, static_cast<int>(server.coldUntil - now()));
    const endpoint_definition& definition = server.definition;
    const std::string body = "\"service\":\"" + definition.service + "\",\"address\":\"" + server.address
        + ":8080\",\"zone\":\"" + definition.zone + "\",\"config-version\":\"v1\",\"concurrency\":"
        + std::to_string(definition.slots) + ",\"state\":\"ready\",\"warmup-left-ms\":"
        + std::to_string(warmupLeft) + ",\"born\":" + std::to_string(server.bornMs);
    if (body == server.writtenEntry)
        return;
    server.writtenEntry = body;
    put("servers/" + definition.id, "{" + body + ",\"sequence\":" + std::to_string(++server.beats) + "}");
    record("endpoint %s registers, warmup-left-ms %d", definition.id.c_str(), warmupLeft);
}

void world::receiveEndpoint(endpoint& server)
{
    char buffer[2048];
    ssize_t size = 0;
    while ((size = ::recv(server.socket, buffer, sizeof buffer, 0)) >= 0) {
        const std::string bytes(buffer, static_cast<std::size_t>(size));
        if (!server.isRunning)
            continue;
        std::uint64_t intended = 0;
        for (std::size_t index = 0; index < prefixBytes && index < bytes.size(); ++index)
            intended = (intended << 8) | static_cast<unsigned char>(bytes[index]);
        const std::optional<packet> received
            = bytes.size() < prefixBytes ? std::nullopt : decode(bytes.substr(prefixBytes), true);
        if (!received) {
            ++m_totals.damagedPackets;
            record("endpoint %s got a packet that its sender did not write", server.definition.id.c_str());
            continue;
        }
        if (intended == 0 || intended == server.number)
            handleAtEndpoint(server, *received);
    }
}

void world::sendFromEndpoint(endpoint& server, const flow_key& flow, const served_flow& state,
    std::uint8_t flags, const std::string& data)
{
    packet sent;
    sent.flow = flow;
    sent.flags = flags;
    sent.sequence = (flags & synFlag) != 0 ? state.ownSequence : state.ownSequence + 1 + state.sent;
    sent.acknowledgement = state.callerSequence + 1 + state.received;
    sent.echo = state.echo;
    sent.data = data;
    in_addr to { htonl(flow.callerAddress) };
    sendDatagram(server.socket, ::inet_ntoa(to), m_packetPort, encode(sent));
}

void world::handleAtEndpoint(endpoint& server, const packet& received)
{
    const flow_key& flow = received.flow;
    const auto found = server.flows.find(flow);
    if ((received.flags & synFlag) != 0) {
        if (found != server.flows.end() && found->second.callerSequence == received.sequence) {
            if (!found->second.isOpen)
                sendFromEndpoint(server, flow, found->second, synFlag | ackFlag, "");
            return;
        }
        const auto sender = m_flows.find(flow);
        m_openings.push_back({ now(), sender == m_flows.end() ? now() : sender->second.startedAt,
            server.definition.id, isCold(server) });
        served_flow& state = server.flows[flow];
        state = {};
        state.ownSequence = m_random();
        state.callerSequence = received.sequence;
        state.echo = received.echo;
        return sendFromEndpoint(server, flow, state, synFlag | ackFlag, "");
    }
    const bool isHeld = found != server.flows.end()
        && (found->second.isOpen || received.acknowledgement == found->second.ownSequence + 1);
    if (!isHeld) {
        if ((received.flags & (rstFlag | finFlag)) != 0)
            return;
        served_flow unknown;
        unknown.ownSequence = received.acknowledgement - 1;
        unknown.callerSequence = received.sequence - 1;
        unknown.echo = received.echo;
        return sendFromEndpoint(server, flow, unknown, rstFlag, "");
    }
    served_flow& state = found->second;
    if ((received.flags & rstFlag) != 0) {
        server.flows.erase(found);
        return;
    }
    state.echo = received.echo;
    if (!state.isOpen) {
        state.isOpen = true;
        const auto consumerFlow = m_flows.find(flow);
        if (consumerFlow != m_flows.end() && consumerFlow->second.sequence == state.callerSequence)
            consumerFlow->second.endpoint = server.definition.id;
    }
    const std::uint32_t acknowledged = received.acknowledgement - state.ownSequence - 1;
    if (acknowledged > state.acknowledged && acknowledged <= state.sent + state.answer.size()) {
        state.acknowledged = acknowledged;
        if (!state.answer.empty() && acknowledged >= state.sent + state.answer.size()) {
            state.sent += static_cast<std::uint32_t>(state.answer.size());
            state.answer.clear();
        }
    }
    const std::uint32_t offset = received.sequence - state.callerSequence - 1;
    if (!received.data.empty() && offset == state.received) {
        state.received += static_cast<std::uint32_t>(received.data.size());
        const std::size_t idAt = received.data.find("X-Request-Id: ");
        const std::uint64_t request = std::stoull(received.data.substr(idAt + 14));
        sendFromEndpoint(server, flow, state, ackFlag, "");
        if (static_cast<int>(server.queue.size()) >= server.definition.queue) {
            state.answer = "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nX-Request-Id: "
                + std::to_string(request) + "\r\nContent-Length: 0\r\n\r\n";
            state.retransmissions = 0;
            sendAnswer(server.definition.id, server.boot, flow, state.sent, firstRetransmissionMs);
        } else {
            server.queue.emplace_back(flow, request);
            startWork(server);
        }
    } else if (!received.data.empty())
        sendFromEndpoint(server, flow, state, ackFlag, "");
    if ((received.flags & finFlag) != 0) {
        sendFromEndpoint(server, flow, state, finFlag | ackFlag, "");
        server.flows.erase(flow);
    }
}

void world::startWork(endpoint& server)
{
    while (server.busySlots < server.definition.slots && !server.queue.empty()) {
        const auto [flow, request] = server.queue.front();
        server.queue.pop_front();
        if (!server.flows.contains(flow))
            continue;
        ++server.busySlots;
        if (!m_runs.insert(request).second)
            ++m_totals.repeatedRuns;
        double work = server.definition.workMs;
        // A cold endpoint bears cold-per-s requests a second.
        for (const service_definition& each : m_options.services) {
            if (each.name == server.definition.service && each.coldPerSecond > 0 && isCold(server))
                work = 1000 * server.definition.slots / each.coldPerSecond;
        }
        at(now() + work, [this, id = server.definition.id, boot = server.boot, flow, request] {
            endpoint& worker = m_endpoints[id];
            if (!worker.isRunning || worker.boot != boot)
                return;
            --worker.busySlots;
            const auto found = worker.flows.find(flow);
            if (found != worker.flows.end()) {
                found->second.answer = "HTTP/1.1 200 OK\r\nX-Server-Seal: " + id
                    + "\r\nX-Request-Id: " + std::to_string(request) + "\r\nContent-Length: 0\r\n\r\n";
                found->second.retransmissions = 0;
                sendAnswer(id, boot, flow, found->second.sent, firstRetransmissionMs);
            }
            startWork(worker);
        });
    }
}

void world::sendAnswer(
    const std::string& id, std::uint64_t boot, flow_key flow, std::uint32_t sent, double interval)
{
    endpoint& server = m_endpoints[id];
    const auto found = server.flows.find(flow);
    if (!server.isRunning || server.boot != boot || found == server.flows.end() || found->second.sent != sent
        || found->second.answer.empty() || found->second.retransmissions++ > mostRetransmissions)
        return;
    sendFromEndpoint(server, flow, found->second, ackFlag, found->second.answer);
    at(now() + interval,
        [=, this] { sendAnswer(id, boot, flow, sent, std::min(2 * interval, longestRetransmissionMs)); });
}

world::endpoint* world::endpointAt(const sockaddr_in& address)
{
    for (auto& [id, server] : m_endpoints) {
        if (inet_addr(server.address.c_str()) == address.sin_addr.s_addr)
            return &server;
    }
    return nullptr;
}

// Consumers.

void world::startTraffic(const std::string& route, double flowsPerSecond, int requests, double pauseMs)
{
    const route_definition* const used = &*std::find_if(m_options.routes.begin(), m_options.routes.end(),
        [&](const route_definition& each) { return each.name == route; });
    const std::uint64_t generation = m_trafficGeneration;
    const double gap = std::exponential_distribution<double>(flowsPerSecond / 1000)(m_random);
    at(now() + gap, [=, this] {
        if (generation != m_trafficGeneration)
            return;
        openFlow(*used, requests, pauseMs);
        startTraffic(route, flowsPerSecond, requests, pauseMs);
    });
}

void world::stopTraffic() { ++m_trafficGeneration; }

void world::openFlow(const route_definition& route, int requests, double pauseMs)
{
    const std::size_t index = m_random() % m_consumers.size();
    consumer& from = m_consumers[index];
    flow_key flow;
    bool isFree = false;
    for (int tries = 0; tries < m_options.portsPerConsumer && !isFree; ++tries) {
        from.nextPort = (from.nextPort + 1) % m_options.portsPerConsumer;
        const std::uint16_t port = static_cast<std::uint16_t>(firstPort + from.nextPort);
        flow = { addressOf(from.address), addressOf(m_network + "200.1"), port, route.port };
        const auto ended = from.endedAt.find(port);
        isFree = !m_flows.contains(flow)
            && (ended == from.endedAt.end() || now() - ended->second >= shortestReuseMs);
    }
    if (!isFree)
        return;
    consumer_flow opened;
    opened.consumer = index;
    opened.sequence = initialSequence(flow);
    opened.startedAt = now();
    opened.requestsLeft = requests;
    opened.pauseMs = pauseMs;
    opened.route = &route;
    const std::uint32_t sequence = opened.sequence;
    m_flows[flow] = std::move(opened);
    ++m_totals.flows;
    for (std::uint32_t copy = 0; copy < 3; ++copy) {
        at(now()
                + (copy == 0        ? 0
                        : copy == 1 ? 200
                                    : 600),
            [this, flow, sequence, copy] {
                consumer_flow* const state = find(flow, sequence);
                if (state == nullptr || state->isOpen)
                    return;
                packet opening;
                opening.flow = flow;
                opening.isFromConsumer = true;
                opening.flags = synFlag;
                opening.sequence = sequence;
                opening.acknowledgement = copy;
                consumer& sender = m_consumers[state->consumer];
                if (host* const to = hostFor(sender.zone, flow))
                    sendDatagram(sender.socket, to->address, m_packetPort, encode(opening));
            });
    }
    at(now() + openingTimeoutMs, [this, flow, sequence] {
        consumer_flow* const state = find(flow, sequence);
        if (state != nullptr && !state->isOpen)
            endFlow(flow);
    });
}

world::consumer_flow* world::find(const flow_key& flow, std::uint32_t sequence)
{
    const auto found = m_flows.find(flow);
    return found == m_flows.end() || found->second.sequence != sequence ? nullptr : &found->second;
}

void world::sendFromConsumer(
    const flow_key& flow, consumer_flow& state, std::uint8_t flags, const std::string& data)
{
    packet sent;
    sent.flow = flow;
    sent.isFromConsumer = true;
    sent.flags = flags;
    sent.sequence = state.sequence + 1 + state.sent;
    sent.acknowledgement = state.serverSequence + 1 + state.received;
    sent.echo = state.echo;
    sent.data = data;
    consumer& sender = m_consumers[state.consumer];
    if (host* const to = hostFor(sender.zone, flow))
        sendDatagram(sender.socket, to->address, m_packetPort, encode(sent));
}

void world::nextRequest(const flow_key& flow, consumer_flow& state)
{
    --state.requestsLeft;
    state.request = m_nextRequest++;
    state.requestedAt = now();
    state.isWaiting = true;
    ++m_totals.requests;
    const std::uint64_t request = state.request;
    const std::uint32_t sequence = state.sequence;
    sendRequest(flow, sequence, request, firstRetransmissionMs);
    at(now() + state.route->timeoutMs, [this, flow, sequence, request] {
        consumer_flow* const waiting = find(flow, sequence);
        if (waiting == nullptr || waiting->request != request || !waiting->isWaiting)
            return;
        ++m_totals.lost;
        m_lostRequests.push_back({ now(), waiting->endpoint });
        sendFromConsumer(flow, *waiting, rstFlag | ackFlag, "");
        endFlow(flow);
    });
}

void world::sendRequest(flow_key flow, std::uint32_t sequence, std::uint64_t request, double interval)
{
    consumer_flow* const state = find(flow, sequence);
    if (state == nullptr || state->request != request || !state->isWaiting)
        return;
    const std::string method = state->route->kind == "unsafe" ? "POST" : "GET";
    const std::string text
        = method + " /work HTTP/1.1\r\nX-Request-Id: " + std::to_string(request) + "\r\n\r\n";
    sendFromConsumer(flow, *state, ackFlag, text);
    at(now() + interval,
        [=, this] { sendRequest(flow, sequence, request, std::min(2 * interval, longestRetransmissionMs)); });
}

void world::sendClose(flow_key flow, std::uint32_t sequence, int copies, double interval)
{
    consumer_flow* const state = find(flow, sequence);
    if (state == nullptr)
        return;
    if (copies == 0)
        return endFlow(flow);
    state->isClosing = true;
    sendFromConsumer(flow, *state, finFlag | ackFlag, "");
    at(now() + interval, [=, this] { sendClose(flow, sequence, copies - 1, 2 * interval); });
}

void world::endFlow(const flow_key& flow)
{
    const auto found = m_flows.find(flow);
    if (found == m_flows.end())
        return;
    m_consumers[found->second.consumer].endedAt[flow.callerPort] = now();
    m_flows.erase(found);
}

void world::receiveConsumer(consumer& receiver)
{
    char buffer[2048];
    sockaddr_in from {};
    socklen_t length = sizeof from;
    ssize_t size = 0;
    while ((size = ::recvfrom(
                receiver.socket, buffer, sizeof buffer, 0, reinterpret_cast<sockaddr*>(&from), &length))
        >= 0) {
        const std::optional<packet> received
            = decode(std::string(buffer, static_cast<std::size_t>(size)), false);
        if (received)
            handleAtConsumer(*received, from);
        else {
            ++m_totals.damagedPackets;
            record("a consumer got a packet that its sender did not write");
        }
        length = sizeof from;
    }
}

void world::handleAtConsumer(const packet& received, const sockaddr_in& from)
{
    const flow_key& flow = received.flow;
    const auto found = m_flows.find(flow);
    if (found == m_flows.end())
        return;
    consumer_flow& state = found->second;
    if ((received.flags & rstFlag) != 0) {
        const endpoint* const sender = endpointAt(from);
        const std::string senderName = sender == nullptr ? "a host" : sender->definition.id;
        const auto owner = m_endpoints.find(state.endpoint);
        const bool isOwnerHolding
            = owner != m_endpoints.end() && owner->second.isRunning && owner->second.flows.contains(flow);
        if (state.isOpen && isOwnerHolding && senderName != state.endpoint) {
            const bool isRepeatable = state.route->kind != "unsafe";
            m_foreignResets.push_back(
                { now(), flow, senderName, state.endpoint, state.isWaiting, isRepeatable });
            record("flow %s, open at %s since %.3f, got a reset from %s%s", textOf(flow).c_str(),
                state.endpoint.c_str(), state.startedAt / 1000, senderName.c_str(),
                state.isWaiting ? "; its request has no answer" : "");
        }
        const std::uint32_t expected = state.serverSequence + 1 + state.received;
        const std::uint32_t distance = std::min(received.sequence - expected, expected - received.sequence);
        if (state.isOpen && distance > 76800)
            return;
        if (!state.isOpen)
            ++m_totals.refused;
        else if (state.isWaiting) {
            ++m_totals.lost;
            m_lostRequests.push_back({ now(), state.endpoint });
        }
        return endFlow(flow);
    }
    if ((received.flags & synFlag) != 0) {
        if (state.isOpen || received.acknowledgement != state.sequence + 1)
            return;
        state.isOpen = true;
        state.serverSequence = received.sequence;
        state.echo = received.echo;
        ++m_totals.opened;
        sendFromConsumer(flow, state, ackFlag, "");
        return nextRequest(flow, state);
    }
    if (!state.isOpen)
        return;
    const std::uint32_t expected = state.serverSequence + 1 + state.received;
    if ((received.flags & finFlag) != 0) {
        if (state.isClosing)
            endFlow(flow);
        return;
    }
    if (received.sequence != expected) {
        // A copy of an answer whose acknowledgement was lost.
        if (!received.data.empty())
            sendFromConsumer(flow, state, ackFlag, "");
        return;
    }
    state.echo = received.echo;
    if (received.data.empty())
        return;
    state.received += static_cast<std::uint32_t>(received.data.size());
    const std::string text
        = "GET /work HTTP/1.1\r\nX-Request-Id: " + std::to_string(state.request) + "\r\n\r\n";
    if (!state.isWaiting)
        return sendFromConsumer(flow, state, ackFlag, "");
    state.sent += static_cast<std::uint32_t>(text.size() + (state.route->kind == "unsafe" ? 1 : 0));
    state.isWaiting = false;
    (received.data.starts_with("HTTP/1.1 200") ? m_totals.answered : m_totals.rejected) += 1;
    sendFromConsumer(flow, state, ackFlag, "");
    if (state.requestsLeft == 0)
        return sendClose(flow, state.sequence, 4, firstRetransmissionMs);
    at(now() + state.pauseMs, [this, flow, sequence = state.sequence] {
        consumer_flow* const waiting = find(flow, sequence);
        if (waiting != nullptr && !waiting->isClosing)
            nextRequest(flow, *waiting);
    });
}

std::size_t world::lostAt(const std::string& endpoint, milliseconds from, milliseconds until) const
{
    return static_cast<std::size_t>(
        std::count_if(m_lostRequests.begin(), m_lostRequests.end(), [&](const lost_request& each) {
            return each.endpoint == endpoint && each.at >= from && each.at < until;
        }));
}

} // namespace review
