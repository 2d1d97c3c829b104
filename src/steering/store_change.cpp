#include <shallotcove/steering/store_change.hpp>

#include <utility>

namespace shallotcove::steering {

bool isEqual(const item_content& left, const item_content& right)
{
    using config_pointer = std::shared_ptr<const routing_config>;
    const config_pointer* const first = std::get_if<config_pointer>(&left);
    const config_pointer* const second = std::get_if<config_pointer>(&right);
    if (first == nullptr || second == nullptr)
        return left == right;
    return *first == *second || **first == **second;
}

bool isMoreUrgent(const store_change& left, const store_change& right)
{
    const auto rankOf = [](item_kind kind) {
        switch (kind) {
        case item_kind::DataCentreOut:
            return 0;
        case item_kind::Server:
            return 1;
        case item_kind::Config:
            return 2;
        }
        return 2;
    };
    return std::pair(rankOf(left.key.kind), left.revision)
        < std::pair(rankOf(right.key.kind), right.revision);
}

} // namespace shallotcove::steering
