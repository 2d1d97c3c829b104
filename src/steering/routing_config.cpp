#include <shallotcove/steering/routing_config.hpp>

#include <algorithm>
#include <utility>

namespace shallotcove::steering {

bool operator==(const routing_config& left, const routing_config& right)
{
    return left.version == right.version && left.services == right.services
        && std::equal(left.routes.begin(), left.routes.end(), right.routes.begin(), right.routes.end(),
            [](const std::shared_ptr<const route>& first, const std::shared_ptr<const route>& second) {
                return first == second || *first == *second;
            });
}

std::vector<std::shared_ptr<const route>> shareRoutes(std::vector<route> routes)
{
    std::vector<std::shared_ptr<const route>> shared;
    shared.reserve(routes.size());
    for (route& item : routes)
        shared.push_back(std::make_shared<const route>(std::move(item)));
    return shared;
}

} // namespace shallotcove::steering
