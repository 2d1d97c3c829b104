#include "subcommands.hpp"

#include <charconv>
#include <cstdint>
#include <limits>

#include "flags.hpp"

namespace shallotcove::ctl {

namespace {

    using argument_list = std::vector<std::string>;
    using flag_values = std::map<std::string, std::string>;
    using request_or_error = tl::expected<Json::Value, std::string>;

    constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

    tl::expected<std::uint64_t, std::string> parseNumber(const std::string& name, const std::string& text)
    {
        std::uint64_t number {};
        const char* const end = text.data() + text.size();
        const std::from_chars_result parsed = std::from_chars(text.data(), end, number);
        if (parsed.ec != std::errc {} || parsed.ptr != end)
            return tl::unexpected(
                name + " is \"" + text + "\"; allowed: a whole number that is not negative");
        return number;
    }

    /// Sets a field from a flag if the flag is given. Returns a message for the operator on failure.
    std::string setNumberFromFlag(
        Json::Value& object, const char* field, const flag_values& flags, const std::string& flag)
    {
        const auto found = flags.find(flag);
        if (found == flags.end())
            return {};
        const tl::expected<std::uint64_t, std::string> number = parseNumber("--" + flag, found->second);
        if (!number)
            return number.error();
        object[field] = Json::UInt64(*number);
        return {};
    }

    void setTextFromFlag(
        Json::Value& object, const char* field, const flag_values& flags, const std::string& flag)
    {
        const auto found = flags.find(flag);
        if (found != flags.end())
            object[field] = found->second;
    }

    /// Parses NAME=PREFIX or NAME=PREFIX@NEW_FLOWS.
    request_or_error parseClass(const std::string& text)
    {
        const std::size_t equals = text.find('=');
        if (equals == std::string::npos)
            return tl::unexpected(
                "caller class is \"" + text + "\"; allowed: NAME=PREFIX or NAME=PREFIX@NEW_FLOWS");
        const std::size_t at = text.find('@', equals);
        Json::Value value;
        value["name"] = text.substr(0, equals);
        value["prefix"] = text.substr(equals + 1, at == std::string::npos ? at : at - equals - 1);
        value["newFlowsPerSecond"] = 0;
        if (at == std::string::npos)
            return value;
        const tl::expected<std::uint64_t, std::string> rate
            = parseNumber("new flows of caller class " + text.substr(0, equals), text.substr(at + 1));
        if (!rate)
            return tl::unexpected(rate.error());
        value["newFlowsPerSecond"] = Json::UInt64(*rate);
        return value;
    }

    request_or_error parseClasses(const argument_list& arguments, std::size_t first)
    {
        Json::Value classes(Json::arrayValue);
        for (std::size_t index = first; index < arguments.size(); ++index) {
            const request_or_error parsed = parseClass(arguments[index]);
            if (!parsed)
                return parsed;
            classes.append(*parsed);
        }
        return classes;
    }

    request_or_error buildEmptyRequest(const argument_list&, const flag_values&)
    {
        return Json::Value(Json::objectValue);
    }

    request_or_error buildServiceName(const argument_list& arguments, const flag_values&)
    {
        Json::Value value;
        value["service"] = arguments[0];
        return value;
    }

    request_or_error buildServiceCreate(const argument_list& arguments, const flag_values& flags)
    {
        const request_or_error classes = parseClasses(arguments, 2);
        if (!classes)
            return classes;
        Json::Value value;
        value["name"] = arguments[0];
        value["address"] = arguments[1];
        value["classes"] = *classes;
        setTextFromFlag(value, "protocol", flags, "protocol");
        return value;
    }

    request_or_error buildServerAdd(const argument_list& arguments, const flag_values& flags)
    {
        Json::Value value;
        value["service"] = arguments[0];
        Json::Value& server = value["server"];
        server["address"] = arguments[1];
        setTextFromFlag(server, "dataCentre", flags, "data_centre");
        if (!server.isMember("dataCentre"))
            return tl::unexpected<std::string>("--data_centre is missing");
        for (const std::pair<const char*, const char*>& entry :
            { std::pair("weight", "weight"), std::pair("coldNewFlowsPerSecond", "cold_new_flows"),
                std::pair("newFlowsPerSecond", "new_flows") }) {
            const std::string problem = setNumberFromFlag(server, entry.first, flags, entry.second);
            if (!problem.empty())
                return tl::unexpected(problem);
        }
        return value;
    }

    request_or_error buildServerReference(const argument_list& arguments, const flag_values&)
    {
        const tl::expected<std::uint64_t, std::string> id = parseNumber("server id", arguments[1]);
        if (!id)
            return tl::unexpected(id.error());
        Json::Value value;
        value["service"] = arguments[0];
        value["server"] = Json::UInt64(*id);
        return value;
    }

    request_or_error buildServerWeight(const argument_list& arguments, const flag_values& flags)
    {
        request_or_error value = buildServerReference(arguments, flags);
        const tl::expected<std::uint64_t, std::string> weight = parseNumber("weight", arguments[2]);
        if (!weight)
            return tl::unexpected(weight.error());
        if (value)
            (*value)["weight"] = Json::UInt64(*weight);
        return value;
    }

    request_or_error buildCallerClassesSet(const argument_list& arguments, const flag_values&)
    {
        const request_or_error classes = parseClasses(arguments, 1);
        if (!classes)
            return classes;
        Json::Value value;
        value["service"] = arguments[0];
        value["classes"] = *classes;
        return value;
    }

    request_or_error buildDataCentreName(const argument_list& arguments, const flag_values&)
    {
        Json::Value value;
        value["dataCentre"] = arguments[0];
        return value;
    }

    request_or_error buildExplainFlow(const argument_list& arguments, const flag_values& flags)
    {
        Json::Value value;
        value["caller"] = arguments[0];
        value["address"] = arguments[1];
        setTextFromFlag(value, "protocol", flags, "protocol");
        return value;
    }

    request_or_error buildChanges(const argument_list& arguments, const flag_values& flags)
    {
        Json::Value value(Json::objectValue);
        if (!arguments.empty())
            value["service"] = arguments[0];
        setTextFromFlag(value, "dataCentre", flags, "data_centre");
        if (value.size() != 1)
            return tl::unexpected<std::string>("give either a SERVICE or --data_centre");
        const std::string problem = setNumberFromFlag(value, "sinceRevision", flags, "since_revision");
        if (!problem.empty())
            return tl::unexpected(problem);
        return value;
    }

    request_or_error buildWatch(const argument_list&, const flag_values& flags)
    {
        Json::Value value;
        value["sinceIndex"] = 0;
        const std::string problem = setNumberFromFlag(value, "sinceIndex", flags, "since_index");
        if (!problem.empty())
            return tl::unexpected(problem);
        return value;
    }

} // namespace

const std::vector<subcommand>& subcommands()
{
    static const std::vector<subcommand> all {
        { "service create", "serviceCreate", true, "NAME ADDRESS [CLASS...]", 2, unlimited, { "protocol" },
            "Create a service. A caller CLASS is NAME=PREFIX or NAME=PREFIX@NEW_FLOWS.", buildServiceCreate },
        { "service remove", "serviceRemove", true, "SERVICE", 1, 1, {},
            "Remove a service. Its address stays reserved until every host has applied the removal.",
            buildServiceName },
        { "service list", "serviceList", false, "", 0, 0, {}, "List the services.", buildEmptyRequest },
        { "service show", "serviceShow", false, "SERVICE", 1, 1, {},
            "Show the configuration and the limits of a service.", buildServiceName },
        { "server add", "serverAdd", true, "SERVICE ADDRESS", 2, 2,
            { "data_centre", "weight", "cold_new_flows", "new_flows" },
            "Add a backend server, which begins with a cold start. --data_centre is required.",
            buildServerAdd },
        { "server drain", "serverDrain", true, "SERVICE ID", 2, 2, {},
            "Give a backend server no new flows; established flows stay.", buildServerReference },
        { "server undrain", "serverUndrain", true, "SERVICE ID", 2, 2, {},
            "Give a draining backend server new flows again.", buildServerReference },
        { "server remove", "serverRemove", true, "SERVICE ID", 2, 2, {}, "Remove a backend server.",
            buildServerReference },
        { "server weight", "serverWeight", true, "SERVICE ID WEIGHT", 3, 3, {},
            "Change the share of load of a backend server, 1 to 10000.", buildServerWeight },
        { "caller-classes set", "callerClassesSet", true, "SERVICE [CLASS...]", 1, unlimited, {},
            "Replace all caller classes. A CLASS is NAME=PREFIX or NAME=PREFIX@NEW_FLOWS.",
            buildCallerClassesSet },
        { "data-centre out", "dataCentreOut", true, "DATA_CENTRE", 1, 1, {},
            "Take a data centre out: its flows are given up.", buildDataCentreName },
        { "data-centre in", "dataCentreIn", true, "DATA_CENTRE", 1, 1, {}, "Bring a data centre back.",
            buildDataCentreName },
        { "status", "status", false, "", 0, 0, {},
            "Show what the host knows of hosts, data centres and the store.", buildEmptyRequest },
        { "explain", "explainFlow", false, "CALLER ADDRESS", 2, 2, { "protocol" },
            "Explain where the host would send the flow of a caller to a service address, and why.",
            buildExplainFlow },
        { "changes", "changes", false, "[SERVICE]", 0, 1, { "data_centre", "since_revision" },
            "List the last operations on a service or, with --data_centre, on a data centre.", buildChanges },
        { "watch", "watch", false, "", 0, 0, { "since_index", "interval_ms", "answers" },
            "Show changes of the configuration as the host applies them.", buildWatch },
    };
    return all;
}

const subcommand* findSubcommand(const std::vector<std::string>& arguments)
{
    const std::string first = arguments.empty() ? "" : arguments[0];
    const std::string firstTwo = arguments.size() < 2 ? first : first + " " + arguments[1];
    for (const subcommand& candidate : subcommands()) {
        if (candidate.name == first || candidate.name == firstTwo)
            return &candidate;
    }
    return nullptr;
}

std::vector<std::string> flagsOf(const subcommand& chosen)
{
    std::vector<std::string> names { "host", "token", "token_file", "output", "timeout_ms" };
    if (chosen.isCommand)
        names.insert(names.end(), { "operation_id", "author", "expected_revision" });
    names.insert(names.end(), chosen.flags.begin(), chosen.flags.end());
    names.emplace_back("help");
    return names;
}

std::string helpText()
{
    std::string text = "Usage: shallotcovectl SUBCOMMAND [ARGUMENTS] [FLAGS]\n\nSubcommands:\n";
    for (const subcommand& entry : subcommands())
        text += "  " + entry.name + (entry.arguments.empty() ? "" : " ") + entry.arguments + "\n      "
            + entry.summary + "\n";
    text += "  explain-log FILE FLOW\n      tells from a log what happened to a flow; asks no host\n";
    return text
        + "\n`shallotcovectl SUBCOMMAND --help` shows the flags of a subcommand.\n\n"
          "Exit codes: 0 done, 1 usage, 2 refused, 3 host or store unavailable, 4 outcome unknown, "
          "5 unauthorized.\n";
}

std::string helpText(const subcommand& chosen)
{
    std::string text = "Usage: shallotcovectl " + chosen.name + (chosen.arguments.empty() ? "" : " ")
        + chosen.arguments + " [FLAGS]\n\n" + chosen.summary + "\n\nFlags:\n";
    for (const std::string& name : flagsOf(chosen)) {
        const flag_description& flag = *findFlag(name);
        const std::string value = flag.placeholder;
        text += "  --" + name + (value.empty() ? "" : "=" + value) + "\n      " + flag.help + "\n";
    }
    return text;
}

} // namespace shallotcove::ctl
