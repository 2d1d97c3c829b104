#pragma once

#include <shallotcove/rpc/operator_handler.hpp>

#include <operator_server_stub.h>

namespace shallotcove {
namespace rpc {

    /// Forwards the calls of the generated stub to a handler, and reports its failures to libjsonrpccpp as
    /// exceptions.
    class call_dispatcher : public generated::operator_server_stub {
    public:
        call_dispatcher(jsonrpc::AbstractServerConnector& serverConnector, operator_handler& operatorHandler);

        Json::Value serviceCreate(const Json::Value& operation, const Json::Value& request) override;
        Json::Value serviceRemove(const Json::Value& operation, const Json::Value& request) override;
        Json::Value serverAdd(const Json::Value& operation, const Json::Value& request) override;
        Json::Value serverDrain(const Json::Value& operation, const Json::Value& request) override;
        Json::Value serverUndrain(const Json::Value& operation, const Json::Value& request) override;
        Json::Value serverRemove(const Json::Value& operation, const Json::Value& request) override;
        Json::Value serverWeight(const Json::Value& operation, const Json::Value& request) override;
        Json::Value callerClassesSet(const Json::Value& operation, const Json::Value& request) override;
        Json::Value dataCentreOut(const Json::Value& operation, const Json::Value& request) override;
        Json::Value dataCentreIn(const Json::Value& operation, const Json::Value& request) override;
        Json::Value serviceList(const Json::Value& request) override;
        Json::Value serviceShow(const Json::Value& request) override;
        Json::Value status(const Json::Value& request) override;
        Json::Value explainFlow(const Json::Value& request) override;
        Json::Value changes(const Json::Value& request) override;
        Json::Value watch(const Json::Value& request) override;

    private:
        operator_handler& m_handler;
    };

} // namespace rpc
} // namespace shallotcove
