#pragma once

#include <iosfwd>

#include "invocation.hpp"

namespace shallotcove::ctl {

enum class exit_code {
    Done = 0,
    Usage = 1,
    Refused = 2,
    Unavailable = 3,
    OutcomeUnknown = 4,
    Unauthorized = 5,
};

/// Runs a subcommand. Writes its result to `output`, and error messages and the help after a usage error to
/// `errors`.
exit_code run(const invocation&, std::ostream& output, std::ostream& errors);

} // namespace shallotcove::ctl
