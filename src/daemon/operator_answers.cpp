#include "operator_answers.hpp"

#include <shallotcove/core/operation_json.hpp>

namespace shallotcove::daemon {

rpc::call_result invalidRequest(const core::config_problems& problems)
{
    return tl::unexpected(
        rpc::call_failure { rpc::operator_error::InvalidArgument, core::describeProblems(problems) });
}

core::backend_server_id newestServerAt(
    const core::service_config& service, const core::socket_address& address)
{
    core::backend_server_id newest;
    for (const core::backend_server& server : service.servers) {
        if (server.address == address && server.id > newest)
            newest = server.id;
    }
    return newest;
}

} // namespace shallotcove::daemon
