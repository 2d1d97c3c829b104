#include <shallotcove/daemon/tagged_settings.hpp>

#include "field_reader.hpp"
#include "settings_json.hpp"

namespace shallotcove::daemon {

namespace {

    constexpr const char* transportName = "tagged";
    // Callers retransmit after 200 ms; 50 ms are left for the way to the server and back.
    constexpr std::uint64_t maximumRequestHoldMs = 150;

    void readLimits(field_reader fields, tagged_limits& limits)
    {
        std::uint64_t lines = limits.logLinesPerSecond;
        std::uint64_t flows = limits.flows;
        fields.readNumber("logLinesPerSecond", { 1, 100000 }, lines);
        fields.readNumber("flows", { 256, 1U << 22 }, flows);
        fields.readDecimal("flowsPerSlot", 1, 64, limits.flowsPerSlot);
        fields.readDecimal("lowPriorityShare", 0, 0.5, limits.lowPriorityShare);
        std::uint64_t requestHold = static_cast<std::uint64_t>(limits.requestHold.count());
        fields.readNumber("requestHoldMs", { 0, maximumRequestHoldMs }, requestHold);
        fields.reportUnknownFields();
        limits.logLinesPerSecond = lines;
        limits.flows = flows;
        limits.requestHold = std::chrono::milliseconds { requestHold };
    }

    // The field names are names of data centres, which are not known in advance, so none is reported as
    // unknown.
    void readRegions(field_reader& fields, std::map<std::string, std::string>& regions)
    {
        const Json::Value* const object = fields.readObject("regions", field_requirement::Optional);
        if (object == nullptr)
            return;
        for (const std::string& dataCentre : object->getMemberNames()) {
            const Json::Value& region = (*object)[dataCentre];
            if (!region.isString() || region.asString().empty())
                fields.reportProblem(
                    "regions", "region of " + dataCentre + " must be a string that is not empty");
            else
                regions[dataCentre] = region.asString();
        }
    }

    tagged_settings readAll(const Json::Value& root, std::string_view text, settings_problems& problems)
    {
        tagged_settings result;
        field_reader fields(root, "", text, problems);
        std::size_t transport = 0;
        fields.readChoice("transport", { transportName }, transport);
        fields.readName("name", result.name);
        fields.readName("dataCentre", result.dataCentre);
        fields.readAddress("packetAddress", true, result.packetAddress);
        fields.readAddress("readinessAddress", true, result.readinessAddress);
        fields.readAddress("peerAddress", true, result.peerAddress);
        fields.readAddress("metricsAddress", true, result.metricsAddress);
        fields.readAddress("storeAddress", false, result.storeAddress);
        fields.readAddresses("seeds", result.seeds);
        readRegions(fields, result.regions);
        fields.readDecimal("processorShare", 0.001, 1024, result.processorShare);
        std::size_t level = static_cast<std::size_t>(result.logLevel);
        fields.readChoice("logLevel", { "debug", "info", "warning", "error" }, level);
        result.logLevel = static_cast<log_level>(level);
        readNested(fields, "limits", field_requirement::Optional, readLimits, result.limits, text, problems);
        std::uint64_t shutdownTimeout = static_cast<std::uint64_t>(result.shutdownTimeout.count());
        fields.readNumber("shutdownTimeoutMs", { 100, 3600000 }, shutdownTimeout);
        result.shutdownTimeout = std::chrono::milliseconds { shutdownTimeout };
        fields.reportUnknownFields();
        if (result.packetAddress.port != 0 && result.packetAddress == result.peerAddress)
            fields.reportProblem("peerAddress", "must differ from packetAddress");
        if (result.readinessAddress.port != 0 && result.readinessAddress == result.metricsAddress)
            fields.reportProblem("metricsAddress", "must differ from readinessAddress");
        for (const core::socket_address& address : { result.packetAddress, result.peerAddress }) {
            if (!address.address.isV4())
                fields.reportProblem(
                    "packetAddress", "packets and peers use IPv4 addresses on this transport");
        }
        return result;
    }

} // namespace

bool isTaggedTransport(std::string_view json)
{
    const tl::expected<Json::Value, settings_problems> root = parseSettingsObject(json);
    return root && (*root)["transport"].isString() && (*root)["transport"].asString() == transportName;
}

tl::expected<tagged_settings, settings_problems> parseTaggedSettings(std::string_view json)
{
    const tl::expected<Json::Value, settings_problems> root = parseSettingsObject(json);
    if (!root)
        return tl::unexpected(root.error());
    settings_problems problems;
    const tagged_settings result = readAll(*root, json, problems);
    if (problems.empty())
        return result;
    return tl::unexpected(sortedByLine(std::move(problems)));
}

} // namespace shallotcove::daemon
