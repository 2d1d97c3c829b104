#pragma once

#include <array>
#include <concepts>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include <shallotcove/daemon/event.hpp>

namespace shallotcove::daemon {

/// Value of one field of an event.
struct field_value {
    std::string text;
    bool isNumber {};

    field_value(std::string value) // NOLINT: converts implicitly so that calls read as a list of values
        : text(std::move(value))
    {
    }
    field_value(const char* value) // NOLINT
        : text(value)
    {
    }
    field_value(std::string_view value) // NOLINT
        : text(value)
    {
    }
    template <std::integral Number>
    field_value(Number value) // NOLINT
        : text(std::to_string(value))
        , isNumber(true)
    {
    }
};

/// Writes numbered events, one line each. All threads may use it; it takes a lock, so the packet thread does
/// not.
class event_log {
public:
    /// Returns the reason as the error if the log file cannot be opened.
    static tl::expected<std::unique_ptr<event_log>, std::string> create(
        const log_settings&, std::string hostName);

    ~event_log();

    /// Writes an event. The values of its fields come in the order of eventTable.
    template <event id, typename... Values> void write(const Values&... values)
    {
        static_assert(definitionOf(id).fieldCount() == sizeof...(Values), "one value for each field");
        const std::array<field_value, sizeof...(Values)> list { field_value(values)... };
        writeLine(definitionOf(id), list);
    }

private:
    class implementation;
    explicit event_log(std::unique_ptr<implementation>);
    void writeLine(const event_definition&, std::span<const field_value>);

    std::unique_ptr<implementation> m_implementation;
};

} // namespace shallotcove::daemon
