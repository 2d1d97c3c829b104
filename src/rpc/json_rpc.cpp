#include "json_rpc.hpp"

#include <algorithm>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include <shallotcove/rpc/operator_client.hpp>

namespace shallotcove {
namespace rpc {

    namespace {

        std::string describeNonObject(const Json::Value& object, const char* field)
        {
            return object.isMember(field) ? "is not an object" : "is missing";
        }

        /// Replaces line ends and indentation in messages of jsoncpp by single spaces.
        std::string collapseWhitespace(const std::string& text)
        {
            std::istringstream words(text);
            std::string line;
            for (std::string word; words >> word;)
                line += (line.empty() ? "" : " ") + word;
            return line;
        }

        /// Describes the invalid parameters of a known call; empty if all are valid.
        std::string findParameterProblems(const Json::Value& params, bool isCommand)
        {
            if (!params.isObject())
                return "params is not an object";
            std::string problems;
            std::vector<std::string> allowed { "request" };
            if (isCommand)
                allowed.insert(allowed.begin(), "operation");
            for (const std::string& field : allowed) {
                if (!params[field].isObject())
                    problems += "params." + field + " " + describeNonObject(params, field.c_str())
                        + "; allowed: an object\n";
            }
            for (const std::string& field : params.getMemberNames()) {
                if (std::find(allowed.begin(), allowed.end(), field) == allowed.end())
                    problems += "params." + field + " is not a known parameter; allowed: " + allowed.front()
                        + (isCommand ? ", request\n" : "\n");
            }
            if (!problems.empty())
                problems.pop_back();
            return problems;
        }

    } // namespace

    tl::expected<Json::Value, std::string> parseStrictJson(const std::string& text)
    {
        Json::CharReaderBuilder builder;
        Json::CharReaderBuilder::strictMode(&builder.settings_);
        // Requests and responses have less than ten levels of nesting. The reader throws beyond this limit.
        builder["stackLimit"] = 32;
        const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
        Json::Value value;
        std::string errors;
        try {
            if (reader->parse(text.data(), text.data() + text.size(), &value, &errors))
                return value;
        } catch (const Json::Exception& exception) {
            errors = exception.what();
        }
        return tl::unexpected<std::string>("not valid JSON: " + collapseWhitespace(errors));
    }

    std::string formatCompactJson(const Json::Value& value)
    {
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "";
        builder["emitUTF8"] = true;
        return Json::writeString(builder, value);
    }

    std::string formatErrorResponse(const json_rpc_error& error)
    {
        Json::Value response;
        response["jsonrpc"] = "2.0";
        response["id"] = error.id;
        response["error"]["code"] = error.code;
        response["error"]["message"] = error.message;
        return formatCompactJson(response);
    }

    tl::expected<void, json_rpc_error> checkRequest(const std::string& text)
    {
        const tl::expected<Json::Value, std::string> request = parseStrictJson(text);
        if (!request)
            return tl::unexpected<json_rpc_error>(
                { parseErrorCode, "the request is " + request.error(), {} });
        if (!request->isObject())
            return tl::unexpected<json_rpc_error>(
                { invalidRequestCode, "the request is a batch; allowed: a single call", {} });
        const Json::Value& id = (*request)["id"];
        if (!id.isString() && !id.isIntegral())
            return tl::unexpected<json_rpc_error>(
                { invalidRequestCode, "id is missing; allowed: a string or an integer", {} });
        const Json::Value& method = (*request)["method"];
        const std::string name = method.isString() ? method.asString() : "";
        for (const call_description& call : operator_client::calls()) {
            if (call.name != name)
                continue;
            const std::string problems = findParameterProblems((*request)["params"], call.isCommand);
            if (!problems.empty())
                return tl::unexpected<json_rpc_error>(
                    { static_cast<int>(operator_error::InvalidArgument), problems, id });
        }
        return {};
    }

    tl::expected<Json::Value, std::string> checkResponse(const std::string& text)
    {
        const tl::expected<Json::Value, std::string> response = parseStrictJson(text);
        if (!response)
            return response;
        if (response->isObject() && (*response)["result"].isObject() && !response->isMember("error"))
            return response;
        const Json::Value& error = response->isObject() ? (*response)["error"] : Json::Value::nullSingleton();
        if (error.isObject() && error["code"].isInt() && error["message"].isString())
            return response;
        return tl::unexpected<std::string>("neither a result nor an error with code and message");
    }

} // namespace rpc
} // namespace shallotcove
