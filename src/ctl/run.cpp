#include "run.hpp"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <ostream>
#include <random>
#include <thread>

#include <shallotcove/rpc/operator_client.hpp>

#include "connection.hpp"
#include "explain_log.hpp"
#include "flags.hpp"
#include "subcommands.hpp"
#include "table_output.hpp"

namespace shallotcove::ctl {

namespace {

    constexpr const char* explainUsage
        = "Usage: shallotcovectl explain-log FILE FLOW\n\nExplains from the log of one or more hosts "
          "what happened to a flow, for example\n\"198.51.100.7:40001>192.0.2.1:443\".\n";

    struct output_format {
        std::ostream& output;
        std::ostream& errors;
        bool isJson;
    };

    std::string formatJson(const Json::Value& value)
    {
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "    ";
        builder["emitUTF8"] = true;
        return Json::writeString(builder, value);
    }

    std::string generateOperationId()
    {
        std::random_device random;
        std::string id = "ctl-";
        constexpr std::string_view digits = "0123456789abcdef";
        for (int count = 0; count < 32; ++count)
            id += digits[random() % digits.size()];
        return id;
    }

    tl::expected<std::uint64_t, std::string> parseNumberFlag(
        const invocation& commandLine, const std::string& flag, std::uint64_t defaultValue)
    {
        const auto found = commandLine.flags.find(flag);
        if (found == commandLine.flags.end())
            return defaultValue;
        std::uint64_t number {};
        const char* const end = found->second.data() + found->second.size();
        const std::from_chars_result parsed = std::from_chars(found->second.data(), end, number);
        // One day in milliseconds; counts share this limit, which is not specific to them.
        constexpr std::uint64_t maximum = 86'400'000;
        if (parsed.ec != std::errc {} || parsed.ptr != end || number > maximum)
            return tl::unexpected("--" + flag + " is \"" + found->second + "\"; allowed: 0 to 86400000");
        return number;
    }

    tl::expected<Json::Value, std::string> buildOperation(const invocation& commandLine)
    {
        const auto flagOrDefault = [&](const char* flag, const std::string& defaultValue) {
            const auto found = commandLine.flags.find(flag);
            return found == commandLine.flags.end() ? defaultValue : found->second;
        };
        Json::Value operation;
        operation["operationId"] = flagOrDefault("operation_id", generateOperationId());
        operation["author"] = flagOrDefault("author", commandLine.defaultAuthor);
        if (operation["author"] == "")
            return tl::unexpected<std::string>("--author is missing, and the user has no name");
        const std::string revision = flagOrDefault("expected_revision", "");
        if (commandLine.flags.count("expected_revision") > 0) {
            std::uint64_t number {};
            const char* const end = revision.data() + revision.size();
            const std::from_chars_result parsed = std::from_chars(revision.data(), end, number);
            if (parsed.ec != std::errc {} || parsed.ptr != end)
                return tl::unexpected("--expected_revision is \"" + revision
                    + "\"; allowed: a whole number that is not negative");
            operation["expectedRevision"] = Json::UInt64(number);
        }
        return operation;
    }

    /// Describes what is wrong with the number of arguments or the flags; empty if nothing is.
    std::string findUsageProblem(
        const subcommand& chosen, const invocation& commandLine, std::size_t argumentCount)
    {
        if (argumentCount < chosen.minimumArguments || argumentCount > chosen.maximumArguments)
            return "number of arguments of " + chosen.name + " is " + std::to_string(argumentCount)
                + "; allowed: " + (chosen.arguments.empty() ? "none" : chosen.arguments);
        const std::vector<std::string> allowed = flagsOf(chosen);
        for (const std::pair<const std::string, std::string>& flag : commandLine.flags) {
            if (std::find(allowed.begin(), allowed.end(), flag.first) == allowed.end())
                return chosen.name + " does not take the flag --" + flag.first;
        }
        const auto output = commandLine.flags.find("output");
        if (output != commandLine.flags.end() && output->second != "json" && output->second != "table")
            return "--output is \"" + output->second + "\"; allowed: json, table";
        return {};
    }

    exit_code toExitCode(const rpc::client_error& error, bool isCommand)
    {
        switch (error.kind) {
        case rpc::client_error_kind::NotSent:
            return exit_code::Unavailable;
        case rpc::client_error_kind::AnswerLost:
            return isCommand ? exit_code::OutcomeUnknown : exit_code::Unavailable;
        case rpc::client_error_kind::Protocol:
            return exit_code::Refused;
        case rpc::client_error_kind::Refused:
            break;
        }
        switch (error.refusal) {
        case rpc::operator_error::Unauthorized:
            return exit_code::Unauthorized;
        case rpc::operator_error::StoreUnavailable:
            return exit_code::Unavailable;
        case rpc::operator_error::OutcomeUnknown:
            return exit_code::OutcomeUnknown;
        default:
            return exit_code::Refused;
        }
    }

    std::string errorNameOf(const rpc::client_error& error, bool isCommand)
    {
        switch (error.kind) {
        case rpc::client_error_kind::NotSent:
            return "HostUnavailable";
        case rpc::client_error_kind::AnswerLost:
            return isCommand ? "OutcomeUnknown" : "HostUnavailable";
        case rpc::client_error_kind::Protocol:
            return "NotUnderstood";
        case rpc::client_error_kind::Refused:
            break;
        }
        return rpc::errorName(error.refusal);
    }

    exit_code reportError(
        const output_format& format, const rpc::client_error& error, const Json::Value& operation)
    {
        const bool isCommand = operation.isObject();
        const exit_code code = toExitCode(error, isCommand);
        const std::string advice
            = "The change may have been made. Repeat the same command with --operation_id="
            + operation["operationId"].asString() + " to learn the outcome; it is not made twice.";
        const bool hasAdvice = isCommand && code == exit_code::OutcomeUnknown;
        if (format.isJson) {
            Json::Value value;
            value["error"] = errorNameOf(error, isCommand);
            value["message"] = error.message;
            if (isCommand)
                value["operationId"] = operation["operationId"];
            if (hasAdvice)
                value["advice"] = advice;
            format.errors << formatJson(value) << "\n";
            return code;
        }
        format.errors << errorNameOf(error, isCommand) << ": " << error.message << "\n";
        if (hasAdvice)
            format.errors << advice << "\n";
        return code;
    }

    void print(const output_format& format, const Json::Value& result)
    {
        if (format.isJson)
            format.output << formatJson(result) << std::endl;
        else
            format.output << formatTable(result) << std::flush;
    }

    /// Repeats the call with the index of the last response until it fails or as many responses as
    /// --answers requests were received.
    exit_code pollChanges(const invocation& commandLine, const subcommand& chosen,
        rpc::operator_client& client, Json::Value request, const output_format& format)
    {
        const tl::expected<std::uint64_t, std::string> interval
            = parseNumberFlag(commandLine, "interval_ms", 1000);
        const tl::expected<std::uint64_t, std::string> responseLimit
            = parseNumberFlag(commandLine, "answers", 0);
        if (!interval || !responseLimit) {
            format.errors << (interval ? responseLimit.error() : interval.error()) << "\n";
            return exit_code::Usage;
        }
        for (std::uint64_t responseCount = 1;; ++responseCount) {
            const tl::expected<Json::Value, rpc::client_error> result = client.query(chosen.call, request);
            if (!result)
                return reportError(format, result.error(), {});
            if (!(*result)["changed"].empty())
                print(format, *result);
            if (responseCount == *responseLimit)
                return exit_code::Done;
            if ((*result)["index"].isUInt64())
                request["sinceIndex"] = (*result)["index"];
            std::this_thread::sleep_for(std::chrono::milliseconds(*interval));
        }
    }

    exit_code runCall(const invocation& commandLine, const subcommand& chosen, const Json::Value& request,
        const output_format& format)
    {
        const tl::expected<rpc::operator_client_options, std::string> options = readConnection(commandLine);
        tl::expected<Json::Value, std::string> operation;
        if (chosen.isCommand)
            operation = buildOperation(commandLine);
        if (!options || !operation) {
            format.errors << (options ? operation.error() : options.error()) << "\n";
            return exit_code::Usage;
        }
        rpc::operator_client client(*options);
        if (chosen.call == "watch")
            return pollChanges(commandLine, chosen, client, request, format);
        const tl::expected<Json::Value, rpc::client_error> result = chosen.isCommand
            ? client.command(chosen.call, *operation, request)
            : client.query(chosen.call, request);
        if (!result)
            return reportError(format, result.error(), *operation);
        print(format, *result);
        return exit_code::Done;
    }

    /// Runs explain-log, which reads a log file and contacts no host.
    exit_code explainLog(const invocation& commandLine, std::ostream& output, std::ostream& errors)
    {
        if (commandLine.arguments.size() != 3 || commandLine.flags.count("help") > 0) {
            errors << explainUsage;
            return commandLine.flags.count("help") > 0 ? exit_code::Done : exit_code::Usage;
        }
        std::ifstream log(commandLine.arguments[1]);
        if (!log) {
            errors << commandLine.arguments[1] << ": cannot be read\n";
            return exit_code::Usage;
        }
        const flow_explanation explanation = explainFlow(log, commandLine.arguments[2]);
        if (explanation.outcome.empty()) {
            errors << "no line about flow " << commandLine.arguments[2]
                   << ": no host with a line in this file received its first packet, or lines were dropped\n";
            return exit_code::Refused;
        }
        output << explanation.lines << "\nflow " << commandLine.arguments[2] << ": " << explanation.outcome
               << "\n";
        return exit_code::Done;
    }

} // namespace

exit_code run(const invocation& commandLine, std::ostream& output, std::ostream& errors)
{
    if (!commandLine.arguments.empty() && commandLine.arguments[0] == "explain-log")
        return explainLog(commandLine, output, errors);
    const subcommand* const chosen = findSubcommand(commandLine.arguments);
    const bool wantsHelp = commandLine.flags.count("help") > 0;
    if (chosen == nullptr) {
        const bool isNamePrefix = commandLine.arguments.size() == 1
            && std::any_of(subcommands().begin(), subcommands().end(), [&](const subcommand& entry) {
                   return entry.name.starts_with(commandLine.arguments[0] + " ");
               });
        if (wantsHelp && (commandLine.arguments.empty() || isNamePrefix)) {
            output << helpText();
            return exit_code::Done;
        }
        errors << (commandLine.arguments.empty() ? "a subcommand is missing" : "no such subcommand") << "\n\n"
               << helpText();
        return exit_code::Usage;
    }
    if (wantsHelp) {
        output << helpText(*chosen);
        return exit_code::Done;
    }
    const std::ptrdiff_t nameWordCount = 1 + std::count(chosen->name.begin(), chosen->name.end(), ' ');
    const std::vector<std::string> arguments(
        commandLine.arguments.begin() + nameWordCount, commandLine.arguments.end());
    std::string problem = findUsageProblem(*chosen, commandLine, arguments.size());
    tl::expected<Json::Value, std::string> request;
    if (problem.empty()) {
        request = chosen->build(arguments, commandLine.flags);
        problem = request ? "" : request.error();
    }
    if (!problem.empty()) {
        errors << problem << "\n`shallotcovectl " << chosen->name << " --help` shows the usage.\n";
        return exit_code::Usage;
    }
    const auto format = commandLine.flags.find("output");
    return runCall(commandLine, *chosen, *request,
        { output, errors, format != commandLine.flags.end() && format->second == "json" });
}

} // namespace shallotcove::ctl
