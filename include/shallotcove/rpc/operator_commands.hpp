#pragma once

#include <json/json.h>

#include <shallotcove/rpc/call_result.hpp>

namespace shallotcove {
namespace rpc {

    /// Calls that change the configuration. `request` and `operation` are objects whose fields are not yet
    /// validated; shallotcove/core/operation_json.hpp parses them. src/rpc/operator_schema.json describes
    /// fields, results and errors. The server's thread makes one call at a time. An exception is reported to
    /// the client as OutcomeUnknown.
    class operator_commands {
    public:
        virtual ~operator_commands() = default;

        virtual call_result serviceCreate(const Json::Value& operation, const Json::Value& request) = 0;
        virtual call_result serviceRemove(const Json::Value& operation, const Json::Value& request) = 0;
        virtual call_result serverAdd(const Json::Value& operation, const Json::Value& request) = 0;
        virtual call_result serverDrain(const Json::Value& operation, const Json::Value& request) = 0;
        virtual call_result serverUndrain(const Json::Value& operation, const Json::Value& request) = 0;
        virtual call_result serverRemove(const Json::Value& operation, const Json::Value& request) = 0;
        virtual call_result serverWeight(const Json::Value& operation, const Json::Value& request) = 0;
        virtual call_result callerClassesSet(const Json::Value& operation, const Json::Value& request) = 0;
        virtual call_result dataCentreOut(const Json::Value& operation, const Json::Value& request) = 0;
        virtual call_result dataCentreIn(const Json::Value& operation, const Json::Value& request) = 0;
    };

} // namespace rpc
} // namespace shallotcove
