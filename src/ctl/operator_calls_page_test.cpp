#include <fstream>
#include <sstream>

#include <criterion/criterion.h>

#include <shallotcove/rpc/operator_server.hpp>

#include "run.hpp"
#include "sample_handler.hpp"

namespace ctl = shallotcove::ctl;
namespace rpc = shallotcove::rpc;

namespace {

struct page_row {
    std::string command;
    std::string code;
    std::string message;
};

/// Reads the rows of the form | `command` | code | message | in docs/operator-calls.md.
std::vector<page_row> readRows()
{
    std::ifstream page(SHALLOTCOVE_SOURCE_DIR "/docs/operator-calls.md");
    std::vector<page_row> all;
    for (std::string line; std::getline(page, line);) {
        const std::size_t command = line.find("` | ");
        const std::size_t code = line.find(" | ", command + 4);
        if (!line.starts_with("| `shallotcovectl ") || code == std::string::npos)
            continue;
        all.push_back({ line.substr(18, command - 18), line.substr(command + 4, code - command - 4),
            line.substr(code + 3, line.size() - code - 5) });
    }
    return all;
}

/// Splits the command of a row into arguments and flags.
ctl::invocation parseCommand(const std::string& command, std::uint16_t port)
{
    ctl::invocation commandLine;
    commandLine.defaultAuthor = "ana";
    commandLine.flags = { { "host", "127.0.0.1:" + std::to_string(port) }, { "token", "0123456789abcdef" } };
    std::istringstream stream(command);
    for (std::string word; stream >> word;) {
        const std::size_t equals = word.find('=');
        if (word.starts_with("--"))
            commandLine.flags[word.substr(2, equals - 2)] = word.substr(equals + 1);
        else
            commandLine.arguments.push_back(word);
    }
    return commandLine;
}

} // namespace

// Guards against documented errors that differ from those that operators get.
Test(operator_calls_page, documented_errors_match_the_program)
{
    rpc::fake_operator_handler handler(ctl::sample_handler::handleCall);
    rpc::operator_server_options options;
    options.token = "0123456789abcdef";
    const tl::expected<std::unique_ptr<rpc::operator_server>, std::string> server
        = rpc::operator_server::start(options, handler);
    cr_assert(server.has_value());
    const std::vector<page_row> documented = readRows();
    cr_assert(documented.size() >= 30, "%zu rows", documented.size());
    for (const page_row& row : documented) {
        std::ostringstream output;
        std::ostringstream errors;
        const int code
            = static_cast<int>(ctl::run(parseCommand(row.command, (*server)->port()), output, errors));
        // The page leaves out the help that follows a usage error.
        std::string message = errors.str().substr(0, errors.str().find("\n`shallotcovectl "));
        message = message.substr(0, message.find("\n\nUsage:"));
        while (!message.empty() && message.back() == '\n')
            message.pop_back();
        for (std::size_t end = message.find('\n'); end != std::string::npos; end = message.find('\n'))
            message.replace(end, 1, "; ");
        cr_assert(std::to_string(code) == row.code && message == row.message,
            "| `shallotcovectl %s` | %d | %s |", row.command.c_str(), code, message.c_str());
    }
}
