#pragma once

#include <shallotcove/rpc/operator_commands.hpp>
#include <shallotcove/rpc/operator_queries.hpp>

namespace shallotcove {
namespace rpc {

    /// All operator calls. The daemon implements them.
    class operator_handler : public operator_commands, public operator_queries { };

} // namespace rpc
} // namespace shallotcove
