#include "json_fields.hpp"

#include <shallotcove/core/config_limits.hpp>
#include <shallotcove/core/ip_prefix.hpp>
#include <shallotcove/core/operation_json.hpp>

namespace shallotcove::core {

namespace {

    Json::Value toJson(const backend_server& server)
    {
        Json::Value value;
        value["id"] = server.id.value;
        value["dataCentre"] = server.dataCentre;
        value["address"] = server.address.toString();
        value["weight"] = server.weight;
        value["state"] = textOf(server.state, serverStateTexts);
        value["coldNewFlowsPerSecond"] = server.coldNewFlowsPerSecond;
        value["newFlowsPerSecond"] = server.newFlowsPerSecond;
        return value;
    }

    Json::Value toJson(const caller_class& callerClass)
    {
        Json::Value value;
        value["name"] = callerClass.name;
        value["prefix"] = ip_prefix { callerClass.prefix, callerClass.prefixLength }.toString();
        value["newFlowsPerSecond"] = callerClass.newFlowsPerSecond;
        return value;
    }

    Json::Value toJson(const weighted_server& weighted)
    {
        Json::Value value;
        value["server"] = weighted.server.value;
        value["weight"] = weighted.weight;
        return value;
    }

    template <typename Element> Json::Value toJson(const std::vector<Element>& elements);

    Json::Value toJson(const epoch_plan& epoch)
    {
        Json::Value value;
        value["number"] = Json::UInt64(epoch.number.value);
        value["phase"] = textOf(epoch.phase, epochPhaseTexts);
        value["servers"] = toJson(epoch.servers);
        return value;
    }

    Json::Value toJson(const operation_record& operation)
    {
        Json::Value value;
        value["id"] = operation.id;
        value["author"] = operation.author;
        value["summary"] = operation.summary;
        value["revision"] = Json::UInt64(operation.revision);
        return value;
    }

    template <typename Element> Json::Value toJson(const std::vector<Element>& elements)
    {
        Json::Value value(Json::arrayValue);
        for (const Element& element : elements)
            value.append(toJson(element));
        return value;
    }

} // namespace

std::string elementPath(const std::string& arrayPath, std::size_t index)
{
    return arrayPath + "[" + std::to_string(index) + "]";
}

std::uint32_t readFlowRate(object_reader& reader, const char* field, std::uint32_t minimum)
{
    return static_cast<std::uint32_t>(reader.number(field, minimum, maximumNewFlowsPerSecond));
}

caller_class readCallerClass(const Json::Value& value, const std::string& path, config_problems& problems)
{
    object_reader reader(value, path, problems);
    caller_class callerClass;
    callerClass.name = reader.name("name");
    // An IPv6 address with a prefix length takes at most 49 bytes.
    const std::size_t problemsBefore = problems.size();
    const std::string text = reader.text("prefix", 1, 49);
    const tl::expected<ip_prefix, address_error> prefix = ip_prefix::parse(text);
    if (prefix) {
        callerClass.prefix = prefix->address;
        callerClass.prefixLength = prefix->length;
    } else if (problems.size() == problemsBefore) {
        reader.addProblem("prefix", Json::Value(text),
            "an IPv4 or IPv6 prefix such as 192.0.2.0/24 whose bits beyond the length are 0");
    }
    callerClass.newFlowsPerSecond = readFlowRate(reader, "newFlowsPerSecond", 0);
    reader.reportUnknownFields();
    return callerClass;
}

Json::Value toJsonValue(const std::vector<operation_record>& operations) { return toJson(operations); }

Json::Value toJsonValue(const service_config& service)
{
    Json::Value value;
    value["id"] = service.id.value;
    value["name"] = service.name;
    value["address"] = service.address.toString();
    value["protocol"] = textOf(service.protocol, protocolTexts);
    value["state"] = textOf(service.state, serviceStateTexts);
    value["revision"] = Json::UInt64(service.revision);
    value["nextServerId"] = service.nextServerId;
    value["servers"] = toJson(service.servers);
    value["classes"] = toJson(service.classes);
    value["epochs"] = toJson(service.epochs);
    value["operations"] = toJson(service.operations);
    return value;
}

} // namespace shallotcove::core
