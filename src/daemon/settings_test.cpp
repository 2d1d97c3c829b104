#include <shallotcove/daemon/settings.hpp>

#include <string>
#include <vector>

#include <criterion/criterion.h>

namespace daemon_ns = shallotcove::daemon;

namespace {

const std::string validSettings = R"({
    // One field on each line, so that the line of each problem is known.
    "name": "buc-a-1",
    "dataCentre": "buc-a",
    "packetAddress": "127.0.1.1:6080",
    "peerAddress": "127.0.1.1:7946",
    "operatorAddress": "127.0.1.1:7100",
    "metricsAddress": "127.0.1.1:9100",
    "seeds": ["127.0.1.2:7946"],
    "peerKey": "00112233445566778899aabbccddeeff00112233445566778899AABBCCDDEEFF",
    "operatorToken": "0123456789abcdef",
    "store": { "address": "127.0.0.1:2379", "requestTimeoutMs": 2000 },
    "hostList": { "address": "127.0.0.1:2380", "pollIntervalMs": 1000 },
    "flows": { "localFlows": 524288, "trackedFlows": 131072, "idleTimeoutSeconds": 900 },
    "log": { "level": "info", "format": "json", "file": "" },
    "shutdownTimeoutSeconds": 30
})";

std::string replaced(const std::string& from, const std::string& to)
{
    std::string text = validSettings;
    const std::size_t position = text.find(from);
    cr_assert(position != std::string::npos, "'%s' does not occur in the valid settings", from.c_str());
    return text.replace(position, from.size(), to);
}

struct invalid_setting {
    const char* from;
    const char* to;
    const char* report;
};

const std::string address
    = "must be an address like \"192.0.2.1:7946\" or \"[2001:db8::1]:7946\" with a port ";

} // namespace

// Parsing must accept valid settings and store each value in its own field.
Test(settings, reads_every_field)
{
    const tl::expected<daemon_ns::settings, daemon_ns::settings_problems> parsed
        = daemon_ns::parseSettings(validSettings);
    cr_assert(parsed.has_value());
    cr_assert(parsed->name == "buc-a-1" && parsed->dataCentre == "buc-a");
    cr_assert(parsed->packetAddress.toString() == "127.0.1.1:6080");
    cr_assert(parsed->peerAddress.toString() == "127.0.1.1:7946");
    cr_assert(parsed->operatorAddress.toString() == "127.0.1.1:7100");
    cr_assert(parsed->metricsAddress.toString() == "127.0.1.1:9100");
    cr_assert(parsed->seeds.size() == 1 && parsed->seeds[0].toString() == "127.0.1.2:7946");
    cr_assert(parsed->operatorToken == "0123456789abcdef" && parsed->peerKey.size() == 64);
    cr_assert(parsed->store.address.toString() == "127.0.0.1:2379");
    cr_assert(parsed->store.requestTimeout == std::chrono::seconds(2));
    cr_assert(parsed->hostList.address.toString() == "127.0.0.1:2380");
    cr_assert(parsed->hostList.pollInterval == std::chrono::seconds(1));
    cr_assert(parsed->flows == (daemon_ns::flow_settings { 524288, 131072, std::chrono::seconds(900) }));
    cr_assert(parsed->log.level == daemon_ns::log_level::Info);
    cr_assert(parsed->shutdownTimeout == std::chrono::seconds(30));
}

// Each invalid value must be rejected with a report that names the field, line, value and allowed range.
Test(settings, reports_every_bad_value)
{
    const std::vector<invalid_setting> table {
        { "\"buc-a-1\"", "\"Buc A\"",
            "f:3: name must be 1 to 63 lower-case letters, digits and hyphens, found \"Buc A\"" },
        { "\"name\": \"buc-a-1\",", "", "f:1: name is required" },
        { "\"buc-a\",", "7,",
            "f:4: dataCentre must be 1 to 63 lower-case letters, digits and hyphens, found 7" },
        { "127.0.1.1:6080", "127.0.1.1",
            "f:5: packetAddress {address}0 (chosen by the system) to 65535, found \"127.0.1.1\"" },
        { "127.0.1.1:6080", "0.0.0.0:1",
            "f:5: packetAddress must be a specific address, not the wildcard address, found \"0.0.0.0:1\"" },
        { "127.0.1.1:7946", "127.0.1.1:6080",
            "f:6: peerAddress must differ from packetAddress, found \"127.0.1.1:6080\"" },
        { "\"127.0.1.1:7100\"", "null",
            "f:7: operatorAddress {address}0 (chosen by the system) to 65535, found null" },
        { "127.0.1.1:9100", "127.0.1.1:7100",
            "f:8: metricsAddress must differ from operatorAddress, found \"127.0.1.1:7100\"" },
        { "127.0.1.2:7946", "127.0.1.2:0", "f:9: seeds[0] {address}1 to 65535, found \"127.0.1.2:0\"" },
        { "[\"127.0.1.2:7946\"]", "{}",
            "f:9: seeds must be a list of up to 64 addresses like \"192.0.2.1:7946\", found {}" },
        { "\"00112233", "\"0011223x", "f:10: peerKey must be 64 hexadecimal digits" },
        { "\"0123456789abcdef\"", "\"short\"",
            "f:11: operatorToken must be a string of 16 to 255 characters" },
        { "127.0.0.1:2379", "store.example:2379",
            "f:12: store.address {address}1 to 65535, found \"store.example:2379\"" },
        { "{ \"address\": \"127.0.0.1:2379\", \"requestTimeoutMs\": 2000 }", "[]",
            "f:12: store must be an object, found []" },
        { "\"requestTimeoutMs\": 2000", "\"requestTimeoutMs\": 9",
            "f:12: store.requestTimeoutMs must be a whole number from 10 to 60000, found 9" },
        { "\"pollIntervalMs\": 1000", "\"pollIntervalMs\": 60001",
            "f:13: hostList.pollIntervalMs must be a whole number from 10 to 60000, found 60001" },
        { "524288", "524287",
            "f:14: flows.localFlows must be a whole number from 1024 to 16777216, a power of two, found "
            "524287" },
        { "131072", "-1024",
            "f:14: flows.trackedFlows must be a whole number from 1024 to 16777216, a power of two, found "
            "-1024" },
        { "900 }", "10.5 }",
            "f:14: flows.idleTimeoutSeconds must be a whole number from 10 to 86400, found 10.5" },
        { "\"info\"", "\"loud\"",
            "f:15: log.level must be one of \"debug\", \"info\", \"warning\", \"error\", found \"loud\"" },
        { "\"json\"", "1", "f:15: log.format must be one of \"json\", \"text\", found 1" },
        { "\"file\": \"\"", "\"file\": 1",
            "f:15: log.file must be a string of 0 to 4096 characters, found 1" },
        { "Seconds\": 30", "Seconds\": \"30\"",
            "f:16: shutdownTimeoutSeconds must be a whole number from 1 to 3600, found \"30\"" },
        { "\"file\"", "\"fil\"", "f:15: log.fil unknown field; known here: file, format, level" },
        { "\"dataCentre\": \"buc-a\"", "\"name\": \"buc-a\"",
            "f:4: is not valid JSON: Duplicate key: 'name'" },
        { "\"dataCentre\": \"buc-a\",", "\"dataCentre\": \"buc-a\"",
            "f:5: is not valid JSON: Missing ',' or '}' in object declaration" },
    };
    for (const invalid_setting& row : table) {
        const tl::expected<daemon_ns::settings, daemon_ns::settings_problems> parsed
            = daemon_ns::parseSettings(replaced(row.from, row.to));
        cr_assert(!parsed.has_value() && parsed.error().size() == 1, "%s", row.report);
        std::string expected = row.report;
        const std::size_t placeholder = expected.find("{address}");
        if (placeholder != std::string::npos)
            expected.replace(placeholder, 9, address + "from ");
        const std::string report = daemon_ns::formatProblem(parsed.error()[0], "f");
        cr_assert(report == expected, "got '%s', expected '%s'", report.c_str(), expected.c_str());
    }
}

// All mistakes must be reported at once; otherwise an operator has to start the program once for each of
// them.
Test(settings, reports_all_problems_together)
{
    const tl::expected<daemon_ns::settings, daemon_ns::settings_problems> parsed
        = daemon_ns::parseSettings("{ \"color\": 1,\n \"name\": 2,\n \"log\": { \"level\": 3 } }");
    cr_assert(!parsed.has_value());
    // Nine required fields are missing besides name; unknown field, name and level are wrong.
    cr_assert(parsed.error().size() == 12, "%zu problems", parsed.error().size());
    cr_assert(parsed.error().back().field == "log.level" && parsed.error().back().line == 3);
}

// Text that is not JSON, or JSON that is not an object, must be reported as a problem and must not end the
// program.
Test(settings, rejects_text_that_is_not_an_object)
{
    for (const std::string& text : { std::string(), std::string("[]"), std::string("\"x\""), std::string("{"),
             std::string(1000, '['), std::string("{} x"), std::string("\0", 1) }) {
        const tl::expected<daemon_ns::settings, daemon_ns::settings_problems> parsed
            = daemon_ns::parseSettings(text);
        cr_assert(!parsed.has_value() && parsed.error().size() == 1, "'%s'", text.c_str());
    }
    cr_assert(!daemon_ns::readSettings("/nonexistent/settings.json").has_value());
}

// Problem reports reach logs and terminals, so they must not repeat the values of secret fields.
Test(settings, does_not_repeat_secrets)
{
    for (const char* const field : { "operatorToken", "peerKey" }) {
        const tl::expected<daemon_ns::settings, daemon_ns::settings_problems> parsed
            = daemon_ns::parseSettings("{\"" + std::string(field) + "\": \"hush\"}");
        for (const daemon_ns::settings_problem& problem : parsed.error())
            cr_assert(daemon_ns::formatProblem(problem, "f").find("hush") == std::string::npos);
    }
}

// The example files must be valid settings, named after the host they describe.
Test(settings, examples_are_valid)
{
    for (const char* const name :
        { "armonia-buc-a-1", "armonia-buc-b-1", "consortium-aviles-1", "consortium-gijon-1" }) {
        const std::string file = std::string(SHALLOTCOVE_SOURCE_DIR) + "/examples/settings/" + name + ".json";
        const tl::expected<daemon_ns::settings, daemon_ns::settings_problems> parsed
            = daemon_ns::readSettings(file);
        cr_assert(
            parsed.has_value(), "%s: %s", name, daemon_ns::formatProblem(parsed.error()[0], file).c_str());
        cr_assert(std::string(name).ends_with(parsed->name));
    }
}
