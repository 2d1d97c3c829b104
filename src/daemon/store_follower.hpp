#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "operator_service.hpp"
#include "operator_store.hpp"
#include "store_follower_counts.hpp"
#include "store_follower_events.hpp"
#include "store_follower_options.hpp"
#include <boost/asio/io_context.hpp>
#include <shallotcove/core/ip_address.hpp>
#include <shallotcove/core/time.hpp>
#include <shallotcove/steering/store_view.hpp>

namespace shallotcove::daemon {

/// Returns the HTTP target at which a host requests the changes after a revision from a neighbour, with the
/// version of the configuration that it has.
std::string changesTarget(std::uint64_t afterRevision, std::uint64_t configVersion);

/// Returns the body that answers a request for changes from a view; nothing if the target is a different one.
/// A request that names the version of a recent configuration is answered with the difference from it.
std::optional<std::string> answerChangesRequest(const steering::store_view&, std::string_view target);

/// Keeps a view of the store up to date: lists all items once, then watches for changes after that revision.
/// When changes were missed, it catches up: it reads evacuations, servers and the configuration, in this
/// order, or asks a neighbour, and then resumes the watch. A configuration takes effect after the other
/// changes of the same answer.
class store_follower {
public:
    store_follower(boost::asio::io_context&, const store_follower_options&, steering::store_view&,
        store_follower_events);
    ~store_follower();

    /// Lists all items of the store and then begins to watch it.
    void start();
    /// Abandons the watch call that is waiting because other hosts have a newer revision, and sends a new one
    /// or, if the last answer was received too long ago, begins a catch-up.
    void restart();
    /// Resumes the watch if it is suspended. Later watch calls wait for changes this long.
    void resume(std::chrono::milliseconds wait);
    /// Stops the watch, because another host watches the store and passes changes on. Has no effect during a
    /// listing or after a failed call.
    void suspend();
    /// Requests the changes that a neighbour has, unless such a request is in progress.
    void fetchChanges(const core::socket_address& relay);

    /// Sets the neighbour that is asked before the store when changes were missed; nothing if there is none.
    void setRelay(const std::optional<core::socket_address>&);
    /// Records that a neighbour that watches the store has no changes that this host lacks.
    void confirmCurrent();
    /// Begins a round of the thread. After a pause of the process a catch-up begins.
    void checkPause();
    /// Begins a catch-up because another thread has detected a pause of the process.
    void handlePause();
    /// Records that the thread was busy, so that this time is not taken for a pause.
    void recordWork();

    /// Whether the initial listing is on hold until a neighbour that has a complete view passes it on.
    bool isWaitingForNeighbour() const;
    /// Whether the store answers, but evacuations and servers that were missed have not been read for
    /// catchingUpDelay.
    bool isCatchingUp() const;
    store_follower_counts counts() const;
    /// Number of slices in which configurations have been decoded.
    std::uint64_t decodedSlices() const;
    /// Time of the last answer of the store that has been applied completely.
    core::timestamp answeredAt() const;
    /// Revision up to which all changes have been received. The revision of the view stays behind it while a
    /// configuration waits to be applied.
    std::uint64_t receivedRevision() const;

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace shallotcove::daemon
