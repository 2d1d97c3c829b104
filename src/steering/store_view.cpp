#include <shallotcove/steering/store_view.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace shallotcove::steering {

namespace {

    // A host that asks for the difference from an older one gets the full configuration.
    constexpr std::size_t maximumRecentConfigs = 8;

} // namespace

std::string item_key::toString() const
{
    switch (kind) {
    case item_kind::Config:
        return "configuration";
    case item_kind::DataCentreOut:
        return "dataCentre " + name;
    case item_kind::Server:
        return "server " + name;
    }
    return name;
}

store_view::store_view(const store_view_options& options)
    : m_failureWindow(options.failureWindow)
{
}

std::optional<view_update> store_view::apply(store_change change, core::timestamp now)
{
    const auto [found, isNew] = m_items.try_emplace(change.key);
    item_state& item = found->second;
    if (!isNew && change.revision <= item.revision)
        return std::nullopt;
    const item_state previous = std::exchange(item, { change.revision, item.content });
    if (!isNew && isEqual(previous.content, change.content))
        return std::nullopt;
    std::shared_ptr<const config_change> difference;
    // A configuration that was removed, is unreadable or is older than the one in force does not replace it.
    // Of these only an unreadable one is reported.
    if (change.key.kind == item_kind::Config) {
        const auto* const config = std::get_if<std::shared_ptr<const routing_config>>(&change.content);
        if (config == nullptr)
            return std::holds_alternative<unreadable_item>(change.content)
                ? std::optional(view_update { std::move(change), false, {} })
                : std::nullopt;
        if ((*config)->version < m_configVersion)
            return std::nullopt;
        m_configVersion = (*config)->version;
        const std::shared_ptr<const routing_config> replaced = this->config();
        difference = std::make_shared<const config_change>(
            differenceBetween(replaced ? *replaced : routing_config {}, **config));
        m_recentConfigs.push_back(*config);
        if (m_recentConfigs.size() > maximumRecentConfigs)
            m_recentConfigs.pop_front();
    }
    view_update update { change, isUncertain(previous, now), std::move(difference) };
    item.content = std::move(change.content);
    if (isNew && std::holds_alternative<removed_item>(item.content))
        return std::nullopt;
    return update;
}

std::vector<view_update> store_view::applyChanges(
    std::vector<store_change> changes, std::uint64_t revision, core::timestamp now)
{
    std::vector<view_update> updates;
    for (store_change& change : changes) {
        if (std::optional<view_update> update = apply(std::move(change), now))
            updates.push_back(std::move(*update));
    }
    m_revision = std::max(m_revision, revision);
    return updates;
}

std::vector<view_update> store_view::applyListing(
    std::vector<store_change> listing, std::uint64_t revision, core::timestamp now)
{
    std::vector<view_update> updates;
    if (revision < m_revision)
        return updates;
    std::set<item_key> listed;
    for (store_change& change : listing) {
        listed.insert(change.key);
        if (std::optional<view_update> update = apply(std::move(change), now))
            updates.push_back(std::move(*update));
    }
    // A configuration that is missing may be one that is still being decoded, and its removal would change
    // nothing.
    for (const item_kind kind : { item_kind::DataCentreOut, item_kind::Server })
        removeUnlisted(kind, listed, revision, now, updates);
    m_revision = std::max(m_revision, revision);
    m_hasListing = true;
    return updates;
}

std::vector<view_update> store_view::applyListing(
    item_kind kind, const std::set<item_key>& listed, std::uint64_t revision, core::timestamp now)
{
    std::vector<view_update> updates;
    // A configuration that is missing is not removed, as in a listing of all items.
    if (revision >= m_revision && kind != item_kind::Config)
        removeUnlisted(kind, listed, revision, now, updates);
    return updates;
}

void store_view::removeUnlisted(item_kind kind, const std::set<item_key>& listed, std::uint64_t revision,
    core::timestamp now, std::vector<view_update>& updates)
{
    std::vector<store_change> missing;
    for (const auto& [key, item] : m_items) {
        if (key.kind == kind && !listed.contains(key) && item.revision <= revision
            && !std::holds_alternative<removed_item>(item.content))
            missing.push_back({ key, std::max(revision, item.revision + 1), removed_item {} });
    }
    for (store_change& change : missing) {
        if (std::optional<view_update> update = apply(std::move(change), now))
            updates.push_back(std::move(*update));
    }
}

std::vector<store_change> store_view::changesSince(std::uint64_t revision) const
{
    std::vector<store_change> changes;
    for (const auto& [key, item] : m_items) {
        if (item.revision > revision)
            changes.push_back({ key, item.revision, item.content });
    }
    std::sort(changes.begin(), changes.end(), isMoreUrgent);
    return changes;
}

std::uint64_t store_view::configRevision() const
{
    const auto found = m_items.find({ item_kind::Config, "" });
    return found == m_items.end() ? 0 : found->second.revision;
}

std::shared_ptr<const routing_config> store_view::config() const
{
    return m_recentConfigs.empty() ? nullptr : m_recentConfigs.back();
}

std::shared_ptr<const routing_config> store_view::recentConfig(std::uint64_t version) const
{
    const auto found = std::find_if(m_recentConfigs.rbegin(), m_recentConfigs.rend(),
        [version](
            const std::shared_ptr<const routing_config>& config) { return config->version == version; });
    return found == m_recentConfigs.rend() ? nullptr : *found;
}

bool store_view::isUncertain(const item_state& previous, core::timestamp now) const
{
    return std::holds_alternative<server_entry>(previous.content) && m_lastFailureAt
        && now - *m_lastFailureAt <= m_failureWindow;
}

} // namespace shallotcove::steering
