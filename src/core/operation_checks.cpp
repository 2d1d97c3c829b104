#include "operation_checks.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <set>

#include <xxhash.h>

#include <shallotcove/core/config_limits.hpp>
#include <shallotcove/core/ip_prefix.hpp>

namespace shallotcove::core {

namespace {

    bool isMulticast(const ip_address& address)
    {
        return address.isV4() ? (address.toV4() >> 28) == 0xe : address.bytes[0] == 0xff;
    }

    std::string excerptOf(const std::string& text)
    {
        constexpr std::size_t maximumExcerptBytes = 80;
        if (checkText(text, 0, SIZE_MAX))
            return "a text with control characters or malformed UTF-8";
        return text.size() <= maximumExcerptBytes ? "\"" + text + "\""
                                                  : "a text of " + std::to_string(text.size()) + " bytes";
    }

    std::string conflictMessage(
        const std::vector<operation_record>& operations, std::uint64_t revision, std::uint64_t expected)
    {
        std::string message = "expected revision " + std::to_string(expected)
            + ", but the current revision is " + std::to_string(revision);
        if (expected > revision)
            return message + "; no such revision was made yet";
        std::uint64_t oldestRecorded = revision + 1;
        std::string changes;
        for (const operation_record& operation : operations) {
            if (operation.revision <= expected)
                continue;
            oldestRecorded = std::min(oldestRecorded, operation.revision);
            changes += "; revision " + std::to_string(operation.revision) + " by " + operation.author + ": "
                + operation.summary;
        }
        if (oldestRecorded > expected + 1)
            changes = "; changes before revision " + std::to_string(oldestRecorded)
                + " are no longer recorded" + changes;
        return message + changes;
    }

} // namespace

void argument_checks::name(const std::string& field, const std::string& value)
{
    if (const std::optional<std::string> allowed = checkName(value))
        addProblem(field, excerptOf(value), *allowed);
}

void argument_checks::text(const std::string& field, const std::string& value, std::size_t maximumBytes)
{
    if (const std::optional<std::string> allowed = checkText(value, 1, maximumBytes))
        addProblem(field, excerptOf(value), *allowed);
}

void argument_checks::number(
    const std::string& field, std::uint64_t value, std::uint64_t minimum, std::uint64_t maximum)
{
    if (value < minimum || value > maximum)
        addProblem(field, std::to_string(value), std::to_string(minimum) + " to " + std::to_string(maximum));
}

void argument_checks::address(const std::string& field, const socket_address& value)
{
    const bool isUnspecified = value.address == ip_address {} || value.address == ip_address::fromV4(0);
    if (value.port == 0 || isUnspecified || isMulticast(value.address))
        addProblem(field, value.toString(), "a unicast address with a port of 1 to 65535");
}

void argument_checks::callerClasses(const std::vector<caller_class>& classes)
{
    number("number of classes", classes.size(), 0, maximumCallerClasses);
    std::set<std::string> names;
    std::set<std::string> prefixes;
    for (std::size_t index = 0; index < classes.size() && index < maximumCallerClasses; ++index) {
        const caller_class& callerClass = classes[index];
        const std::string path = "classes[" + std::to_string(index) + "]";
        const ip_prefix prefix { callerClass.prefix, callerClass.prefixLength };
        name(path + ".name", callerClass.name);
        number(path + ".newFlowsPerSecond", callerClass.newFlowsPerSecond, 0, maximumNewFlowsPerSecond);
        if (!prefix.isValid())
            addProblem(path + ".prefix", prefix.toString(), "a prefix whose bits beyond its length are 0");
        if (!names.insert(callerClass.name).second)
            addProblem(path + ".name", excerptOf(callerClass.name), "each name once");
        if (!prefixes.insert(prefix.toString()).second)
            addProblem(path + ".prefix", prefix.toString(), "each prefix once");
    }
}

void argument_checks::addProblem(
    const std::string& field, const std::string& found, const std::string& allowed)
{
    m_message += (m_message.empty() ? "" : "\n") + field + " is " + found + "; allowed: " + allowed;
}

std::optional<operation_failure> argument_checks::failure() const
{
    if (m_message.empty())
        return std::nullopt;
    return operation_failure { operation_error::InvalidArgument, m_message };
}

context_decision checkContext(const std::vector<operation_record>& operations, std::uint64_t revision,
    const std::string& summary, const operation_context& context)
{
    argument_checks checks;
    checks.text("operationId", context.operationId, maximumOperationIdBytes);
    checks.text("author", context.author, maximumAuthorBytes);
    if (const std::optional<operation_failure> failure = checks.failure())
        return { failure, std::nullopt };
    const auto repeated = std::find_if(operations.begin(), operations.end(),
        [&](const operation_record& operation) { return operation.id == context.operationId; });
    if (repeated != operations.end()) {
        if (repeated->summary == summary)
            return { std::nullopt, repeated->revision };
        return { operation_failure { operation_error::InvalidArgument,
                     "operationId " + context.operationId + " was used for another operation, by "
                         + repeated->author + ": " + repeated->summary },
            std::nullopt };
    }
    if (context.expectedRevision && *context.expectedRevision != revision) {
        return { operation_failure { operation_error::Conflict,
                     conflictMessage(operations, revision, *context.expectedRevision) },
            std::nullopt };
    }
    return {};
}

std::vector<operation_record> withRecord(std::vector<operation_record> operations, operation_record record)
{
    if (operations.size() >= maximumOperationRecords) {
        const std::ptrdiff_t excess
            = static_cast<std::ptrdiff_t>(operations.size() + 1 - maximumOperationRecords);
        operations.erase(operations.begin(), operations.begin() + excess);
    }
    operations.push_back(std::move(record));
    return operations;
}

std::string summaryOf(const std::vector<caller_class>& classes)
{
    std::string description;
    for (const caller_class& callerClass : classes) {
        description += callerClass.name + " "
            + ip_prefix { callerClass.prefix, callerClass.prefixLength }.toString() + " "
            + std::to_string(callerClass.newFlowsPerSecond) + ", ";
    }
    std::array<char, 17> digest {};
    std::snprintf(digest.data(), digest.size(), "%016llx",
        static_cast<unsigned long long>(XXH3_64bits(description.data(), description.size())));
    return std::to_string(classes.size()) + " caller classes, digest " + digest.data();
}

} // namespace shallotcove::core
