#include <shallotcove/core/operation_json.hpp>

#include <functional>

#include <criterion/criterion.h>

#include "json_reader.hpp"

namespace core = shallotcove::core;

namespace {

using parser = std::function<std::optional<core::config_problems>(const Json::Value&)>;

template <typename Result> parser problemsOf(Result (*parse)(const Json::Value&))
{
    return [parse](const Json::Value& value) -> std::optional<core::config_problems> {
        const Result result = parse(value);
        return result ? std::nullopt : std::optional<core::config_problems>(result.error());
    };
}

Json::Value json(const std::string& text)
{
    const tl::expected<Json::Value, core::config_problems> value = core::parseJson(text);
    cr_assert(value.has_value(), "%s", text.c_str());
    return *value;
}

} // namespace

// Parameters must reach the operation unchanged, and omitted ones with the defaults that the schema states.
Test(operation_json, reads_parameters)
{
    const tl::expected<core::operation_context, core::config_problems> context
        = core::parseOperationContext(json(R"({"operationId":"x","author":"ana","expectedRevision":0})"));
    cr_assert(context && context->operationId == "x" && context->author == "ana"
        && context->expectedRevision == 0U);
    const tl::expected<core::server_addition, core::config_problems> addition = core::parseServerAdd(
        json(R"({"service":"a","server":{"dataCentre":"buc-a","address":"10.0.0.1:1"}})"));
    const core::server_addition expected { "a",
        { "buc-a", *core::socket_address::parse("10.0.0.1:1"), 100, 10, 0 } };
    cr_assert(addition && *addition == expected);
    const tl::expected<core::flow_key, core::config_problems> key = core::parseExplainFlow(
        json(R"({"caller":"198.51.100.7:5","address":"[2001:db8::1]:443","protocol":"udp"})"));
    cr_assert(key && key->protocol == core::transport::Udp && key->service.toString() == "[2001:db8::1]:443");
}

// A call with a misspelt or missing field, or one of the wrong type, must be rejected with the field's path.
Test(operation_json, rejects_invalid_parameters_with_path)
{
    struct invalid_call {
        parser parse;
        const char* text;
        std::vector<std::string> paths;
    };
    const std::vector<invalid_call> calls {
        { problemsOf(core::parseOperationContext), "{}", { "operation.operationId", "operation.author" } },
        { problemsOf(core::parseOperationContext), "[]", { "operation" } },
        { problemsOf(core::parseOperationContext),
            R"({"operationId":"x","author":"a","expectedRevision":null})", { "operation.expectedRevision" } },
        { problemsOf(core::parseServiceCreate), R"({"name":"a","address":"x","protocol":1,"class":[]})",
            { "request.address", "request.protocol", "request.class" } },
        { problemsOf(core::parseServiceCreate),
            R"({"name":"a","address":"10.0.0.1:1","classes":[{"name":"b"}]})",
            { "request.classes[0].prefix", "request.classes[0].newFlowsPerSecond" } },
        { problemsOf(core::parseServiceName), "{}", { "request.service" } },
        { problemsOf(core::parseServerAdd), R"({"service":"a"})", { "request.server" } },
        { problemsOf(core::parseServerAdd), R"({"service":"a","server":3})", { "request.server" } },
        { problemsOf(core::parseServerAdd),
            R"({"service":"a","server":{"dataCentre":"b","address":"10.0.0.1:1","weight":0}})",
            { "request.server.weight" } },
        { problemsOf(core::parseServerReference), R"({"service":"a","server":0})", { "request.server" } },
        { problemsOf(core::parseServerWeight), R"({"service":"a","server":1,"weight":1e4})",
            { "request.weight" } },
        { problemsOf(core::parseCallerClassesSet), R"({"service":"a"})", { "request.classes" } },
        { problemsOf(core::parseDataCentreName), R"({"name":"a"})",
            { "request.dataCentre", "request.name" } },
        { problemsOf(core::parseExplainFlow), R"({"caller":"10.0.0.1:0"})",
            { "request.caller", "request.address" } },
        { problemsOf(core::parseChanges), "{}", { "request.service" } },
        { problemsOf(core::parseChanges), R"({"service":"a","dataCentre":"b"})", { "request.service" } },
        { problemsOf(core::parseWatch), R"({"sinceIndex":-1})", { "request.sinceIndex" } },
        { problemsOf(core::parseNoFields), R"({"x":1})", { "request.x" } },
        { problemsOf(core::parseNoFields), "[]", { "request" } },
    };
    for (const invalid_call& call : calls) {
        const std::optional<core::config_problems> problems = call.parse(json(call.text));
        cr_assert(problems.has_value(), "%s", call.text);
        cr_assert(problems->size() == call.paths.size(), "%s: %s", call.text,
            core::describeProblems(*problems).c_str());
        for (std::size_t index = 0; index < call.paths.size(); ++index)
            cr_assert((*problems)[index].path == call.paths[index], "%s: %s", call.text,
                (*problems)[index].path.c_str());
    }
}
