#include <shallotcove/rpc/operator_error.hpp>

namespace shallotcove {
namespace rpc {

    std::string errorName(operator_error error)
    {
        switch (error) {
        case operator_error::InvalidArgument:
            return "InvalidArgument";
        case operator_error::NotFound:
            return "NotFound";
        case operator_error::AlreadyExists:
            return "AlreadyExists";
        case operator_error::Conflict:
            return "Conflict";
        case operator_error::AddressInUse:
            return "AddressInUse";
        case operator_error::TooManyChanges:
            return "TooManyChanges";
        case operator_error::Unauthorized:
            return "Unauthorized";
        case operator_error::StoreUnavailable:
            return "StoreUnavailable";
        case operator_error::OutcomeUnknown:
            return "OutcomeUnknown";
        }
        return "Unknown";
    }

} // namespace rpc
} // namespace shallotcove
