#include <shallotcove/daemon/event_log.hpp>

#include <chrono>
#include <cstdio>
#include <ctime>
#include <fstream>

#include <json/json.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/hierarchy.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

namespace shallotcove::daemon {

namespace {

    constexpr std::array<const char*, 4> levelNames { "debug", "info", "warning", "error" };
    constexpr std::array<log4cplus::LogLevel, 4> log4cplusLevels { log4cplus::DEBUG_LOG_LEVEL,
        log4cplus::INFO_LOG_LEVEL, log4cplus::WARN_LOG_LEVEL, log4cplus::ERROR_LOG_LEVEL };

    // RFC 3339 format, in UTC with milliseconds.
    std::string currentTimestamp()
    {
        const std::chrono::system_clock::time_point now = std::chrono::system_clock::now();
        const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
        const auto milliseconds
            = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
        std::tm parts {};
        gmtime_r(&seconds, &parts);
        std::array<char, 32> text {};
        const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
        std::snprintf(text.data() + length, text.size() - length, ".%03dZ", static_cast<int>(milliseconds));
        return text.data();
    }

    std::string eventNumber(event id) { return std::to_string(static_cast<unsigned>(id)); }

    std::string jsonLine(
        const event_definition& row, std::span<const field_value> values, const std::string& hostName)
    {
        std::string line = "{\"time\":\"" + currentTimestamp() + "\",\"level\":\""
            + levelNames[static_cast<std::size_t>(row.level)] + "\",\"event\":" + eventNumber(row.id)
            + ",\"name\":\"" + std::string(row.name) + "\",\"host\":"
            + Json::valueToQuotedString(hostName.c_str()) + ",\"text\":\"" + std::string(row.text) + "\"";
        for (std::size_t i = 0; i < values.size(); ++i)
            line += ",\"" + std::string(row.fields[i]) + "\":"
                + (values[i].isNumber ? values[i].text : Json::valueToQuotedString(values[i].text.c_str()));
        return line + "}";
    }

    std::string textLine(
        const event_definition& row, std::span<const field_value> values, const std::string& hostName)
    {
        std::string line = currentTimestamp() + " " + levelNames[static_cast<std::size_t>(row.level)] + " "
            + eventNumber(row.id) + " " + std::string(row.name) + " host=" + hostName + ": "
            + std::string(row.text);
        // Quoting escapes line breaks in values, so that an event stays on one line.
        for (std::size_t i = 0; i < values.size(); ++i)
            line += " " + std::string(row.fields[i]) + "="
                + (values[i].isNumber ? values[i].text : Json::valueToQuotedString(values[i].text.c_str()));
        return line;
    }

} // namespace

class event_log::implementation {
public:
    implementation(const log_settings& settings, std::string hostName)
        : m_format(settings.format)
        , m_hostName(std::move(hostName))
    {
        log4cplus::SharedAppenderPtr appender;
        if (settings.file.empty())
            appender = new log4cplus::ConsoleAppender(false, true);
        else
            appender = new log4cplus::FileAppender(settings.file, std::ios_base::app, true);
        appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
        logger().addAppender(appender);
        logger().setLogLevel(log4cplusLevels[static_cast<std::size_t>(settings.level)]);
    }

    ~implementation() { m_hierarchy.shutdown(); }

    void writeLine(const event_definition& row, std::span<const field_value> values)
    {
        const log4cplus::LogLevel level = log4cplusLevels[static_cast<std::size_t>(row.level)];
        log4cplus::Logger target = logger();
        if (!target.isEnabledFor(level))
            return;
        target.log(level,
            m_format == log_format::Json ? jsonLine(row, values, m_hostName)
                                         : textLine(row, values, m_hostName));
    }

private:
    log4cplus::Logger logger() { return m_hierarchy.getInstance("shallotcove"); }

    log_format m_format;
    std::string m_hostName;
    log4cplus::Hierarchy m_hierarchy;
};

tl::expected<std::unique_ptr<event_log>, std::string> event_log::create(
    const log_settings& settings, std::string hostName)
{
    log4cplus::initialize();
    // log4cplus reports a file that cannot be opened only on standard error, so the file is tried here first.
    if (!settings.file.empty() && !std::ofstream(settings.file, std::ios_base::app))
        return tl::unexpected("cannot open " + settings.file + " for writing");
    return std::unique_ptr<event_log>(
        new event_log(std::make_unique<implementation>(settings, std::move(hostName))));
}

event_log::event_log(std::unique_ptr<implementation> inner)
    : m_implementation(std::move(inner))
{
}

event_log::~event_log() = default;

void event_log::writeLine(const event_definition& row, std::span<const field_value> values)
{
    m_implementation->writeLine(row, values);
}

} // namespace shallotcove::daemon
