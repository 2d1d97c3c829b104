#include "explain_log.hpp"

#include <cstdint>
#include <cstdio>
#include <istream>
#include <memory>
#include <set>
#include <vector>

#include <json/json.h>

namespace shallotcove::ctl {

namespace {

    struct log_line {
        std::string text;
        std::string name;
        Json::Value fields;
        /// Milliseconds since midnight; 0 for a line without a time.
        std::int64_t timeOfDayMs {};
    };

    /// Parses the time of day from a text such as "2026-03-01T22:53:47.984Z".
    std::int64_t parseTimeOfDayMs(const std::string& time)
    {
        int hour = 0;
        int minute = 0;
        int second = 0;
        int millisecond = 0;
        if (std::sscanf(time.c_str(), "%*10[0-9-]T%d:%d:%d.%d", &hour, &minute, &second, &millisecond) != 4)
            return 0;
        return ((hour * 60 + minute) * 60 + second) * std::int64_t { 1000 } + millisecond;
    }

    /// Events about servers, data centres, hosts and the store that explain what happened to flows.
    const std::set<std::string> contextEvents { "ServerSuspected", "ServerTrusted", "DataCentreSuspected",
        "DataCentreTrusted", "ReadinessChanged", "ServerChanged", "ServersListed", "ServerUnanswered",
        "ServerWithoutTag", "ServiceFull", "ServiceFree", "DataCentreOutChanged", "ConfigInForce",
        "StoreCallFailed", "StoreCallAnswered", "TaggedHostStarted", "ShutdownStarted", "LogLinesDropped" };

    // Time before the first and after the last line about the flow within which context events are shown.
    constexpr std::int64_t contextWindowMs = 2000;

    bool parseLine(const std::string& text, log_line& line)
    {
        const std::size_t start = text.find('{');
        if (start == std::string::npos)
            return false;
        const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
        if (!reader->parse(text.data() + start, text.data() + text.size(), &line.fields, nullptr)
            || !line.fields.isObject())
            return false;
        line.text = text;
        line.name = line.fields["name"].asString();
        line.timeOfDayMs = parseTimeOfDayMs(line.fields["time"].asString());
        return true;
    }

    /// Some lines name a server by its id, others by the hexadecimal number in this id.
    bool mentionsServer(const log_line& line, const std::set<std::string>& servers)
    {
        const std::string server = line.fields["server"].asString();
        if (server.empty())
            return true;
        for (const std::string& known : servers) {
            if (server.ends_with(known))
                return true;
        }
        return false;
    }

    std::string describeOutcome(
        const std::vector<const log_line*>& lines, const std::set<std::string>& unresponsiveServers)
    {
        const Json::Value& last = lines.back()->fields;
        const std::string name = lines.back()->name;
        const std::string server = last["server"].asString();
        const std::string elapsed = std::to_string(last["elapsedMs"].asInt64()) + " ms";
        if (name == "FlowRefused")
            return "refused before it opened, so the request has not run: " + last["reason"].asString();
        if (name == "FlowEnded" && unresponsiveServers.count(server) > 0)
            return "closed by its caller after " + elapsed + "; its server " + server
                + " did not answer then, so the request may have run";
        if (name == "FlowEnded")
            return "at server " + server + ", closed by its caller after " + elapsed;
        if (name == "FlowWaiting")
            return "waited for a server with free capacity, and then was accepted by another host or "
                   "abandoned by its caller";
        if (name == "FlowDeclined")
            return "could not be served by this host and was opened through another one";
        if (name == "FlowAbandoned" && unresponsiveServers.count(server) > 0)
            return "its server " + server
                + " stopped answering, so the request may have run; the caller received nothing";
        if (name == "FlowAbandoned")
            return "no more packets after " + elapsed
                + ": the caller gave up, or the flow continued through another host";
        return "offered to server " + server + "; the log ends, or the flow continued through another host";
    }

} // namespace

flow_explanation explainFlow(std::istream& log, const std::string& flow)
{
    std::vector<log_line> relevantLines;
    std::vector<std::size_t> flowLineIndexes;
    std::set<std::string> servers;
    for (std::string text; std::getline(log, text);) {
        log_line line;
        if (!parseLine(text, line))
            continue;
        const bool isAboutFlow = line.fields["flow"].asString() == flow;
        if (!isAboutFlow && contextEvents.count(line.name) == 0)
            continue;
        if (isAboutFlow) {
            flowLineIndexes.push_back(relevantLines.size());
            servers.insert(line.fields["server"].asString());
        }
        relevantLines.push_back(std::move(line));
    }
    flow_explanation result;
    if (flowLineIndexes.empty())
        return result;
    servers.erase("");
    const std::int64_t from = relevantLines[flowLineIndexes.front()].timeOfDayMs - contextWindowMs;
    const std::int64_t until = relevantLines[flowLineIndexes.back()].timeOfDayMs + contextWindowMs;
    std::vector<const log_line*> flowLines;
    std::set<std::string> unresponsiveServers;
    for (const log_line& line : relevantLines) {
        const bool isAboutFlow = line.fields["flow"].asString() == flow;
        const bool isInContextWindow = line.timeOfDayMs >= from && line.timeOfDayMs <= until;
        if (!isAboutFlow && !(isInContextWindow && mentionsServer(line, servers)))
            continue;
        if (isAboutFlow)
            flowLines.push_back(&line);
        if (line.name == "ServerSuspected" || line.name == "ServerUnanswered")
            unresponsiveServers.insert(line.fields["server"].asString());
        result.lines += (isAboutFlow ? "* " : "  ") + line.text + "\n";
    }
    result.outcome = describeOutcome(flowLines, unresponsiveServers);
    return result;
}

} // namespace shallotcove::ctl
