#include <shallotcove/steering/config_change.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <span>
#include <string_view>
#include <utility>

#include <shallotcove/steering/routing_config.hpp>

namespace shallotcove::steering {

namespace {

    using route_pointer = std::shared_ptr<const route>;
    using route_range = std::span<const route_pointer>;

    bool areEqual(const route_pointer& left, const route_pointer& right)
    {
        return left == right || *left == *right;
    }

    /// Addresses of the routes that are not at the same place in both versions, in order. The routes of all
    /// other addresses are the same.
    std::vector<route_address> affectedAddresses(route_range from, route_range to)
    {
        std::vector<route_address> addresses;
        if (from.size() == to.size()) {
            for (std::size_t position = 0; position < from.size(); ++position) {
                if (!areEqual(from[position], to[position]))
                    addresses.insert(addresses.end(), { from[position]->at, to[position]->at });
            }
        } else {
            const std::size_t common = std::min(from.size(), to.size());
            const auto fromBegin
                = std::mismatch(from.begin(), from.begin() + common, to.begin(), areEqual).first;
            const std::size_t first = fromBegin - from.begin();
            const auto fromEnd
                = std::mismatch(from.rbegin(), from.rbegin() + (common - first), to.rbegin(), areEqual).first;
            const std::size_t last = fromEnd - from.rbegin();
            for (const route_range part : { from, to }) {
                for (const route_pointer& item : part.subspan(first, part.size() - first - last))
                    addresses.push_back(item->at);
            }
        }
        std::sort(addresses.begin(), addresses.end());
        addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
        return addresses;
    }

    /// The first route of each of the addresses, null if there is none.
    std::vector<route_pointer> firstRoutes(route_range routes, const std::vector<route_address>& addresses)
    {
        std::vector<route_pointer> found(addresses.size());
        for (const route_pointer& item : routes) {
            const auto address = std::lower_bound(addresses.begin(), addresses.end(), item->at);
            if (address == addresses.end() || *address != item->at)
                continue;
            route_pointer& first = found[address - addresses.begin()];
            if (!first)
                first = item;
        }
        return found;
    }

    std::map<std::string_view, const service_rules*> servicesByName(const routing_config& config)
    {
        std::map<std::string_view, const service_rules*> services;
        for (const service_rules& rules : config.services)
            services.try_emplace(rules.name, &rules);
        return services;
    }

    void compareServices(const routing_config& from, const routing_config& to, config_change& change)
    {
        if (from.services == to.services)
            return;
        const std::map<std::string_view, const service_rules*> before = servicesByName(from);
        const std::map<std::string_view, const service_rules*> after = servicesByName(to);
        for (const auto& [name, rules] : before) {
            if (!after.contains(name))
                change.removedServices.emplace_back(name);
        }
        for (const service_rules& rules : to.services) {
            const auto previous = before.find(rules.name);
            if (after.at(rules.name) == &rules && (previous == before.end() || *previous->second != rules))
                change.changedServices.push_back(rules);
        }
    }

    /// Copies the items that are not removed, replaces the first of those that are changed and appends the
    /// new ones.
    template <typename Items, typename Removed, typename KeyOf>
    Items merge(const Items& items, const Removed& removed, const Items& changed, KeyOf keyOf)
    {
        const std::set<typename Removed::value_type> left(removed.begin(), removed.end());
        std::map<typename Removed::value_type, typename Items::const_iterator> replacements;
        for (auto item = changed.begin(); item != changed.end(); ++item)
            replacements.try_emplace(keyOf(*item), item);
        Items result;
        result.reserve(items.size() + changed.size());
        for (const auto& item : items) {
            if (left.contains(keyOf(item)))
                continue;
            const auto replacement = replacements.find(keyOf(item));
            const bool isReplaced = replacement != replacements.end();
            result.push_back(isReplaced ? *replacement->second : item);
            if (isReplaced)
                replacements.erase(replacement);
        }
        for (const auto& item : changed) {
            if (replacements.erase(keyOf(item)) > 0)
                result.push_back(item);
        }
        return result;
    }

} // namespace

bool operator==(const config_change& left, const config_change& right)
{
    return left.fromVersion == right.fromVersion && left.version == right.version
        && left.removedRoutes == right.removedRoutes && left.removedServices == right.removedServices
        && left.changedServices == right.changedServices
        && std::equal(left.changedRoutes.begin(), left.changedRoutes.end(), right.changedRoutes.begin(),
            right.changedRoutes.end(), areEqual);
}

config_change differenceBetween(const routing_config& from, const routing_config& to)
{
    config_change change;
    change.fromVersion = from.version;
    change.version = to.version;
    const std::vector<route_address> addresses = affectedAddresses(from.routes, to.routes);
    if (!addresses.empty()) {
        const std::vector<route_pointer> before = firstRoutes(from.routes, addresses);
        const std::vector<route_pointer> after = firstRoutes(to.routes, addresses);
        for (std::size_t index = 0; index < addresses.size(); ++index) {
            if (!after[index])
                change.removedRoutes.push_back(addresses[index]);
            else if (!before[index] || !areEqual(before[index], after[index]))
                change.changedRoutes.push_back(after[index]);
        }
    }
    compareServices(from, to, change);
    return change;
}

std::shared_ptr<const routing_config> withChange(const routing_config& from, const config_change& change)
{
    return std::make_shared<const routing_config>(routing_config { change.version,
        merge(from.routes, change.removedRoutes, change.changedRoutes,
            [](const route_pointer& item) { return item->at; }),
        merge(from.services, change.removedServices, change.changedServices,
            [](const service_rules& rules) { return rules.name; }) });
}

} // namespace shallotcove::steering
