#include "operator_store.hpp"

#include <algorithm>

namespace shallotcove::daemon {

operator_store::operator_store(channels& shared, operator_store_options options)
    : m_channels(shared)
    , m_options(std::move(options))
{
}

operator_store::entry_result operator_store::readReplica(const std::string& key)
{
    using answer = std::optional<core::store_entry>;
    const std::optional<answer> entry
        = runQuery<answer>([key](const control_view& view) { return view.engine.entry(key); });
    if (!entry)
        return tl::unexpected(store::store_error::Unavailable);
    if (*entry && (*entry)->isDeleted)
        return answer {};
    return *entry;
}

operator_store::entry_result operator_store::read(const std::string& key)
{
    const answer_of<store::store_range> range = call<store::store_range>("readRange",
        [key](store::key_value_client& client, std::function<void(answer_of<store::store_range>)> done) {
            client.readRange(key, std::move(done));
        });
    if (!range)
        return tl::unexpected(range.error());
    // readRange() returns every key that has this one as a prefix.
    const auto found = std::find_if(range->entries.begin(), range->entries.end(),
        [&key](const core::store_entry& entry) { return entry.key == key && !entry.isDeleted; });
    if (found == range->entries.end())
        return std::optional<core::store_entry> {};
    return std::optional<core::store_entry> { *found };
}

tl::expected<store::swap_result, store::store_error> operator_store::swap(std::vector<store::key_swap> swaps)
{
    return call<store::swap_result>("compareAndSwap",
        [swaps](store::key_value_client& client, std::function<void(answer_of<store::swap_result>)> done) {
            client.compareAndSwap(swaps, 0, std::move(done));
        });
}

std::optional<std::vector<std::string>> operator_store::hostsBehind(core::config_index index)
{
    return runQuery<std::vector<std::string>>([index](const control_view& view) {
        std::vector<std::string> names;
        for (const core::socket_address& address : view.engine.hostsBehind(index))
            names.push_back(address.toString());
        return names;
    });
}

} // namespace shallotcove::daemon
