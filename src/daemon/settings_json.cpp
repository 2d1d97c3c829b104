#include "settings_json.hpp"

#include <algorithm>
#include <memory>
#include <sstream>

namespace shallotcove::daemon {

namespace {

    // jsoncpp reports "* Line 3, Column 5\n  Missing ',' ...\n" for each error. Only the first one is used.
    settings_problem syntaxProblem(const std::string& errors)
    {
        settings_problem problem { "", 1, "", "is not valid JSON: " };
        std::istringstream lines(errors);
        std::string position;
        std::string message;
        std::getline(lines, position);
        std::getline(lines, message);
        const std::size_t number = position.find_first_of("0123456789");
        if (number != std::string::npos)
            problem.line = std::stoul(position.substr(number));
        problem.message += message.substr(std::min(message.size(), message.find_first_not_of(' ')));
        return problem;
    }

    tl::expected<Json::Value, settings_problem> parseJson(std::string_view text)
    {
        Json::CharReaderBuilder builder;
        Json::CharReaderBuilder::strictMode(&builder.settings_);
        builder["allowComments"] = true;
        builder["rejectDupKeys"] = true;
        builder["stackLimit"] = 16;
        const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
        Json::Value root;
        std::string errors;
        try {
            if (!reader->parse(text.data(), text.data() + text.size(), &root, &errors))
                return tl::unexpected(syntaxProblem(errors));
        } catch (const Json::Exception& failure) {
            // jsoncpp throws when the nesting exceeds the stack limit.
            return tl::unexpected(
                settings_problem { "", 1, "", "is not valid JSON: " + std::string(failure.what()) });
        }
        return root;
    }

} // namespace

tl::expected<Json::Value, settings_problems> parseSettingsObject(std::string_view text)
{
    tl::expected<Json::Value, settings_problem> root = parseJson(text);
    if (!root)
        return tl::unexpected(settings_problems { root.error() });
    if (!root->isObject())
        return tl::unexpected(settings_problems { { "", 1, "", "must be a JSON object" } });
    return *root;
}

settings_problems sortedByLine(settings_problems problems)
{
    std::stable_sort(problems.begin(), problems.end(),
        [](const settings_problem& left, const settings_problem& right) { return left.line < right.line; });
    return problems;
}

} // namespace shallotcove::daemon
