#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include <shallotcove/core/time.hpp>
#include <shallotcove/steering/route_address.hpp>
#include <shallotcove/steering/work_estimate.hpp>

namespace shallotcove::steering {

/// Work of a request by route or service, learned from the time between a request and its answer. Estimates
/// without new samples expire; the number of keys is bounded.
template <typename Key> class learned_work {
public:
    // Commands.

    void record(const Key&, core::duration work, core::timestamp now);

    // Queries.

    /// The estimate of a key that has enough recent samples.
    std::optional<work_estimate> find(const Key&, core::timestamp now) const;
    std::size_t size() const { return m_estimates.size(); }

private:
    void makeRoom(core::timestamp now);

    std::map<Key, work_estimate> m_estimates;
};

using route_work = learned_work<route_address>;
using service_work = learned_work<std::string>;

extern template class learned_work<route_address>;
extern template class learned_work<std::string>;

} // namespace shallotcove::steering
