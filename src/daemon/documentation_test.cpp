#include <shallotcove/daemon/event.hpp>
#include <shallotcove/daemon/metric.hpp>
#include <shallotcove/daemon/settings.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include <criterion/criterion.h>

namespace daemon_ns = shallotcove::daemon;

namespace {

using table_row = std::vector<std::string>;

std::string trimmed(const std::string& text)
{
    const std::size_t first = text.find_first_not_of(' ');
    return first == std::string::npos ? std::string()
                                      : text.substr(first, text.find_last_not_of(' ') - first + 1);
}

// Returns the rows of the table of a page, without its two heading rows.
std::vector<table_row> readTable(const std::string& page)
{
    std::ifstream file(std::string(SHALLOTCOVE_SOURCE_DIR) + "/docs/" + page);
    std::vector<table_row> rows;
    for (std::string line; std::getline(file, line);) {
        if (!line.starts_with("|"))
            continue;
        table_row row;
        std::istringstream cells(line.substr(1));
        for (std::string cell; std::getline(cells, cell, '|');)
            row.push_back(trimmed(cell));
        rows.push_back(row);
    }
    cr_assert(rows.size() > 2, "%s has no table", page.c_str());
    rows.erase(rows.begin(), rows.begin() + 2);
    return rows;
}

template <typename Names> std::string joined(const Names& names)
{
    std::string list;
    for (const std::string_view name : names) {
        if (!name.empty())
            list += (list.empty() ? "" : ", ") + std::string(name);
    }
    return list.empty() ? "(none)" : list;
}

} // namespace

// docs/events.md must list every event with the level and the fields that the program writes.
Test(documentation, events_match_the_catalogue)
{
    const char* const levels[] = { "debug", "info", "warning", "error" };
    const std::vector<table_row> rows = readTable("events.md");
    cr_assert(rows.size() == daemon_ns::eventTable.size());
    for (std::size_t i = 0; i < rows.size(); ++i) {
        const daemon_ns::event_definition& event = daemon_ns::eventTable[i];
        const table_row& row = rows[i];
        cr_assert(row.size() == 6, "row %zu", i);
        cr_assert(row[0] == std::to_string(static_cast<unsigned>(event.id)), "row %zu", i);
        cr_assert(row[1] == event.name, "%s", row[1].c_str());
        cr_assert(row[2] == levels[static_cast<std::size_t>(event.level)], "%s", row[1].c_str());
        cr_assert(row[3] == joined(event.fields), "%s", row[1].c_str());
        cr_assert(row[4].size() > 10 && !row[5].empty(), "%s", row[1].c_str());
        cr_assert(i == 0 || event.id > daemon_ns::eventTable[i - 1].id, "%s", row[1].c_str());
    }
}

// Every event in eventTable, and so in docs/events.md, must be written somewhere in the program.
Test(documentation, every_event_is_written)
{
    std::string sources;
    for (const std::filesystem::directory_entry& file :
        std::filesystem::directory_iterator(std::string(SHALLOTCOVE_SOURCE_DIR) + "/src/daemon")) {
        const std::string name = file.path().filename().string();
        if (!name.ends_with(".cpp") || name.ends_with("_test.cpp"))
            continue;
        std::ifstream source(file.path());
        sources.append(std::istreambuf_iterator<char>(source), {});
    }
    for (const daemon_ns::event_definition& event : daemon_ns::eventTable) {
        const std::string use = "event::" + std::string(event.name) + ">(";
        cr_assert(sources.find(use) != std::string::npos, "%s", use.c_str());
    }
}

// docs/metrics.md must list exactly the metrics that the program has, since dashboards are built from it.
Test(documentation, metrics_match_the_page)
{
    const char* const kinds[] = { "counter", "gauge", "histogram" };
    const std::vector<table_row> rows = readTable("metrics.md");
    cr_assert(rows.size() == daemon_ns::metricTable.size());
    for (std::size_t i = 0; i < rows.size(); ++i) {
        const daemon_ns::metric_definition& metric = daemon_ns::metricTable[i];
        const table_row& row = rows[i];
        cr_assert(static_cast<std::size_t>(metric.id) == i, "%s", row[0].c_str());
        cr_assert(row[0] == "`" + std::string(metric.name) + "`", "%s", row[0].c_str());
        cr_assert(row[1] == kinds[static_cast<std::size_t>(metric.kind)], "%s", row[0].c_str());
        cr_assert(row[2] == joined(metric.labels), "%s", row[0].c_str());
        cr_assert(row[3].starts_with(std::string(metric.help).substr(0, metric.help.size() - 1)), "%s",
            row[0].c_str());
    }
}

// docs/settings.md must list exactly the fields that the program reads.
Test(documentation, settings_match_the_page)
{
    std::set<std::string> documented;
    for (const table_row& row : readTable("settings.md"))
        documented.insert(row[0].substr(1, row[0].size() - 2));
    // An unknown field in each object makes the program list all fields that it knows there.
    const tl::expected<daemon_ns::settings, daemon_ns::settings_problems> parsed = daemon_ns::parseSettings(
        R"({"x": 1, "store": {"x": 1}, "hostList": {"x": 1}, "flows": {"x": 1}, "log": {"x": 1}})");
    std::set<std::string> known;
    for (const daemon_ns::settings_problem& problem : parsed.error()) {
        const std::string messagePrefix = "unknown field; known here: ";
        if (!problem.message.starts_with(messagePrefix))
            continue;
        const std::string prefix = problem.field.substr(0, problem.field.size() - 1);
        std::istringstream names(problem.message.substr(messagePrefix.size()));
        for (std::string name; std::getline(names, name, ',');)
            known.insert(prefix + trimmed(name));
    }
    for (const char* const object : { "store", "hostList", "flows", "log" })
        known.erase(object);
    cr_assert(known.size() == 20 && known == documented);
}
