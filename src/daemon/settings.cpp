#include <shallotcove/daemon/settings.hpp>

#include <algorithm>
#include <fstream>
#include <memory>
#include <sstream>

#include <json/json.h>

#include "field_reader.hpp"
#include "settings_json.hpp"

namespace shallotcove::daemon {

namespace {

    void readStore(field_reader fields, store_settings& store)
    {
        std::uint64_t timeout = static_cast<std::uint64_t>(store.requestTimeout.count());
        fields.readAddress("address", false, store.address);
        fields.readNumber("requestTimeoutMs", { 10, 60000 }, timeout);
        fields.reportUnknownFields();
        store.requestTimeout = std::chrono::milliseconds { timeout };
    }

    void readHostList(field_reader fields, host_list_settings& hostList)
    {
        std::uint64_t interval = static_cast<std::uint64_t>(hostList.pollInterval.count());
        fields.readAddress("address", false, hostList.address);
        fields.readNumber("pollIntervalMs", { 10, 60000 }, interval);
        fields.reportUnknownFields();
        hostList.pollInterval = std::chrono::milliseconds { interval };
    }

    void readFlows(field_reader fields, flow_settings& flows)
    {
        std::uint64_t localFlows = flows.localFlows;
        std::uint64_t trackedFlows = flows.trackedFlows;
        std::uint64_t idleTimeout = static_cast<std::uint64_t>(flows.idleTimeout.count());
        fields.readNumber("localFlows", { 1024, 1U << 24, true }, localFlows);
        fields.readNumber("trackedFlows", { 1024, 1U << 24, true }, trackedFlows);
        fields.readNumber("idleTimeoutSeconds", { 10, 86400 }, idleTimeout);
        fields.reportUnknownFields();
        flows = { localFlows, trackedFlows, std::chrono::seconds { idleTimeout } };
    }

    void readLog(field_reader fields, log_settings& log)
    {
        std::size_t level = static_cast<std::size_t>(log.level);
        std::size_t format = static_cast<std::size_t>(log.format);
        fields.readChoice("level", { "debug", "info", "warning", "error" }, level);
        fields.readChoice("format", { "json", "text" }, format);
        fields.readText("file", { 0, 4096 }, field_requirement::Optional, log.file);
        fields.reportUnknownFields();
        log.level = static_cast<log_level>(level);
        log.format = static_cast<log_format>(format);
    }

    bool isSameListener(const core::socket_address& left, const core::socket_address& right)
    {
        return left.port != 0 && left == right;
    }

    settings readAll(const Json::Value& root, std::string_view text, settings_problems& problems)
    {
        settings result;
        field_reader fields(root, "", text, problems);
        fields.readName("name", result.name);
        fields.readName("dataCentre", result.dataCentre);
        fields.readAddress("packetAddress", true, result.packetAddress);
        fields.readAddress("peerAddress", true, result.peerAddress);
        fields.readAddress("operatorAddress", true, result.operatorAddress);
        fields.readAddress("metricsAddress", true, result.metricsAddress);
        fields.readAddresses("seeds", result.seeds);
        fields.readHexadecimal("peerKey", 64, result.peerKey);
        fields.readText(
            "operatorToken", { 16, 255, true }, field_requirement::Required, result.operatorToken);
        readNested(fields, "store", field_requirement::Required, readStore, result.store, text, problems);
        readNested(
            fields, "hostList", field_requirement::Required, readHostList, result.hostList, text, problems);
        readNested(fields, "flows", field_requirement::Optional, readFlows, result.flows, text, problems);
        readNested(fields, "log", field_requirement::Optional, readLog, result.log, text, problems);
        std::uint64_t shutdownTimeout = static_cast<std::uint64_t>(result.shutdownTimeout.count());
        fields.readNumber("shutdownTimeoutSeconds", { 1, 3600 }, shutdownTimeout);
        result.shutdownTimeout = std::chrono::seconds { shutdownTimeout };
        fields.reportUnknownFields();
        if (isSameListener(result.packetAddress, result.peerAddress))
            fields.reportProblem("peerAddress", "must differ from packetAddress");
        if (isSameListener(result.operatorAddress, result.metricsAddress))
            fields.reportProblem("metricsAddress", "must differ from operatorAddress");
        return result;
    }

} // namespace

tl::expected<settings, settings_problems> parseSettings(std::string_view json)
{
    const tl::expected<Json::Value, settings_problems> root = parseSettingsObject(json);
    if (!root)
        return tl::unexpected(root.error());
    settings_problems problems;
    settings result = readAll(*root, json, problems);
    if (problems.empty())
        return result;
    return tl::unexpected(sortedByLine(std::move(problems)));
}

tl::expected<std::string, settings_problems> readSettingsText(const std::string& fileName)
{
    std::ifstream file(fileName, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf()))
        return tl::unexpected(settings_problems { { "", 0, "", "cannot be read" } });
    return text.str();
}

tl::expected<settings, settings_problems> readSettings(const std::string& fileName)
{
    const tl::expected<std::string, settings_problems> text = readSettingsText(fileName);
    if (!text)
        return tl::unexpected(text.error());
    return parseSettings(*text);
}

std::string formatProblem(const settings_problem& problem, const std::string& fileName)
{
    std::string line = fileName;
    if (problem.line > 0)
        line += ":" + std::to_string(problem.line);
    line += ": ";
    if (!problem.field.empty())
        line += problem.field + " ";
    line += problem.message;
    if (!problem.value.empty())
        line += ", found " + problem.value;
    return line;
}

} // namespace shallotcove::daemon
