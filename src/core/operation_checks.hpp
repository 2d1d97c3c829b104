#pragma once

#include <optional>
#include <string>
#include <vector>

#include <shallotcove/core/operations.hpp>

namespace shallotcove::core {

/// Checks the arguments of an operation and collects the problems, so that all are reported together.
class argument_checks {
public:
    void name(const std::string& field, const std::string& value);
    void text(const std::string& field, const std::string& value, std::size_t maximumBytes);
    void number(const std::string& field, std::uint64_t value, std::uint64_t minimum, std::uint64_t maximum);
    /// Requires a port other than 0 and a unicast address other than the unspecified one.
    void address(const std::string& field, const socket_address& value);
    void callerClasses(const std::vector<caller_class>& classes);
    void addProblem(const std::string& field, const std::string& found, const std::string& allowed);

    /// A failure that lists all problems, if there are any.
    std::optional<operation_failure> failure() const;

private:
    std::string m_message;
};

/// Outcome of checking an operation context against the recorded operations and the revision of a value. The
/// operation goes ahead if neither field is set.
struct context_decision {
    std::optional<operation_failure> failure;
    /// Revision that the same operation produced before.
    std::optional<std::uint64_t> repeatedRevision;
};

/// Checks the context of an operation. The summary describes the operation with its arguments: a repeated id
/// with another summary is rejected.
context_decision checkContext(const std::vector<operation_record>& operations, std::uint64_t revision,
    const std::string& summary, const operation_context&);

/// Appends a record and drops the oldest ones beyond maximumOperationRecords.
std::vector<operation_record> withRecord(std::vector<operation_record> operations, operation_record record);

/// Summary of a list of caller classes: of bounded length, with a digest that tells different lists apart.
std::string summaryOf(const std::vector<caller_class>& classes);

} // namespace shallotcove::core
