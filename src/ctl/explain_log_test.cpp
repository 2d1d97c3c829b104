#include "explain_log.hpp"

#include <sstream>

#include <criterion/criterion.h>

#include "run.hpp"

namespace ctl = shallotcove::ctl;

namespace {

// Shortened log lines from a scenario run.
const std::string log = R"(not a line of the log
h1 {"event":600,"name":"FlowPlaced","host":"h1","flow":"100.65.0.9:1267>198.18.0.1:443","server":"9716134d57","elapsedMs":0}
h1 {"event":600,"name":"FlowPlaced","host":"h1","flow":"100.65.0.1:1>198.18.0.1:443","server":"aa","elapsedMs":0}
h1 {"event":605,"name":"ServerSuspected","host":"h1","server":"9716134d57","unanswered":2,"openFlows":3}
h1 {"event":605,"name":"ServerSuspected","host":"h1","server":"bb","unanswered":2,"openFlows":3}
h2 {"event":318,"name":"ServerChanged","host":"h2","server":"i-9716134d57","change":"gone"}
h1 {"event":603,"name":"FlowEnded","host":"h1","flow":"100.65.0.1:1>198.18.0.1:443","server":"aa","elapsedMs":48}
h1 {"event":604,"name":"FlowAbandoned","host":"h1","flow":"100.65.0.9:1267>198.18.0.1:443","server":"9716134d57","elapsedMs":1300}
h2 {"event":602,"name":"FlowRefused","host":"h2","flow":"100.65.0.2:2>198.18.0.1:443","reason":"noServer"}
)";

ctl::flow_explanation explain(const std::string& flow)
{
    std::istringstream input(log);
    return ctl::explainFlow(input, flow);
}

} // namespace

// Guards against an explanation that gives the wrong cause or leaves out the lines about the flow's server.
Test(explain_log, explains_crash_refusal_and_normal_end)
{
    const ctl::flow_explanation crashed = explain("100.65.0.9:1267>198.18.0.1:443");
    cr_assert(crashed.outcome.find("9716134d57 stopped answering") != std::string::npos, "%s",
        crashed.outcome.c_str());
    cr_assert(crashed.lines.find("i-9716134d57") != std::string::npos);
    cr_assert(crashed.lines.find("\"bb\"") == std::string::npos
        && crashed.lines.find("\"aa\"") == std::string::npos);
    cr_assert(explain("100.65.0.2:2>198.18.0.1:443").outcome.find("noServer") != std::string::npos);
    cr_assert(explain("100.65.0.1:1>198.18.0.1:443").outcome.find("closed by its caller after 48 ms")
        != std::string::npos);
    cr_assert(explain("100.65.0.3:3>198.18.0.1:443").outcome.empty());
}

// Guards against treating a missing file as an empty log.
Test(explain_log, missing_file_is_an_error)
{
    std::ostringstream output;
    std::ostringstream errors;
    const ctl::invocation commandLine { { "explain-log", "/nonexistent/log", "100.65.0.3:3>198.18.0.1:443" },
        {}, "" };
    cr_assert(ctl::run(commandLine, output, errors) == ctl::exit_code::Usage);
    cr_assert(errors.str().find("/nonexistent/log") != std::string::npos);
}
