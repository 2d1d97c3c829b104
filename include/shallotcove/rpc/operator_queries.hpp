#pragma once

#include <json/json.h>

#include <shallotcove/rpc/call_result.hpp>

namespace shallotcove {
namespace rpc {

    /// Read-only calls, answered from the state of the host without store calls. `request` is an object whose
    /// fields are not yet validated. The server's thread makes one call at a time, and a call must not wait
    /// for changes: `watch` returns at once and the client polls it.
    class operator_queries {
    public:
        virtual ~operator_queries() = default;

        virtual call_result serviceList(const Json::Value& request) = 0;
        virtual call_result serviceShow(const Json::Value& request) = 0;
        virtual call_result status(const Json::Value& request) = 0;
        virtual call_result explainFlow(const Json::Value& request) = 0;
        virtual call_result changes(const Json::Value& request) = 0;
        virtual call_result watch(const Json::Value& request) = 0;
    };

} // namespace rpc
} // namespace shallotcove
