#pragma once

#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include <shallotcove/rpc/operator_handler.hpp>

namespace shallotcove::rpc {

/// For tests: records every call and returns the result of one function for all of them.
class fake_operator_handler : public operator_handler {
public:
    struct recorded_call {
        std::string name;
        Json::Value operation;
        Json::Value request;
    };
    using result_function = std::function<call_result(const recorded_call&)>;

    explicit fake_operator_handler(result_function makeResult)
        : m_makeResult(std::move(makeResult))
    {
    }

    std::vector<recorded_call> recordedCalls() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_recordedCalls;
    }

    // clang-format off
    call_result serviceCreate(const Json::Value& operation, const Json::Value& request) override { return recordAndRun({ "serviceCreate", operation, request }); }
    call_result serviceRemove(const Json::Value& operation, const Json::Value& request) override { return recordAndRun({ "serviceRemove", operation, request }); }
    call_result serverAdd(const Json::Value& operation, const Json::Value& request) override { return recordAndRun({ "serverAdd", operation, request }); }
    call_result serverDrain(const Json::Value& operation, const Json::Value& request) override { return recordAndRun({ "serverDrain", operation, request }); }
    call_result serverUndrain(const Json::Value& operation, const Json::Value& request) override { return recordAndRun({ "serverUndrain", operation, request }); }
    call_result serverRemove(const Json::Value& operation, const Json::Value& request) override { return recordAndRun({ "serverRemove", operation, request }); }
    call_result serverWeight(const Json::Value& operation, const Json::Value& request) override { return recordAndRun({ "serverWeight", operation, request }); }
    call_result callerClassesSet(const Json::Value& operation, const Json::Value& request) override { return recordAndRun({ "callerClassesSet", operation, request }); }
    call_result dataCentreOut(const Json::Value& operation, const Json::Value& request) override { return recordAndRun({ "dataCentreOut", operation, request }); }
    call_result dataCentreIn(const Json::Value& operation, const Json::Value& request) override { return recordAndRun({ "dataCentreIn", operation, request }); }
    call_result serviceList(const Json::Value& request) override { return recordAndRun({ "serviceList", {}, request }); }
    call_result serviceShow(const Json::Value& request) override { return recordAndRun({ "serviceShow", {}, request }); }
    call_result status(const Json::Value& request) override { return recordAndRun({ "status", {}, request }); }
    call_result explainFlow(const Json::Value& request) override { return recordAndRun({ "explainFlow", {}, request }); }
    call_result changes(const Json::Value& request) override { return recordAndRun({ "changes", {}, request }); }
    call_result watch(const Json::Value& request) override { return recordAndRun({ "watch", {}, request }); }
    // clang-format on

private:
    call_result recordAndRun(recorded_call call)
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_recordedCalls.push_back(call);
        }
        return m_makeResult(call);
    }

    result_function m_makeResult;
    mutable std::mutex m_mutex;
    std::vector<recorded_call> m_recordedCalls;
};

} // namespace shallotcove::rpc
