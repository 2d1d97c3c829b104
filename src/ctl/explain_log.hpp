#pragma once

#include <iosfwd>
#include <string>

namespace shallotcove::ctl {

/// What a log tells of one flow.
struct flow_explanation {
    /// Lines on the flow, and on its servers and hosts around that time, in the order of the log.
    std::string lines;
    /// What became of the flow, as a sentence; empty if the log has nothing on it.
    std::string verdict;
};

/// Reads the lines of one or more hosts, as JSON, and tells what happened to a flow. The flow is named as in
/// the log: "198.51.100.7:40001>192.0.2.1:443". Text in front of the JSON of a line is kept; other lines are
/// passed over.
flow_explanation explainFlow(std::istream& log, const std::string& flow);

} // namespace shallotcove::ctl
