#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include <shallotcove/core/time.hpp>
#include <shallotcove/steering/flow_address.hpp>
#include <shallotcove/steering/item_key.hpp>
#include <shallotcove/steering/neighbour_loads.hpp>
#include <shallotcove/steering/store_change.hpp>
#include <shallotcove/steering/store_view_options.hpp>
#include <shallotcove/steering/view_update.hpp>

namespace shallotcove::steering {

/// This host's view of the items in the store. Content in force is never replaced by older content, however
/// late, stale or incomplete the store's answers are.
class store_view {
public:
    explicit store_view(const store_view_options& options = {});

    /// Applies all changes up to the revision and returns those that take effect. A change that is older than
    /// the content in force, or equal to it, gives no update. A change may be newer than the revision; the
    /// view then does not know the other changes that were made in between.
    std::vector<view_update> applyChanges(
        std::vector<store_change>, std::uint64_t revision, core::timestamp now);
    /// Applies a listing of all items at a revision and returns the changes that take effect. Some items may
    /// be newer, as the pages of a listing are read one after the other. Items that are in force and not
    /// listed are removed. A listing that is older than the revision of the view is ignored.
    std::vector<view_update> applyListing(
        std::vector<store_change>, std::uint64_t revision, core::timestamp now);
    /// Ends a listing of the items of one kind at a revision: removes the items of this kind that are in
    /// force, not listed and not newer than the revision. The listed items have been applied with
    /// applyChanges() as their pages were read, and the revision of the view stays. A listing that is older
    /// than the revision of the view is ignored, and a configuration is never removed.
    std::vector<view_update> applyListing(
        item_kind, const std::set<item_key>& listed, std::uint64_t revision, core::timestamp now);
    /// Records that the store did not answer or refused a request.
    void recordFailure(core::timestamp now) { m_lastFailureAt = now; }

    /// Limits revision() while a newer configuration has not been decoded; std::nullopt removes the limit.
    void holdRevision(std::optional<std::uint64_t> revision) { m_heldRevision = revision; }

    /// The latest change of each item after a revision, the most urgent first.
    std::vector<store_change> changesSince(std::uint64_t revision) const;
    /// Revision up to which all changes have been applied.
    std::uint64_t revision() const { return std::min(m_revision, m_heldRevision.value_or(m_revision)); }
    std::uint64_t configVersion() const { return m_configVersion; }
    /// Revision of the newest configuration that was applied, also if it did not take effect; 0 for none.
    std::uint64_t configRevision() const;
    /// The configuration in effect; null for none.
    std::shared_ptr<const routing_config> config() const;
    /// The configuration with this version, if it is one of the latest that took effect; null otherwise.
    std::shared_ptr<const routing_config> recentConfig(std::uint64_t version) const;
    /// Whether a configuration and a listing of the servers have been read.
    bool isComplete() const { return m_configVersion > 0 && m_hasListing; }

private:
    struct item_state {
        std::uint64_t revision {};
        item_content content;
    };

    std::optional<view_update> apply(store_change, core::timestamp now);
    void removeUnlisted(item_kind, const std::set<item_key>& listed, std::uint64_t revision,
        core::timestamp now, std::vector<view_update>& updates);
    bool isUncertain(const item_state&, core::timestamp now) const;

    core::duration m_failureWindow;
    std::map<item_key, item_state> m_items;
    std::uint64_t m_revision {};
    std::optional<std::uint64_t> m_heldRevision;
    /// The configurations that took effect last, the newest at the end. They share most routes.
    std::deque<std::shared_ptr<const routing_config>> m_recentConfigs;
    std::uint64_t m_configVersion {};
    bool m_hasListing {};
    std::optional<core::timestamp> m_lastFailureAt;
};

} // namespace shallotcove::steering
