#include "backend_standin.hpp"

#include <map>
#include <optional>

#include <shallotcove/store/json_text.hpp>

namespace shallotcove::testbench {

namespace {

    struct service_address {
        core::socket_address address;
        core::transport protocol { core::transport::Tcp };
    };

    using services = std::map<std::string, service_address>;

    tl::expected<services, std::string> parseServices(const Json::Value& list)
    {
        services result;
        for (const Json::Value& item : list) {
            const std::string name = item["name"].asString();
            const tl::expected<core::socket_address, core::address_error> address
                = core::socket_address::parse(item["address"].asString());
            const std::string protocol = item["protocol"].asString();
            if (!address || (protocol != "tcp" && protocol != "udp"))
                return tl::unexpected("service '" + name + "' needs an address and the protocol tcp or udp");
            result[name] = { *address, protocol == "tcp" ? core::transport::Tcp : core::transport::Udp };
        }
        return result;
    }

    std::uint32_t numberOr(const Json::Value& object, const char* field, std::uint32_t fallback)
    {
        return object.isMember(field) ? object[field].asUInt() : fallback;
    }

    backend_server_options parseServer(const Json::Value& item, const service_address& service)
    {
        backend_server_options server;
        server.name = item["name"].asString();
        server.service = item["service"].asString();
        server.serviceAddress = service.address;
        server.protocol = service.protocol;
        server.dataCentre = item["dataCentre"].asString();
        server.weight = numberOr(item, "weight", server.weight);
        server.newFlowsPerSecond = numberOr(item, "newFlowsPerSecond", server.newFlowsPerSecond);
        server.coldNewFlowsPerSecond = numberOr(item, "coldNewFlowsPerSecond", server.coldNewFlowsPerSecond);
        server.slots = numberOr(item, "slots", server.slots);
        server.requestTime = std::chrono::milliseconds { numberOr(
            item, "requestTimeMs", static_cast<std::uint32_t>(server.requestTime.count())) };
        server.startsCold = item["isCold"].asBool();
        return server;
    }

} // namespace

tl::expected<backend_standin_options, std::string> backend_standin_options::parse(const std::string& json)
{
    const std::optional<Json::Value> root = store::parseJson(json);
    if (!root || !root->isObject())
        return tl::unexpected(std::string("the settings are not a JSON object"));
    try {
        const tl::expected<services, std::string> parsedServices = parseServices((*root)["services"]);
        if (!parsedServices)
            return tl::unexpected(parsedServices.error());
        backend_standin_options options;
        for (const Json::Value& item : (*root)["servers"]) {
            const auto service = parsedServices->find(item["service"].asString());
            if (service == parsedServices->end())
                return tl::unexpected("server '" + item["name"].asString()
                    + "' refers to a service that is not in the settings");
            options.servers.push_back(parseServer(item, service->second));
        }
        return options;
    } catch (const Json::Exception& error) {
        return tl::unexpected(std::string("settings: ") + error.what());
    }
}

} // namespace shallotcove::testbench
