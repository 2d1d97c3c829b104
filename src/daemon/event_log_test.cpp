#include <shallotcove/daemon/event_log.hpp>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

#include <criterion/criterion.h>
#include <json/json.h>

namespace daemon_ns = shallotcove::daemon;

namespace {

std::string temporaryFile()
{
    std::string name = (std::filesystem::temp_directory_path() / "shallotcove-log-XXXXXX").string();
    const int file = mkstemp(name.data());
    cr_assert(file >= 0);
    close(file);
    return name;
}

std::string writeEvents(daemon_ns::log_settings settings)
{
    settings.file = temporaryFile();
    {
        const tl::expected<std::unique_ptr<daemon_ns::event_log>, std::string> log
            = daemon_ns::event_log::create(settings, "buc-a-1");
        cr_assert(log.has_value());
        (*log)->write<daemon_ns::event::ConfigApplied>(17, 2U);
        (*log)->write<daemon_ns::event::StartFailed>("name", "a \"b\"\nc", std::string("cause"));
    }
    std::ifstream file(settings.file);
    std::ostringstream text;
    text << file.rdbuf();
    std::remove(settings.file.c_str());
    return text.str();
}

} // namespace

// Each line must be valid JSON for log collectors, also when values contain quotes or line breaks.
Test(event_log, json_lines_parse)
{
    std::istringstream lines(writeEvents({ daemon_ns::log_level::Info, daemon_ns::log_format::Json, "" }));
    std::string line;
    cr_assert(static_cast<bool>(std::getline(lines, line)));
    Json::Value first;
    cr_assert(Json::Reader().parse(line, first), "%s", line.c_str());
    cr_assert(first["event"].asUInt() == 302 && first["name"].asString() == "ConfigApplied");
    cr_assert(first["host"].asString() == "buc-a-1" && first["level"].asString() == "info");
    cr_assert(first["configIndex"].asUInt() == 17 && first["services"].asUInt() == 2);
    cr_assert(first["time"].asString().size() == 24);
    cr_assert(static_cast<bool>(std::getline(lines, line)));
    Json::Value second;
    cr_assert(Json::Reader().parse(line, second), "%s", line.c_str());
    cr_assert(second["value"].asString() == "a \"b\"\nc");
    cr_assert(!std::getline(lines, line));
}

// Text lines must contain the fields, and events below the configured level must not be written.
Test(event_log, text_lines_and_level)
{
    const std::string text = writeEvents({ daemon_ns::log_level::Error, daemon_ns::log_format::Text, "" });
    cr_assert(text.find("ConfigApplied") == std::string::npos);
    cr_assert(text.find(" error 104 StartFailed host=buc-a-1: host cannot start field=\"name\"")
            != std::string::npos,
        "%s", text.c_str());
}

// A log file that cannot be opened must be an error, so that no host runs without its configured log.
Test(event_log, refuses_a_file_that_cannot_be_opened)
{
    const tl::expected<std::unique_ptr<daemon_ns::event_log>, std::string> log = daemon_ns::event_log::create(
        { daemon_ns::log_level::Info, daemon_ns::log_format::Json, "/nonexistent/shallotcoved.log" },
        "buc-a-1");
    cr_assert(!log.has_value() && log.error().find("/nonexistent/shallotcoved.log") != std::string::npos);
}
