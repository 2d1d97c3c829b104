#include "table_output.hpp"

#include <algorithm>
#include <vector>

namespace shallotcove::ctl {

namespace {

    using row = std::vector<std::string>;

    std::string formatCell(const Json::Value& value)
    {
        if (value.isString())
            return value.asString();
        if (value.isNull())
            return "-";
        if (value.isBool())
            return value.asBool() ? "yes" : "no";
        if (value.isArray() && value.empty())
            return "-";
        if (value.isArray() && !value[0].isObject() && !value[0].isArray()) {
            std::string text;
            for (const Json::Value& element : value)
                text += (text.empty() ? "" : ", ") + formatCell(element);
            return text;
        }
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "";
        builder["emitUTF8"] = true;
        return Json::writeString(builder, value);
    }

    /// Number of UTF-8 characters, for the width of columns.
    std::size_t countCharacters(const std::string& text)
    {
        return static_cast<std::size_t>(std::count_if(text.begin(), text.end(),
            [](char byte) { return (static_cast<unsigned char>(byte) & 0xc0) != 0x80; }));
    }

    /// Names of all fields; those that identify a row come first.
    row collectColumns(const Json::Value& rows)
    {
        row columns;
        for (const char* const name : { "name", "id", "number", "key" }) {
            if (rows[0].isMember(name))
                columns.emplace_back(name);
        }
        for (const Json::Value& entry : rows) {
            for (const std::string& name : entry.getMemberNames()) {
                if (std::find(columns.begin(), columns.end(), name) == columns.end())
                    columns.push_back(name);
            }
        }
        return columns;
    }

    std::string formatRows(const std::vector<row>& rows, const std::string& indent)
    {
        std::vector<std::size_t> widths(rows.front().size());
        for (const row& cells : rows) {
            for (std::size_t index = 0; index < cells.size(); ++index)
                widths[index] = std::max(widths[index], countCharacters(cells[index]));
        }
        std::string text;
        for (const row& cells : rows) {
            std::string line = indent;
            for (std::size_t index = 0; index < cells.size(); ++index)
                line += cells[index] + std::string(widths[index] - countCharacters(cells[index]) + 2, ' ');
            line.erase(line.find_last_not_of(' ') + 1);
            text += line + "\n";
        }
        return text;
    }

    bool isTable(const Json::Value& value)
    {
        return value.isArray() && !value.empty()
            && std::all_of(
                value.begin(), value.end(), [](const Json::Value& entry) { return entry.isObject(); });
    }

    std::string formatArray(const Json::Value& value, const std::string& indent)
    {
        const row columns = collectColumns(value);
        std::vector<row> rows { columns };
        for (const Json::Value& entry : value) {
            row cells;
            for (const std::string& column : columns)
                cells.push_back(formatCell(entry[column]));
            rows.push_back(std::move(cells));
        }
        return formatRows(rows, indent);
    }

    std::string formatObject(const Json::Value& object, const std::string& indent)
    {
        std::vector<row> fields;
        std::string nestedFields;
        for (const std::string& name : object.getMemberNames()) {
            const Json::Value& value = object[name];
            if (isTable(value))
                nestedFields += indent + name + "\n" + formatArray(value, indent + "  ");
            else if (value.isObject() && !value.empty())
                nestedFields += indent + name + "\n" + formatObject(value, indent + "  ");
            else
                fields.push_back({ name, formatCell(value) });
        }
        return (fields.empty() ? "" : formatRows(fields, indent)) + nestedFields;
    }

} // namespace

std::string formatTable(const Json::Value& result) { return formatObject(result, ""); }

} // namespace shallotcove::ctl
