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

    constexpr const char* explainUsage = "Usage: shallotcovectl explain-log FILE FLOW\n\nTells from the log "
                                         "of one or more hosts what happened to a flow, "
                                         "for example\n\"198.51.100.7:40001>192.0.2.1:443\".\n";

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

    tl::expected<std::uint64_t, std::string> numberFlag(
        const invocation& typed, const std::string& flag, std::uint64_t preset)
    {
        const auto found = typed.flags.find(flag);
        if (found == typed.flags.end())
            return preset;
        std::uint64_t number {};
        const char* const end = found->second.data() + found->second.size();
        const std::from_chars_result parsed = std::from_chars(found->second.data(), end, number);
        // A day; for counts it is as good a bound as any.
        constexpr std::uint64_t largest = 86'400'000;
        if (parsed.ec != std::errc {} || parsed.ptr != end || number > largest)
            return tl::unexpected("--" + flag + " is \"" + found->second + "\"; allowed: 0 to 86400000");
        return number;
    }

    tl::expected<Json::Value, std::string> operationOf(const invocation& typed)
    {
        const auto valueOf = [&](const char* flag, const std::string& preset) {
            const auto found = typed.flags.find(flag);
            return found == typed.flags.end() ? preset : found->second;
        };
        Json::Value operation;
        operation["operationId"] = valueOf("operation_id", generateOperationId());
        operation["author"] = valueOf("author", typed.defaultAuthor);
        if (operation["author"] == "")
            return tl::unexpected<std::string>("--author is missing, and the user has no name");
        const std::string revision = valueOf("expected_revision", "");
        if (typed.flags.count("expected_revision") > 0) {
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

    /// What is wrong with the number of arguments and the flags; empty if nothing is.
    std::string usageProblem(const subcommand& chosen, const invocation& typed, std::size_t argumentCount)
    {
        if (argumentCount < chosen.minimumArguments || argumentCount > chosen.maximumArguments)
            return "number of arguments of " + chosen.words + " is " + std::to_string(argumentCount)
                + "; allowed: " + (chosen.arguments.empty() ? "none" : chosen.arguments);
        const std::vector<std::string> allowed = flagsOf(chosen);
        for (const std::pair<const std::string, std::string>& flag : typed.flags) {
            if (std::find(allowed.begin(), allowed.end(), flag.first) == allowed.end())
                return chosen.words + " does not take the flag --" + flag.first;
        }
        const auto output = typed.flags.find("output");
        if (output != typed.flags.end() && output->second != "json" && output->second != "table")
            return "--output is \"" + output->second + "\"; allowed: json, table";
        return {};
    }

    exit_code exitCodeOf(const rpc::client_error& error, bool isCommand)
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

    std::string nameOf(const rpc::client_error& error, bool isCommand)
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

    exit_code report(
        const output_format& format, const rpc::client_error& error, const Json::Value& operation)
    {
        const bool isCommand = operation.isObject();
        const exit_code code = exitCodeOf(error, isCommand);
        const std::string advice
            = "The change may have been made. Repeat the same command with --operation_id="
            + operation["operationId"].asString() + " to learn the outcome; it is not made twice.";
        const bool hasAdvice = isCommand && code == exit_code::OutcomeUnknown;
        if (format.isJson) {
            Json::Value value;
            value["error"] = nameOf(error, isCommand);
            value["message"] = error.message;
            if (isCommand)
                value["operationId"] = operation["operationId"];
            if (hasAdvice)
                value["advice"] = advice;
            format.errors << formatJson(value) << "\n";
            return code;
        }
        format.errors << nameOf(error, isCommand) << ": " << error.message << "\n";
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

    /// Asks again with the index of the last answer until an error or the wanted number of answers.
    exit_code follow(const invocation& typed, const subcommand& chosen, rpc::operator_client& client,
        Json::Value request, const output_format& format)
    {
        const tl::expected<std::uint64_t, std::string> interval = numberFlag(typed, "interval_ms", 1000);
        const tl::expected<std::uint64_t, std::string> wanted = numberFlag(typed, "answers", 0);
        if (!interval || !wanted) {
            format.errors << (interval ? wanted.error() : interval.error()) << "\n";
            return exit_code::Usage;
        }
        for (std::uint64_t answers = 1;; ++answers) {
            const tl::expected<Json::Value, rpc::client_error> result = client.query(chosen.call, request);
            if (!result)
                return report(format, result.error(), {});
            if (!(*result)["changed"].empty())
                print(format, *result);
            if (answers == *wanted)
                return exit_code::Done;
            if ((*result)["index"].isUInt64())
                request["sinceIndex"] = (*result)["index"];
            std::this_thread::sleep_for(std::chrono::milliseconds(*interval));
        }
    }

    exit_code call(const invocation& typed, const subcommand& chosen, const Json::Value& request,
        const output_format& format)
    {
        const tl::expected<rpc::operator_client_options, std::string> options = readConnection(typed);
        tl::expected<Json::Value, std::string> operation;
        if (chosen.isCommand)
            operation = operationOf(typed);
        if (!options || !operation) {
            format.errors << (options ? operation.error() : options.error()) << "\n";
            return exit_code::Usage;
        }
        rpc::operator_client client(*options);
        if (chosen.call == "watch")
            return follow(typed, chosen, client, request, format);
        const tl::expected<Json::Value, rpc::client_error> result = chosen.isCommand
            ? client.command(chosen.call, *operation, request)
            : client.query(chosen.call, request);
        if (!result)
            return report(format, result.error(), *operation);
        print(format, *result);
        return exit_code::Done;
    }

    /// Answers from a log file; no host is asked.
    exit_code explainLog(const invocation& typed, std::ostream& output, std::ostream& errors)
    {
        if (typed.words.size() != 3 || typed.flags.count("help") > 0) {
            errors << explainUsage;
            return typed.flags.count("help") > 0 ? exit_code::Done : exit_code::Usage;
        }
        std::ifstream log(typed.words[1]);
        if (!log) {
            errors << typed.words[1] << ": cannot be read\n";
            return exit_code::Usage;
        }
        const flow_explanation explanation = explainFlow(log, typed.words[2]);
        if (explanation.verdict.empty()) {
            errors << "no line on flow " << typed.words[2]
                   << ": no host with a line in this file got its first packet, or lines were dropped\n";
            return exit_code::Refused;
        }
        output << explanation.lines << "\nflow " << typed.words[2] << ": " << explanation.verdict << "\n";
        return exit_code::Done;
    }

} // namespace

exit_code run(const invocation& typed, std::ostream& output, std::ostream& errors)
{
    if (!typed.words.empty() && typed.words[0] == "explain-log")
        return explainLog(typed, output, errors);
    const subcommand* const chosen = findSubcommand(typed.words);
    const bool wantsHelp = typed.flags.count("help") > 0;
    if (chosen == nullptr) {
        const bool isGroup = typed.words.size() == 1
            && std::any_of(subcommands().begin(), subcommands().end(),
                [&](const subcommand& entry) { return entry.words.starts_with(typed.words[0] + " "); });
        if (wantsHelp && (typed.words.empty() || isGroup)) {
            output << helpText();
            return exit_code::Done;
        }
        errors << (typed.words.empty() ? "a subcommand is missing" : "no such subcommand") << "\n\n"
               << helpText();
        return exit_code::Usage;
    }
    if (wantsHelp) {
        output << helpText(*chosen);
        return exit_code::Done;
    }
    const std::ptrdiff_t wordCount = 1 + std::count(chosen->words.begin(), chosen->words.end(), ' ');
    const std::vector<std::string> arguments(typed.words.begin() + wordCount, typed.words.end());
    std::string problem = usageProblem(*chosen, typed, arguments.size());
    tl::expected<Json::Value, std::string> request;
    if (problem.empty()) {
        request = chosen->build(arguments, typed.flags);
        problem = request ? "" : request.error();
    }
    if (!problem.empty()) {
        errors << problem << "\n`shallotcovectl " << chosen->words << " --help` shows the usage.\n";
        return exit_code::Usage;
    }
    const auto format = typed.flags.find("output");
    return call(typed, *chosen, *request,
        { output, errors, format != typed.flags.end() && format->second == "json" });
}

} // namespace shallotcove::ctl
