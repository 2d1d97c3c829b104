#include "caller_options.hpp"

#include <optional>

#include <shallotcove/store/json_text.hpp>

namespace shallotcove::testbench {

namespace {

    std::uint32_t numberOr(const Json::Value& object, const char* field, std::uint32_t fallback)
    {
        return object.isMember(field) ? object[field].asUInt() : fallback;
    }

    request_kind parseKind(const Json::Value& item)
    {
        request_kind kind;
        kind.name = item["name"].asString();
        kind.weight = numberOr(item, "weight", kind.weight);
        kind.share = numberOr(item, "share", kind.share);
        kind.responseBytes = numberOr(item, "answerBytes", kind.responseBytes);
        kind.runsOnce = item["runsOnce"].asBool();
        return kind;
    }

    tl::expected<target_service, std::string> parseService(const Json::Value& item)
    {
        target_service service;
        service.name = item["name"].asString();
        const tl::expected<core::socket_address, core::address_error> address
            = core::socket_address::parse(item["address"].asString());
        const std::string protocol = item["protocol"].asString();
        if (!address || (protocol != "tcp" && protocol != "udp"))
            return tl::unexpected(
                "service '" + service.name + "' needs an address and the protocol tcp or udp");
        service.address = *address;
        service.protocol = protocol == "tcp" ? core::transport::Tcp : core::transport::Udp;
        service.connections = numberOr(item, "connections", service.connections);
        service.longLivedPercent = numberOr(item, "longPercent", service.longLivedPercent);
        service.requestsPerFlow = numberOr(item, "requestsPerFlow", service.requestsPerFlow);
        service.pause = std::chrono::milliseconds { numberOr(
            item, "pauseMs", static_cast<std::uint32_t>(service.pause.count())) };
        service.longLivedPause = std::chrono::milliseconds { numberOr(
            item, "longPauseMs", static_cast<std::uint32_t>(service.pause.count())) };
        for (const Json::Value& kind : item["kinds"])
            service.kinds.push_back(parseKind(kind));
        if (service.kinds.empty())
            return tl::unexpected("service '" + service.name + "' needs at least one request kind");
        return service;
    }

    /// Appends one group for each address. Returns an error message for people on failure.
    std::optional<std::string> addGroups(const Json::Value& item, std::vector<caller_group>& groups)
    {
        const std::string name = item["name"].asString();
        const tl::expected<core::ip_address, core::address_error> first
            = core::ip_address::parse(item["source"].asString());
        if (!first || !first->isV4())
            return "group '" + name + "' needs an IPv4 source address";
        for (std::uint32_t index = 0; index < numberOr(item, "addresses", 1); ++index)
            groups.push_back(
                { name, core::ip_address::fromV4(first->toV4() + index), numberOr(item, "share", 1) });
        return std::nullopt;
    }

    tl::expected<caller_options, std::string> parseOptions(const Json::Value& root)
    {
        caller_options options;
        for (const Json::Value& item : root["groups"]) {
            const std::optional<std::string> problem = addGroups(item, options.groups);
            if (problem)
                return tl::unexpected(*problem);
        }
        for (const Json::Value& item : root["services"]) {
            const tl::expected<target_service, std::string> service = parseService(item);
            if (!service)
                return tl::unexpected(service.error());
            options.services.push_back(*service);
        }
        if (options.groups.empty() || options.services.empty())
            return tl::unexpected(std::string("the settings need groups and services"));
        return options;
    }

} // namespace

tl::expected<caller_options, std::string> caller_options::parse(const std::string& json)
{
    const std::optional<Json::Value> root = store::parseJson(json);
    if (!root || !root->isObject())
        return tl::unexpected(std::string("the settings are not a JSON object"));
    try {
        return parseOptions(*root);
    } catch (const Json::Exception& error) {
        return tl::unexpected(std::string("settings: ") + error.what());
    }
}

} // namespace shallotcove::testbench
