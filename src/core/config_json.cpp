#include <shallotcove/core/config_json.hpp>

#include <algorithm>

#include <shallotcove/core/config_limits.hpp>
#include <shallotcove/core/operation_json.hpp>

#include "json_fields.hpp"

namespace shallotcove::core {

namespace {

    constexpr enum_texts<bool, 2> reservationStateTexts { { { "InUse", false }, { "Removing", true } } };

    backend_server readServer(const Json::Value& value, const std::string& path, config_problems& problems)
    {
        object_reader reader(value, path, problems);
        backend_server server;
        server.id.value = static_cast<std::uint32_t>(reader.number("id", 1, UINT32_MAX));
        server.dataCentre = reader.name("dataCentre");
        server.address = reader.address("address");
        server.weight = static_cast<std::uint32_t>(reader.number("weight", 1, maximumWeight));
        server.state = reader.oneOf("state", serverStateTexts);
        server.coldNewFlowsPerSecond = readFlowRate(reader, "coldNewFlowsPerSecond", 1);
        server.newFlowsPerSecond = readFlowRate(reader, "newFlowsPerSecond", 0);
        reader.reportUnknownFields();
        return server;
    }

    weighted_server readWeightedServer(
        const Json::Value& value, const std::string& path, config_problems& problems)
    {
        object_reader reader(value, path, problems);
        weighted_server weighted;
        weighted.server.value = static_cast<std::uint32_t>(reader.number("server", 1, UINT32_MAX));
        weighted.weight = static_cast<std::uint32_t>(reader.number("weight", 1, maximumWeight));
        reader.reportUnknownFields();
        return weighted;
    }

    epoch_plan readEpoch(const Json::Value& value, const std::string& path, config_problems& problems)
    {
        object_reader reader(value, path, problems);
        epoch_plan epoch;
        epoch.number.value = reader.number("number", 1, UINT64_MAX);
        epoch.phase = reader.oneOf("phase", epochPhaseTexts);
        epoch.servers = readArray(reader, "servers", maximumServers, problems, readWeightedServer);
        reader.reportUnknownFields();
        return epoch;
    }

    operation_record readOperation(
        const Json::Value& value, const std::string& path, config_problems& problems)
    {
        object_reader reader(value, path, problems);
        operation_record operation;
        operation.id = reader.text("id", 1, maximumOperationIdBytes);
        operation.author = reader.text("author", 1, maximumAuthorBytes);
        operation.summary = reader.text("summary", 0, maximumSummaryBytes);
        operation.revision = reader.number("revision", 1, UINT64_MAX);
        reader.reportUnknownFields();
        return operation;
    }

    void checkServers(const service_config& service, config_problems& problems)
    {
        for (std::size_t index = 0; index < service.servers.size(); ++index) {
            const std::uint32_t id = service.servers[index].id.value;
            const std::uint32_t previous = index > 0 ? service.servers[index - 1].id.value : 0;
            const std::string path = elementPath("servers", index) + ".id";
            if (id <= previous)
                problems.push_back(
                    { path, "is " + std::to_string(id) + "; allowed: ids in ascending order" });
            if (id >= service.nextServerId) {
                problems.push_back({ path,
                    "is " + std::to_string(id) + "; allowed: below nextServerId, which is "
                        + std::to_string(service.nextServerId) });
            }
        }
    }

    void checkEpoch(const service_config& service, const epoch_plan& epoch, const std::string& path,
        config_problems& problems)
    {
        for (std::size_t index = 0; index < epoch.servers.size(); ++index) {
            const backend_server_id id = epoch.servers[index].server;
            const std::string found = "is " + std::to_string(id.value);
            const std::string serverPath = elementPath(path + ".servers", index) + ".server";
            if (index > 0 && id.value <= epoch.servers[index - 1].server.value)
                problems.push_back({ serverPath, found + "; allowed: ids in ascending order" });
            // Requires servers in ascending order. Otherwise checkServers has reported that, and this search
            // may miss an id that is present, so the problem below means nothing.
            const auto server = std::lower_bound(service.servers.begin(), service.servers.end(), id,
                [](const backend_server& left, backend_server_id right) {
                    return left.id.value < right.value;
                });
            if (server == service.servers.end() || server->id != id)
                problems.push_back({ serverPath, found + "; allowed: an id in servers" });
        }
    }

    void checkEpochs(const service_config& service, config_problems& problems)
    {
        for (std::size_t index = 0; index < service.epochs.size(); ++index) {
            const epoch_plan& epoch = service.epochs[index];
            const std::string path = elementPath("epochs", index);
            if (index > 0 && epoch.number.value <= service.epochs[index - 1].number.value) {
                problems.push_back({ path + ".number",
                    "is " + std::to_string(epoch.number.value) + "; allowed: numbers in ascending order" });
            }
            checkEpoch(service, epoch, path, problems);
        }
    }

    void checkCallerClasses(const service_config& service, config_problems& problems)
    {
        std::set<std::string> names;
        for (std::size_t index = 0; index < service.classes.size(); ++index) {
            const std::string& name = service.classes[index].name;
            if (!names.insert(name).second)
                problems.push_back({ elementPath("classes", index) + ".name",
                    "is \"" + name + "\"; allowed: each name once" });
        }
    }

    /// Parses the text and reads the object in it by calling read(reader, problems).
    template <typename Read>
    auto parseObject(std::string_view json, Read read)
        -> tl::expected<decltype(read(std::declval<object_reader&>(), std::declval<config_problems&>())),
            config_problems>
    {
        const tl::expected<Json::Value, config_problems> value = parseJson(json);
        if (!value)
            return tl::unexpected(value.error());
        config_problems problems;
        object_reader reader(*value, "", problems);
        auto result = read(reader, problems);
        reader.reportUnknownFields();
        if (!problems.empty())
            return tl::unexpected(problems);
        return result;
    }

} // namespace

tl::expected<service_config, config_problems> parseServiceConfig(std::string_view json)
{
    return parseObject(json, [](object_reader& reader, config_problems& problems) {
        service_config service;
        service.id.value = static_cast<std::uint32_t>(reader.number("id", 1, UINT32_MAX));
        service.name = reader.name("name");
        service.address = reader.address("address");
        service.protocol = reader.oneOf("protocol", protocolTexts);
        service.state = reader.oneOf("state", serviceStateTexts);
        service.revision = reader.number("revision", 1, UINT64_MAX);
        service.nextServerId = static_cast<std::uint32_t>(reader.number("nextServerId", 1, UINT32_MAX));
        service.servers = readArray(reader, "servers", maximumServers, problems, readServer);
        service.classes = readArray(reader, "classes", maximumCallerClasses, problems, readCallerClass);
        service.epochs = readArray(reader, "epochs", maximumLiveEpochs, problems, readEpoch);
        service.operations
            = readArray(reader, "operations", maximumOperationRecords, problems, readOperation);
        // Relations between fields are checked only if every field is valid by itself.
        if (problems.empty()) {
            checkServers(service, problems);
            checkCallerClasses(service, problems);
            checkEpochs(service, problems);
        }
        return service;
    });
}

std::string formatServiceConfig(const service_config& service) { return formatJson(toJsonValue(service)); }

tl::expected<data_centre_config, config_problems> parseDataCentreConfig(std::string_view json)
{
    return parseObject(json, [](object_reader& reader, config_problems& problems) {
        data_centre_config dataCentre;
        dataCentre.name = reader.name("name");
        dataCentre.state = reader.oneOf("state", dataCentreStateTexts);
        dataCentre.revision = reader.number("revision", 1, UINT64_MAX);
        dataCentre.operations
            = readArray(reader, "operations", maximumOperationRecords, problems, readOperation);
        return dataCentre;
    });
}

std::string formatDataCentreConfig(const data_centre_config& dataCentre)
{
    Json::Value value;
    value["name"] = dataCentre.name;
    value["state"] = textOf(dataCentre.state, dataCentreStateTexts);
    value["revision"] = Json::UInt64(dataCentre.revision);
    value["operations"] = toJsonValue(dataCentre.operations);
    return formatJson(value);
}

tl::expected<address_reservation, config_problems> parseAddressReservation(std::string_view json)
{
    return parseObject(json, [](object_reader& reader, config_problems&) {
        address_reservation reservation;
        reservation.serviceName = reader.name("service");
        reservation.service.value = static_cast<std::uint32_t>(reader.number("id", 1, UINT32_MAX));
        reservation.isRemoving = reader.oneOf("state", reservationStateTexts);
        return reservation;
    });
}

std::string formatAddressReservation(const address_reservation& reservation)
{
    Json::Value value;
    value["service"] = reservation.serviceName;
    value["id"] = reservation.service.value;
    value["state"] = textOf(reservation.isRemoving, reservationStateTexts);
    return formatJson(value);
}

std::string serviceKey(std::string_view name) { return "services/" + std::string(name); }

std::string dataCentreKey(std::string_view name) { return "data-centres/" + std::string(name); }

std::string addressKey(const socket_address& address, transport protocol)
{
    return "addresses/" + address.toString() + "/" + textOf(protocol, protocolTexts);
}

} // namespace shallotcove::core
