#pragma once

#include <functional>

#include <shallotcove/daemon/tagged_channels.hpp>

namespace shallotcove::daemon {

/// Passes the lines on a change of the view of the store to the log.
void logUpdate(const steering::view_update&, const std::function<void(log_task)>& post);

} // namespace shallotcove::daemon
