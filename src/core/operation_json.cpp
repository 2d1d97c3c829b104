#include <shallotcove/core/operation_json.hpp>

#include <shallotcove/core/config_limits.hpp>

#include "json_fields.hpp"

namespace shallotcove::core {

namespace {

    /// Reads an object by calling read(reader, problems).
    template <typename Read>
    auto readObject(const Json::Value& value, const char* path, Read read)
        -> tl::expected<decltype(read(std::declval<object_reader&>(), std::declval<config_problems&>())),
            config_problems>
    {
        config_problems problems;
        object_reader reader(value, path, problems);
        auto result = read(reader, problems);
        reader.reportUnknownFields();
        if (!problems.empty())
            return tl::unexpected(problems);
        return result;
    }

    std::uint32_t optionalNumber(object_reader& reader, const char* field, std::uint32_t defaultValue,
        std::uint32_t minimum, std::uint32_t maximum)
    {
        return reader.has(field) ? static_cast<std::uint32_t>(reader.number(field, minimum, maximum))
                                 : defaultValue;
    }

    backend_server_id readServerId(object_reader& reader)
    {
        return { static_cast<std::uint32_t>(reader.number("server", 1, UINT32_MAX)) };
    }

    std::uint32_t readWeight(object_reader& reader)
    {
        return static_cast<std::uint32_t>(reader.number("weight", 1, maximumWeight));
    }

    transport readProtocol(object_reader& reader)
    {
        return reader.has("protocol") ? reader.oneOf("protocol", protocolTexts) : transport::Tcp;
    }

    std::vector<caller_class> readCallerClasses(object_reader& reader, config_problems& problems)
    {
        return readArray(reader, "classes", maximumCallerClasses, problems, readCallerClass);
    }

    new_server readNewServer(const Json::Value& value, const std::string& path, config_problems& problems)
    {
        object_reader reader(value, path, problems);
        new_server server;
        server.dataCentre = reader.name("dataCentre");
        server.address = reader.address("address");
        server.weight = optionalNumber(reader, "weight", server.weight, 1, maximumWeight);
        server.coldNewFlowsPerSecond = optionalNumber(
            reader, "coldNewFlowsPerSecond", server.coldNewFlowsPerSecond, 1, maximumNewFlowsPerSecond);
        server.newFlowsPerSecond = optionalNumber(
            reader, "newFlowsPerSecond", server.newFlowsPerSecond, 0, maximumNewFlowsPerSecond);
        reader.reportUnknownFields();
        return server;
    }

} // namespace

tl::expected<operation_context, config_problems> parseOperationContext(const Json::Value& operation)
{
    return readObject(operation, "operation", [](object_reader& reader, config_problems&) {
        operation_context context;
        context.operationId = reader.text("operationId", 1, maximumOperationIdBytes);
        context.author = reader.text("author", 1, maximumAuthorBytes);
        if (reader.has("expectedRevision"))
            context.expectedRevision = reader.number("expectedRevision", 0, UINT64_MAX);
        return context;
    });
}

tl::expected<new_service, config_problems> parseServiceCreate(const Json::Value& request)
{
    return readObject(request, "request", [](object_reader& reader, config_problems& problems) {
        new_service service;
        service.name = reader.name("name");
        service.address = reader.address("address");
        service.protocol = readProtocol(reader);
        if (reader.has("classes"))
            service.classes = readCallerClasses(reader, problems);
        return service;
    });
}

tl::expected<std::string, config_problems> parseServiceName(const Json::Value& request)
{
    return readObject(
        request, "request", [](object_reader& reader, config_problems&) { return reader.name("service"); });
}

tl::expected<server_addition, config_problems> parseServerAdd(const Json::Value& request)
{
    return readObject(request, "request", [&](object_reader& reader, config_problems& problems) {
        server_addition addition;
        addition.service = reader.name("service");
        if (reader.has("server"))
            addition.server = readNewServer(request["server"], reader.pathOf("server"), problems);
        else
            reader.addProblem("server", Json::Value::nullSingleton(), "an object");
        return addition;
    });
}

tl::expected<server_reference, config_problems> parseServerReference(const Json::Value& request)
{
    return readObject(request, "request", [](object_reader& reader, config_problems&) {
        server_reference reference;
        reference.service = reader.name("service");
        reference.server = readServerId(reader);
        return reference;
    });
}

tl::expected<server_weight_change, config_problems> parseServerWeight(const Json::Value& request)
{
    return readObject(request, "request", [](object_reader& reader, config_problems&) {
        server_weight_change change;
        change.service = reader.name("service");
        change.server = readServerId(reader);
        change.weight = readWeight(reader);
        return change;
    });
}

tl::expected<caller_classes_change, config_problems> parseCallerClassesSet(const Json::Value& request)
{
    return readObject(request, "request", [](object_reader& reader, config_problems& problems) {
        caller_classes_change change;
        change.service = reader.name("service");
        change.classes = readCallerClasses(reader, problems);
        return change;
    });
}

tl::expected<std::string, config_problems> parseDataCentreName(const Json::Value& request)
{
    return readObject(request, "request",
        [](object_reader& reader, config_problems&) { return reader.name("dataCentre"); });
}

tl::expected<flow_key, config_problems> parseExplainFlow(const Json::Value& request)
{
    return readObject(request, "request", [](object_reader& reader, config_problems&) {
        flow_key key;
        key.caller = reader.address("caller");
        key.service = reader.address("address");
        key.protocol = readProtocol(reader);
        return key;
    });
}

tl::expected<changes_query, config_problems> parseChanges(const Json::Value& request)
{
    return readObject(request, "request", [&](object_reader& reader, config_problems&) {
        changes_query query;
        const bool hasService = reader.has("service");
        const bool hasDataCentre = reader.has("dataCentre");
        if (hasService == hasDataCentre)
            reader.addProblem("service", hasService ? request["service"] : Json::Value::nullSingleton(),
                "exactly one of service and dataCentre");
        if (hasService)
            query.service = reader.name("service");
        if (hasDataCentre)
            query.dataCentre = reader.name("dataCentre");
        if (reader.has("sinceRevision"))
            query.sinceRevision = reader.number("sinceRevision", 0, UINT64_MAX);
        return query;
    });
}

tl::expected<config_index, config_problems> parseWatch(const Json::Value& request)
{
    return readObject(request, "request", [](object_reader& reader, config_problems&) {
        return config_index { reader.number("sinceIndex", 0, UINT64_MAX) };
    });
}

tl::expected<void, config_problems> parseNoFields(const Json::Value& request)
{
    const tl::expected<bool, config_problems> result
        = readObject(request, "request", [](object_reader&, config_problems&) { return true; });
    if (!result)
        return tl::unexpected(result.error());
    return {};
}

std::string describeProblems(const config_problems& problems)
{
    std::string text;
    for (const config_problem& problem : problems)
        text += (text.empty() ? "" : "\n") + (problem.path.empty() ? "" : problem.path + " ")
            + problem.message;
    return text;
}

} // namespace shallotcove::core
