#include "run.hpp"

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

#include <criterion/criterion.h>

#include <shallotcove/rpc/operator_server.hpp>

#include "connection.hpp"
#include "fake_operator_handler.hpp"
#include "flags.hpp"
#include "scripted_peer.hpp"
#include "subcommands.hpp"
#include "table_output.hpp"

namespace ctl = shallotcove::ctl;
namespace rpc = shallotcove::rpc;

namespace {

const std::string token = "0123456789abcdef";

struct run_result {
    ctl::exit_code code;
    std::string output;
    std::string errors;
};

using flag_values = std::map<std::string, std::string>;

std::vector<std::string> split(const std::string& text)
{
    std::istringstream stream(text);
    std::vector<std::string> words;
    for (std::string word; stream >> word;)
        words.push_back(word);
    return words;
}

run_result runCtl(std::uint16_t port, const std::string& arguments, const flag_values& extraFlags = {})
{
    flag_values flags { { "host", "127.0.0.1:" + std::to_string(port) }, { "token", token } };
    for (const std::pair<const std::string, std::string>& flag : extraFlags)
        flags[flag.first] = flag.second;
    std::ostringstream output;
    std::ostringstream errors;
    const ctl::exit_code code = ctl::run({ split(arguments), flags, "ana" }, output, errors);
    return { code, output.str(), errors.str() };
}

std::unique_ptr<rpc::operator_server> startServer(rpc::operator_handler& handler)
{
    rpc::operator_server_options options;
    options.token = token;
    options.maximumRequestBytes = 10'000;
    tl::expected<std::unique_ptr<rpc::operator_server>, std::string> server
        = rpc::operator_server::start(options, handler);
    cr_assert(server.has_value());
    return std::move(*server);
}

Json::Value parseJson(const std::string& text)
{
    Json::Value value;
    std::istringstream stream(text);
    stream >> value;
    return value;
}

std::string readFile(const std::string& path)
{
    std::ifstream file(SHALLOTCOVE_SOURCE_DIR "/" + path);
    cr_assert(file.good(), "%s", path.c_str());
    return { std::istreambuf_iterator<char>(file), {} };
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

// Guards against arguments that are sent in the wrong call or field.
Test(ctl, subcommands_build_requests)
{
    rpc::fake_operator_handler handler(
        [](const rpc::fake_operator_handler::recorded_call&) -> rpc::call_result {
            return parseJson(R"({"revision":4,"index":17,"changed":[]})");
        });
    const std::unique_ptr<rpc::operator_server> server = startServer(handler);
    struct request_case {
        const char* arguments;
        flag_values flags;
        const char* call;
        const char* request;
    };
    const std::vector<request_case> cases {
        { "service create a 192.0.2.1:443 couples=198.51.100.0/24@500 office=2001:db8::/32",
            { { "protocol", "udp" } }, "serviceCreate",
            R"({"name":"a","address":"192.0.2.1:443","protocol":"udp","classes":[{"name":"couples",
                "prefix":"198.51.100.0/24","newFlowsPerSecond":500},{"name":"office","prefix":"2001:db8::/32",
                "newFlowsPerSecond":0}]})" },
        { "service create a 192.0.2.1:443", {}, "serviceCreate",
            R"({"name":"a","address":"192.0.2.1:443","classes":[]})" },
        { "service remove a", {}, "serviceRemove", R"({"service":"a"})" },
        { "service list", {}, "serviceList", "{}" },
        { "service show a", {}, "serviceShow", R"({"service":"a"})" },
        { "server add a 10.0.0.1:1", { { "data_centre", "buc-a" } }, "serverAdd",
            R"({"service":"a","server":{"address":"10.0.0.1:1","dataCentre":"buc-a"}})" },
        { "server add a 10.0.0.1:1",
            { { "data_centre", "b" }, { "weight", "5" }, { "cold_new_flows", "6" }, { "new_flows", "7" } },
            "serverAdd",
            R"({"service":"a","server":{"address":"10.0.0.1:1","dataCentre":"b","weight":5,
                "coldNewFlowsPerSecond":6,"newFlowsPerSecond":7}})" },
        { "server drain a 3", {}, "serverDrain", R"({"service":"a","server":3})" },
        { "server undrain a 3", {}, "serverUndrain", R"({"service":"a","server":3})" },
        { "server remove a 3", {}, "serverRemove", R"({"service":"a","server":3})" },
        { "server weight a 3 250", {}, "serverWeight", R"({"service":"a","server":3,"weight":250})" },
        { "caller-classes set a", {}, "callerClassesSet", R"({"service":"a","classes":[]})" },
        { "data-centre out b", {}, "dataCentreOut", R"({"dataCentre":"b"})" },
        { "data-centre in b", {}, "dataCentreIn", R"({"dataCentre":"b"})" },
        { "status", {}, "status", "{}" },
        { "explain 10.0.0.1:5 192.0.2.1:443", {}, "explainFlow",
            R"({"caller":"10.0.0.1:5","address":"192.0.2.1:443"})" },
        { "changes a", { { "since_revision", "3" } }, "changes", R"({"service":"a","sinceRevision":3})" },
        { "changes", { { "data_centre", "b" } }, "changes", R"({"dataCentre":"b"})" },
        { "watch", { { "since_index", "9" }, { "answers", "1" } }, "watch", R"({"sinceIndex":9})" },
    };
    std::set<std::string> called;
    for (const request_case& entry : cases) {
        const run_result result = runCtl(server->port(), entry.arguments, entry.flags);
        cr_assert(result.code == ctl::exit_code::Done, "%s: %s", entry.arguments, result.errors.c_str());
        const rpc::fake_operator_handler::recorded_call recorded = handler.recordedCalls().back();
        called.insert(recorded.name);
        cr_assert(recorded.name == entry.call, "%s", entry.arguments);
        // Compares texts, because jsoncpp treats signed and unsigned numbers as different.
        cr_assert(recorded.request.toStyledString() == parseJson(entry.request).toStyledString(), "%s: %s",
            entry.arguments, recorded.request.toStyledString().c_str());
    }
    cr_assert(called.size() == rpc::operator_client::calls().size());
}

// Guards against a call of the schema without subcommand, completion or manual.
Test(ctl, schema_completion_and_manual_match_the_subcommands)
{
    const Json::Value schema = parseJson(readFile("src/rpc/operator_schema.json"));
    const std::string completion = readFile("packaging/completion/shallotcovectl");
    const std::string manual = readFile("packaging/man/shallotcovectl.1");
    const std::string page = readFile("docs/operator-calls.md");
    std::map<std::string, bool> commands;
    for (const Json::Value& call : schema)
        commands[call["name"].asString()] = call["params"].isMember("operation");
    cr_assert(commands.size() == ctl::subcommands().size());
    for (const ctl::subcommand& entry : ctl::subcommands()) {
        cr_assert(commands.count(entry.call) == 1 && commands[entry.call] == entry.isCommand, "%s",
            entry.name.c_str());
        const std::vector<std::string> words = split(entry.name);
        for (const std::string& word : words)
            cr_assert(contains(completion, word), "completion: %s", entry.name.c_str());
        cr_assert(contains(manual, "\n.B " + entry.name), "manual: %s", entry.name.c_str());
        cr_assert(contains(page, "`" + entry.call + "`") && contains(page, "`" + entry.name + "`"),
            "page: %s", entry.name.c_str());
        for (const std::string& flag : ctl::flagsOf(entry)) {
            cr_assert(ctl::findFlag(flag) != nullptr, "%s", flag.c_str());
            cr_assert(contains(completion, "--" + flag), "completion: %s", flag.c_str());
            cr_assert(contains(manual, "\n.B --" + flag), "manual: %s", flag.c_str());
        }
        const run_result general = runCtl(1, words.size() > 1 ? words[0] : "", { { "help", "true" } });
        cr_assert(general.code == ctl::exit_code::Done && contains(general.output, entry.name));
        const run_result help = runCtl(1, entry.name, { { "help", "true" } });
        cr_assert(help.code == ctl::exit_code::Done && contains(help.output, entry.summary), "%s",
            entry.name.c_str());
    }
}

// Guards against exit codes from which a script infers the wrong class of error.
Test(ctl, maps_host_errors_to_exit_codes)
{
    rpc::operator_error error {};
    rpc::fake_operator_handler handler(
        [&](const rpc::fake_operator_handler::recorded_call&) -> rpc::call_result {
            return tl::unexpected(rpc::call_failure { error, "because" });
        });
    const std::unique_ptr<rpc::operator_server> server = startServer(handler);
    struct refusal {
        rpc::operator_error error;
        int code;
    };
    const std::vector<refusal> refusals { { rpc::operator_error::InvalidArgument, 2 },
        { rpc::operator_error::NotFound, 2 }, { rpc::operator_error::AlreadyExists, 2 },
        { rpc::operator_error::Conflict, 2 }, { rpc::operator_error::AddressInUse, 2 },
        { rpc::operator_error::TooManyChanges, 2 }, { rpc::operator_error::Unauthorized, 5 },
        { rpc::operator_error::StoreUnavailable, 3 }, { rpc::operator_error::OutcomeUnknown, 4 } };
    for (const refusal& entry : refusals) {
        error = entry.error;
        const std::string name = rpc::errorName(error);
        const run_result table = runCtl(server->port(), "server drain a 3", { { "operation_id", "my-id" } });
        cr_assert(static_cast<int>(table.code) == entry.code, "%s", name.c_str());
        cr_assert(table.errors.starts_with(name + ": because\n") && table.output.empty(), "%s",
            table.errors.c_str());
        cr_assert(
            contains(table.errors, "--operation_id=my-id") == (entry.code == 4), "%s", table.errors.c_str());
        const run_result structured = runCtl(
            server->port(), "server drain a 3", { { "operation_id", "my-id" }, { "output", "json" } });
        const Json::Value value = parseJson(structured.errors);
        cr_assert(structured.code == table.code && value["error"] == name && value["message"] == "because");
        cr_assert(value["operationId"] == "my-id" && value.isMember("advice") == (entry.code == 4));
    }
}

// Guards against a wrong exit code or missing advice when the host is unreachable or its response can't be
// used.
Test(ctl, maps_connection_failures_to_exit_codes)
{
    rpc::fake_operator_handler handler(
        [](const rpc::fake_operator_handler::recorded_call&) -> rpc::call_result {
            return Json::Value(Json::objectValue);
        });
    std::unique_ptr<rpc::operator_server> server = startServer(handler);
    const std::uint16_t port = server->port();
    const run_result wrongToken = runCtl(port, "server drain a 3", { { "token", "0123456789abcdeF" } });
    cr_assert(
        wrongToken.code == ctl::exit_code::Unauthorized && contains(wrongToken.errors, "Unauthorized: "));
    const run_result oversized = runCtl(port, "server drain " + std::string(20'000, 'a') + " 3");
    cr_assert(oversized.code == ctl::exit_code::Refused && contains(oversized.errors, "at most 10000 bytes"),
        "%s", oversized.errors.c_str());
    cr_assert(handler.recordedCalls().empty());
    server.reset();
    const run_result refused = runCtl(port, "server drain a 3");
    cr_assert(refused.code == ctl::exit_code::Unavailable && contains(refused.errors, "Connection refused"));
    cr_assert(!contains(refused.errors, "--operation_id"));

    struct lost_response {
        const char* name;
        std::string text;
    };
    const std::vector<lost_response> responses { { "closed", "" },
        { "malformed JSON", rpc::scripted_peer::formatHttpResponse("200 OK", "{\"jsonrpc\":") },
        { "server fault", rpc::scripted_peer::formatHttpResponse("500 Internal Server Error", "") } };
    for (const lost_response& lost : responses) {
        for (const bool isCommand : { true, false }) {
            std::string request;
            run_result result;
            {
                rpc::scripted_peer peer([&](boost::asio::ip::tcp::socket& socket) {
                    request = rpc::scripted_peer::readRequest(socket);
                    rpc::scripted_peer::writeAll(socket, lost.text);
                });
                result = runCtl(peer.port(), isCommand ? "server drain a 3" : "status");
            }
            const ctl::exit_code expected
                = isCommand ? ctl::exit_code::OutcomeUnknown : ctl::exit_code::Unavailable;
            cr_assert(result.code == expected, "%s: %s", lost.name, result.errors.c_str());
            // The advice names the generated id that the host received.
            const std::size_t id = result.errors.find("--operation_id=ctl-");
            cr_assert((id != std::string::npos) == isCommand, "%s", result.errors.c_str());
            cr_assert(!isCommand || contains(request, "\"" + result.errors.substr(id + 15, 36) + "\""), "%s",
                request.c_str());
        }
    }
}

// Guards against sending a call to a host despite a usage error.
Test(ctl, rejects_usage_errors)
{
    rpc::fake_operator_handler handler(
        [](const rpc::fake_operator_handler::recorded_call&) -> rpc::call_result {
            return Json::Value(Json::objectValue);
        });
    const std::unique_ptr<rpc::operator_server> server = startServer(handler);
    struct usage_error_case {
        const char* arguments;
        flag_values flags;
        const char* message;
    };
    const std::vector<usage_error_case> cases {
        { "", {}, "a subcommand is missing" },
        { "server", {}, "no such subcommand" },
        { "server delete a 3", {}, "no such subcommand" },
        { "server drain a", {}, "number of arguments of server drain is 1; allowed: SERVICE ID" },
        { "server drain a 3 4", {}, "number of arguments of server drain is 3;" },
        { "status x", {}, "number of arguments of status is 1; allowed: none" },
        { "server drain a -3", {}, "server id is \"-3\"; allowed: a whole number" },
        { "server drain a 99999999999999999999", {}, "server id is" },
        { "server weight a 3 x", {}, "weight is \"x\"" },
        { "server add a 10.0.0.1:1", {}, "--data_centre is missing" },
        { "server add a 10.0.0.1:1", { { "data_centre", "b" }, { "weight", "x" } }, "--weight is \"x\"" },
        { "status", { { "weight", "3" } }, "status does not take the flag --weight" },
        { "status", { { "operation_id", "x" } }, "status does not take the flag --operation_id" },
        { "status", { { "output", "xml" } }, "--output is \"xml\"; allowed: json, table" },
        { "status", { { "host", "localhost:1" } }, "--host is \"localhost:1\"; allowed: an IPv4" },
        { "status", { { "host", "127.0.0.1:0" } }, "--host is" },
        { "status", { { "timeout_ms", "0" } }, "--timeout_ms is \"0\"; allowed: 1 to 3600000" },
        { "status", { { "token_file", "/x" } }, "give exactly one of --token_file and --token" },
        { "status", { { "token", "a\r\nb" } }, "visible ASCII" },
        { "server drain a 3", { { "author", "" } }, "--author is missing" },
        { "server drain a 3", { { "expected_revision", "x" } }, "--expected_revision is \"x\"" },
        { "caller-classes set a couples", {}, "caller class is \"couples\"; allowed: NAME=PREFIX" },
        { "caller-classes set a b=::/0@x", {}, "new flows of caller class b is \"x\"" },
        { "changes", {}, "give either a SERVICE or --data_centre" },
        { "changes a", { { "data_centre", "b" } }, "give either" },
        { "changes a", { { "since_revision", "x" } }, "--since_revision is \"x\"" },
        { "watch", { { "since_index", "x" } }, "--since_index is \"x\"" },
        { "watch", { { "interval_ms", "x" } }, "--interval_ms is \"x\"" },
    };
    for (const usage_error_case& wrong : cases) {
        const run_result result = runCtl(server->port(), wrong.arguments, wrong.flags);
        cr_assert(result.code == ctl::exit_code::Usage && result.output.empty(), "%s", wrong.message);
        cr_assert(contains(result.errors, wrong.message), "%s: %s", wrong.message, result.errors.c_str());
    }
    cr_assert(handler.recordedCalls().empty());
}

// Guards against a token that includes the line end of its file, and against treating a missing file as an
// empty token.
Test(ctl, reads_the_token_file)
{
    const std::string path
        = (std::filesystem::temp_directory_path() / ("ctl_test_token." + std::to_string(getpid()))).string();
    std::ofstream(path) << token << "\nrest\n";
    const tl::expected<rpc::operator_client_options, std::string> options
        = ctl::readConnection({ {}, { { "token_file", path }, { "host", "[::1]:7100" } }, "" });
    std::filesystem::remove(path);
    cr_assert(options && options->token == token && options->host == "::1" && options->port == 7100);
    const tl::expected<rpc::operator_client_options, std::string> missing
        = ctl::readConnection({ {}, { { "token_file", path } }, "" });
    cr_assert(!missing && contains(missing.error(), "can't read a token from file " + path));
}

// Guards against a watch that misses changes or shows them more than once.
Test(ctl, watch_continues_from_the_last_index)
{
    int queryCount = 0;
    rpc::fake_operator_handler handler(
        [&](const rpc::fake_operator_handler::recorded_call&) -> rpc::call_result {
            ++queryCount;
            const std::string index = std::to_string(10 + queryCount);
            return parseJson(R"({"index":)" + index + R"(,"changed":)"
                + (queryCount == 2 ? "[]" : R"([{"key":"services/a","index":)" + index + "}]") + "}");
        });
    const std::unique_ptr<rpc::operator_server> server = startServer(handler);
    const run_result result = runCtl(server->port(), "watch", { { "answers", "3" }, { "interval_ms", "0" } });
    cr_assert(result.code == ctl::exit_code::Done);
    cr_assert(contains(result.output, "services/a  11") && contains(result.output, "services/a  13"));
    cr_assert(!contains(result.output, "12"));
    const std::vector<rpc::fake_operator_handler::recorded_call> recorded = handler.recordedCalls();
    cr_assert(recorded.size() == 3 && recorded[1].request["sinceIndex"] == 11
        && recorded[2].request["sinceIndex"] == 12);
}

// Guards against tables with missing fields or misaligned columns.
Test(ctl, formats_tables)
{
    const Json::Value value
        = parseJson(R"({"host":"buc-a-1","unreached":["x","y"],"empty":[],"isReady":true,"none":null,
        "services":[{"name":"nunți","servers":14},{"name":"a","id":7}],"inner":{"b":1}})");
    const std::string expected = "empty      -\n"
                                 "host       buc-a-1\n"
                                 "isReady    yes\n"
                                 "none       -\n"
                                 "unreached  x, y\n"
                                 "inner\n"
                                 "  b  1\n"
                                 "services\n"
                                 "  name   servers  id\n"
                                 "  nunți  14       -\n"
                                 "  a      -        7\n";
    const std::string printed = ctl::formatTable(value);
    cr_assert(printed == expected, "%s", printed.c_str());
}
