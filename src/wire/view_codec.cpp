#include <shallotcove/wire/view_codec.hpp>

#include <limits>
#include <type_traits>
#include <variant>

#include "peer_reader.hpp"
#include "peer_writer.hpp"

namespace shallotcove::wire {

namespace {

    constexpr std::size_t formerRouteFields = 8;
    constexpr std::size_t routeFields = 9;
    /// Type number of the difference between two configurations, behind those of the variant
    /// steering::item_content.
    constexpr std::uint64_t configChangeType = std::variant_size_v<steering::item_content>;
    constexpr std::size_t maximumTextBytes = 1024;
    constexpr std::size_t maximumElements = 100000;
    // The deepest nesting is: message, changes, change, configuration, routes, route, targets, target.
    constexpr std::size_t maximumDepth = 8;
    constexpr std::uint64_t maximumNumber = std::numeric_limits<std::uint64_t>::max();

    using packer = msgpack::packer<msgpack_buffer>;

    std::uint32_t arraySize(std::size_t count) { return static_cast<std::uint32_t>(count); }

    template <typename Items, typename Write> void packArray(packer& out, const Items& items, Write write)
    {
        out.pack_array(arraySize(items.size()));
        for (const auto& item : items)
            write(item);
    }

    void pack(packer& out, const steering::removed_item&) { out.pack_array(0); }
    void pack(packer& out, const steering::data_centre_out&) { out.pack_array(0); }

    void pack(packer& out, const steering::unreadable_item& item)
    {
        out.pack_array(1);
        out.pack(item.cause.substr(0, maximumTextBytes));
    }

    void pack(packer& out, const steering::route& route, changes_format format)
    {
        out.pack_array(format == changes_format::Former ? formerRouteFields : routeFields);
        out.pack(route.name);
        out.pack(route.at.address);
        out.pack(route.at.port);
        out.pack(static_cast<std::uint64_t>(route.timeout.count()));
        out.pack(static_cast<std::uint64_t>(route.latencyGoal.count()));
        out.pack(route.priority);
        packArray(out, route.targets, [&out](const steering::weighted_service& target) {
            out.pack_array(2);
            out.pack(target.service);
            out.pack(target.weight);
        });
        packArray(out, route.homeRegions, [&out](const std::string& region) { out.pack(region); });
        if (format != changes_format::Former)
            out.pack(route.isRepeatable);
    }

    void packRoutes(
        packer& out, const std::vector<std::shared_ptr<const steering::route>>& routes, changes_format format)
    {
        packArray(out, routes, [&out, format](const std::shared_ptr<const steering::route>& route) {
            pack(out, *route, format);
        });
    }

    void packServices(packer& out, const std::vector<steering::service_rules>& services)
    {
        packArray(out, services, [&out](const steering::service_rules& rules) {
            out.pack_array(3);
            out.pack(rules.name);
            out.pack(static_cast<std::uint64_t>(rules.coldAfterStart.count()));
            out.pack(rules.coldFlowsPerSecond);
        });
    }

    void pack(packer& out, const steering::server_entry& entry)
    {
        out.pack_array(10);
        out.pack(entry.id);
        out.pack(entry.wireId);
        out.pack(entry.service);
        out.pack(entry.address.address.toV4());
        out.pack(entry.address.port);
        out.pack(entry.dataCentre);
        out.pack(entry.slots);
        out.pack(static_cast<std::uint8_t>(entry.state));
        out.pack(static_cast<std::uint64_t>(entry.coldFor.count()));
        out.pack(static_cast<std::uint64_t>(entry.startedAtMs));
    }

    void packContent(packer& out, const steering::item_content& content, changes_format format)
    {
        if (const auto* const config
            = std::get_if<std::shared_ptr<const steering::routing_config>>(&content)) {
            out.pack_array(3);
            out.pack((*config)->version);
            packRoutes(out, (*config)->routes, format);
            return packServices(out, (*config)->services);
        }
        std::visit(
            [&out]<typename Content>(const Content& other) {
                if constexpr (!std::is_same_v<Content, std::shared_ptr<const steering::routing_config>>)
                    pack(out, other);
            },
            content);
    }

    void packKey(packer& out, const steering::item_key& key, std::uint64_t revision, std::uint64_t type)
    {
        out.pack_array(5);
        out.pack(static_cast<std::uint8_t>(key.kind));
        out.pack(key.name);
        out.pack(revision);
        out.pack(type);
    }

    void pack(packer& out, const forwarded_config& config)
    {
        packKey(out, { steering::item_kind::Config, "" }, config.revision, configChangeType);
        out.pack_array(6);
        out.pack(config.change.fromVersion);
        out.pack(config.change.version);
        packArray(out, config.change.removedRoutes, [&out](const steering::route_address& at) {
            out.pack_array(2);
            out.pack(at.address);
            out.pack(at.port);
        });
        packRoutes(out, config.change.changedRoutes, changes_format::Current);
        packArray(out, config.change.removedServices, [&out](const std::string& name) { out.pack(name); });
        packServices(out, config.change.changedServices);
    }

    std::chrono::milliseconds readMilliseconds(array_reader& reader)
    {
        return std::chrono::milliseconds { reader.readNumber(std::numeric_limits<std::int64_t>::max()) };
    }

    steering::route readRoute(array_reader& routes, changes_format format)
    {
        array_reader reader
            = routes.readArray(format == changes_format::Former ? formerRouteFields : routeFields);
        steering::route route;
        route.name = reader.readText(maximumTextBytes);
        route.at.address = reader.read<std::uint32_t>();
        route.at.port = reader.read<std::uint16_t>();
        route.timeout = readMilliseconds(reader);
        route.latencyGoal = readMilliseconds(reader);
        route.priority = reader.read<std::uint32_t>();
        array_reader targets = reader.readArray(maximumElements);
        while (targets.remaining() > 0) {
            array_reader target = targets.readArray(2);
            const std::string service = target.readText(maximumTextBytes);
            route.targets.push_back({ service, target.read<std::uint32_t>() });
            targets.requireComplete(target);
        }
        reader.requireComplete(targets);
        array_reader regions = reader.readArray(maximumElements);
        while (regions.remaining() > 0)
            route.homeRegions.push_back(regions.readText(maximumTextBytes));
        reader.requireComplete(regions);
        route.isRepeatable = format != changes_format::Former && reader.readBool();
        routes.requireComplete(reader);
        return route;
    }

    std::vector<std::shared_ptr<const steering::route>> readRoutes(
        array_reader& reader, changes_format format)
    {
        std::vector<std::shared_ptr<const steering::route>> result;
        array_reader routes = reader.readArray(maximumElements);
        while (routes.remaining() > 0)
            result.push_back(std::make_shared<const steering::route>(readRoute(routes, format)));
        reader.requireComplete(routes);
        return result;
    }

    std::vector<steering::service_rules> readServices(array_reader& reader)
    {
        std::vector<steering::service_rules> result;
        array_reader services = reader.readArray(maximumElements);
        while (services.remaining() > 0) {
            array_reader rules = services.readArray(3);
            const std::string name = rules.readText(maximumTextBytes);
            const std::chrono::milliseconds coldAfterStart = readMilliseconds(rules);
            result.push_back({ name, coldAfterStart, rules.readDouble() });
            services.requireComplete(rules);
        }
        reader.requireComplete(services);
        return result;
    }

    std::shared_ptr<const steering::routing_config> readConfig(array_reader& reader, changes_format format)
    {
        steering::routing_config config;
        config.version = reader.readNumber(maximumNumber);
        config.routes = readRoutes(reader, format);
        config.services = readServices(reader);
        return std::make_shared<const steering::routing_config>(std::move(config));
    }

    steering::config_change readConfigChange(array_reader& reader)
    {
        steering::config_change change;
        change.fromVersion = reader.readNumber(maximumNumber);
        change.version = reader.readNumber(maximumNumber);
        array_reader removed = reader.readArray(maximumElements);
        while (removed.remaining() > 0) {
            array_reader at = removed.readArray(2);
            const std::uint32_t address = at.read<std::uint32_t>();
            change.removedRoutes.push_back({ address, at.read<std::uint16_t>() });
            removed.requireComplete(at);
        }
        reader.requireComplete(removed);
        change.changedRoutes = readRoutes(reader, changes_format::Current);
        array_reader names = reader.readArray(maximumElements);
        while (names.remaining() > 0)
            change.removedServices.push_back(names.readText(maximumTextBytes));
        reader.requireComplete(names);
        change.changedServices = readServices(reader);
        return change;
    }

    steering::server_entry readServer(array_reader& reader)
    {
        steering::server_entry entry;
        entry.id = reader.readText(maximumTextBytes);
        entry.wireId = reader.readNumber(maximumNumber);
        entry.service = reader.readText(maximumTextBytes);
        entry.address.address = core::ip_address::fromV4(reader.read<std::uint32_t>());
        entry.address.port = reader.read<std::uint16_t>();
        entry.dataCentre = reader.readText(maximumTextBytes);
        entry.slots = reader.read<std::uint32_t>();
        entry.state
            = reader.readNumber(1) == 0 ? steering::server_state::Ready : steering::server_state::Draining;
        entry.coldFor = readMilliseconds(reader);
        entry.startedAtMs = static_cast<std::int64_t>(reader.readNumber(maximumNumber));
        return entry;
    }

    /// The type number of the content is its index in the variant steering::item_content.
    steering::item_content readContent(std::uint64_t type, array_reader& reader, changes_format format)
    {
        switch (type) {
        case 1:
            return steering::unreadable_item { reader.readText(maximumTextBytes) };
        case 2:
            return readConfig(reader, format);
        case 3:
            return steering::data_centre_out {};
        case 4:
            return readServer(reader);
        default:
            return steering::removed_item {};
        }
    }

    /// Adds a change to the result; returns false if it is malformed.
    bool readChange(array_reader reader, changes_format format, forwarded_changes& result)
    {
        steering::store_change change;
        change.key.kind = static_cast<steering::item_kind>(
            reader.readNumber(static_cast<std::uint64_t>(steering::item_kind::Server)));
        change.key.name = reader.readText(maximumTextBytes);
        change.revision = reader.readNumber(maximumNumber);
        const std::uint64_t type
            = reader.readNumber(format == changes_format::Former ? configChangeType - 1 : configChangeType);
        array_reader content = reader.readArray(maximumElements);
        if (!reader.isComplete())
            return false;
        if (type == configChangeType)
            result.config = forwarded_config { change.revision, readConfigChange(content) };
        else {
            change.content = readContent(type, content, format);
            result.changes.push_back(std::move(change));
        }
        return content.isComplete();
    }

    std::optional<forwarded_changes> readMessage(array_reader reader)
    {
        const std::uint64_t version = reader.readNumber(static_cast<std::uint64_t>(changes_format::Current));
        if (version < static_cast<std::uint64_t>(changes_format::Former))
            return std::nullopt;
        const changes_format format = static_cast<changes_format>(version);
        forwarded_changes result;
        result.revision = reader.readNumber(maximumNumber);
        array_reader changes = reader.readArray(maximumElements);
        if (!reader.isComplete())
            return std::nullopt;
        while (changes.remaining() > 0) {
            if (!readChange(changes.readArray(5), format, result))
                return std::nullopt;
        }
        return result;
    }

} // namespace

std::vector<std::byte> encodeChanges(const forwarded_changes& batch, changes_format format)
{
    const bool hasConfigChange = batch.config && format != changes_format::Former;
    msgpack_buffer buffer;
    packer out(buffer);
    out.pack_array(3);
    out.pack(static_cast<std::uint8_t>(format));
    out.pack(batch.revision);
    out.pack_array(arraySize(batch.changes.size() + (hasConfigChange ? 1 : 0)));
    for (const steering::store_change& change : batch.changes) {
        packKey(out, change.key, change.revision, change.content.index());
        packContent(out, change.content, format);
    }
    if (hasConfigChange)
        pack(out, *batch.config);
    return std::move(buffer).take();
}

std::optional<forwarded_changes> decodeChanges(std::span<const std::byte> bytes)
{
    const msgpack::unpack_limit limits(maximumElements, 0, maximumTextBytes, 0, 0, maximumDepth);
    try {
        const msgpack::object_handle handle = msgpack::unpack(
            reinterpret_cast<const char*>(bytes.data()), bytes.size(), nullptr, nullptr, limits);
        return readMessage(array_reader(handle.get()));
    } catch (const msgpack::unpack_error&) {
        return std::nullopt;
    }
}

} // namespace shallotcove::wire
