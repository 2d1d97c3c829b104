#pragma once

#include <iosfwd>
#include <string>

namespace shallotcove::ctl {

/// What a log contains about one flow.
struct flow_explanation {
    /// Lines about the flow, and about its servers and hosts around that time, in the order of the log.
    std::string lines;
    /// How the flow ended, as a sentence; empty if the log has no line about the flow.
    std::string outcome;
};

/// Reads the JSON log lines of one or more hosts and explains what happened to a flow. The flow is named as
/// in the log: "198.51.100.7:40001>192.0.2.1:443". Text before the JSON of a line is kept; lines without JSON
/// are skipped.
flow_explanation explainFlow(std::istream& log, const std::string& flow);

} // namespace shallotcove::ctl
