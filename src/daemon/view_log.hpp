#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include <shallotcove/daemon/tagged_channels.hpp>

namespace shallotcove::daemon {

/// Posts log lines on updates of the view of the store, which now has the given revision.
void logUpdates(const std::vector<steering::view_update>&, std::uint64_t revision,
    const std::function<void(log_task)>& post);

} // namespace shallotcove::daemon
