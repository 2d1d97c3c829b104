#pragma once

#include <string>

#include <json/json.h>

#include <shallotcove/core/operation_json.hpp>
#include <shallotcove/daemon/channels.hpp>
#include <shallotcove/rpc/call_result.hpp>

namespace shallotcove::daemon {

// Read-only operator calls, answered from this host's replica of the configuration and its view of the fleet.
// They run on the peer thread, so they must not block or call the store.

/// Fields of the status answer that do not come from the control engine.
struct host_description {
    std::string name;
    std::string dataCentre;
    bool isStoreAvailable {};
};

/// NotFound unless a host or a backend server is in a data centre of this name.
rpc::call_result findDataCentre(const control_view&, const std::string& name);
rpc::call_result listServices(const control_view&);
rpc::call_result showService(const control_view&, const std::string& name);
rpc::call_result showStatus(const control_view&, const host_description&);
rpc::call_result listChanges(const control_view&, const core::changes_query&);
rpc::call_result listChangedKeys(const control_view&, core::config_index since);
/// Tells where the host would send a new flow, according to configuration, membership and limits. The flow
/// tables are not consulted, because they belong to the packet thread.
rpc::call_result explainFlow(const control_view&, const core::flow_key&);

} // namespace shallotcove::daemon
