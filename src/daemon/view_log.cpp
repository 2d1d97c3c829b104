#include "view_log.hpp"

#include <variant>

#include <shallotcove/daemon/event_log.hpp>

namespace shallotcove::daemon {

namespace {

    /// If more updates arrive at once, all servers that became ready are summarized in one line.
    constexpr std::size_t maximumIndividualUpdates = 100;

    /// Returns the name of the change of a server for the log.
    const char* changeName(const steering::view_update& update)
    {
        if (const auto* const entry = std::get_if<steering::server_entry>(&update.change.content))
            return entry->state == steering::server_state::Ready ? "ready" : "draining";
        if (std::holds_alternative<steering::unreadable_item>(update.change.content))
            return "unreadable";
        return update.isUncertain ? "missing" : "gone";
    }

    void logServer(const steering::view_update& update, const std::function<void(log_task)>& post)
    {
        const auto* const serverEntry = std::get_if<steering::server_entry>(&update.change.content);
        const steering::server_entry entry
            = serverEntry == nullptr ? steering::server_entry {} : *serverEntry;
        post([entry, change = changeName(update), id = update.change.key.name,
                 revision = update.change.revision](event_log& log) {
            log.write<event::ServerChanged>(id, change, entry.service, entry.address.toString(),
                entry.dataCentre, revision, entry.coldFor.count(), entry.startedAtMs);
        });
    }

    bool isReadyServer(const steering::view_update& update)
    {
        const auto* const entry = std::get_if<steering::server_entry>(&update.change.content);
        return entry != nullptr && entry->state == steering::server_state::Ready;
    }

    void logUpdate(const steering::view_update& update, const std::function<void(log_task)>& post)
    {
        const steering::store_change& change = update.change;
        if (const auto* const item = std::get_if<steering::unreadable_item>(&change.content))
            post([key = change.key.toString(), cause = item->cause, revision = change.revision](
                     event_log& log) { log.write<event::StoreItemUnreadable>(key, cause, revision); });
        if (const auto* const config
            = std::get_if<std::shared_ptr<const steering::routing_config>>(&change.content))
            post([version = (*config)->version, revision = change.revision, routes = (*config)->routes.size(),
                     services = (*config)->services.size()](event_log& log) {
                log.write<event::ConfigInForce>(version, revision, routes, services);
            });
        if (change.key.kind == steering::item_kind::DataCentreOut)
            post([name = change.key.name, revision = change.revision,
                     isOut = std::holds_alternative<steering::data_centre_out>(change.content)](
                     event_log& log) {
                log.write<event::DataCentreOutChanged>(name, isOut ? "true" : "false", revision);
            });
        if (change.key.kind == steering::item_kind::Server)
            logServer(update, post);
    }

} // namespace

void logUpdates(const std::vector<steering::view_update>& updates, std::uint64_t revision,
    const std::function<void(log_task)>& post)
{
    const bool isSummarized = updates.size() > maximumIndividualUpdates;
    std::size_t ready = 0;
    for (const steering::view_update& update : updates) {
        if (isSummarized && isReadyServer(update))
            ++ready;
        else
            logUpdate(update, post);
    }
    if (ready > 0)
        post([=](event_log& log) { log.write<event::ServersListed>(ready, revision); });
}

} // namespace shallotcove::daemon
