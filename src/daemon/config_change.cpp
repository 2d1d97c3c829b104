#include "config_change.hpp"

#include <shallotcove/core/operation_json.hpp>

#include "store_health.hpp"

namespace shallotcove::daemon {

rpc::call_failure toFailure(const core::operation_failure& failure)
{
    switch (failure.error) {
    case core::operation_error::InvalidArgument:
        return { rpc::operator_error::InvalidArgument, failure.message };
    case core::operation_error::NotFound:
        return { rpc::operator_error::NotFound, failure.message };
    case core::operation_error::AlreadyExists:
        return { rpc::operator_error::AlreadyExists, failure.message };
    case core::operation_error::Conflict:
        return { rpc::operator_error::Conflict, failure.message };
    case core::operation_error::AddressInUse:
        return { rpc::operator_error::AddressInUse, failure.message };
    case core::operation_error::TooManyChanges:
        return { rpc::operator_error::TooManyChanges, failure.message };
    }
    return { rpc::operator_error::InvalidArgument, failure.message };
}

rpc::call_failure toFailure(store::store_error error, bool isWrite)
{
    // Unavailable means that the request was not sent; after any other error the write may have taken effect.
    if (isWrite && error != store::store_error::Unavailable)
        return { rpc::operator_error::OutcomeUnknown,
            "the store did not answer the write (" + nameOf(error)
                + "); repeat the call with the same operationId to learn the outcome" };
    return { rpc::operator_error::StoreUnavailable,
        "the store cannot be reached (" + nameOf(error) + "); nothing was changed" };
}

rpc::call_failure invalidValue(const std::string& key, const core::config_problems& problems)
{
    return { rpc::operator_error::StoreUnavailable,
        "the store's value of " + key + " is not valid: " + core::describeProblems(problems)
            + "; nothing was changed" };
}

std::optional<rpc::call_failure> detectConflict(const std::string& key, const std::string& author,
    std::uint64_t revisionBefore, std::uint64_t currentRevision,
    const std::vector<core::operation_record>& operations)
{
    std::uint64_t ownChanges = 0;
    for (const core::operation_record& record : operations) {
        if (record.revision <= revisionBefore)
            continue;
        if (record.author != author)
            return rpc::call_failure { rpc::operator_error::Conflict,
                key + " is at revision " + std::to_string(currentRevision) + ", was at "
                    + std::to_string(revisionBefore) + "; changed by " + record.author + ": "
                    + record.summary };
        ++ownChanges;
    }
    if (currentRevision == revisionBefore + ownChanges)
        return std::nullopt;
    return rpc::call_failure { rpc::operator_error::Conflict,
        key + " is at revision " + std::to_string(currentRevision) + ", was at "
            + std::to_string(revisionBefore) };
}

} // namespace shallotcove::daemon
