#pragma once

#include <array>
#include <optional>
#include <string>

#include "oracle_history.hpp"

namespace shallotcove::testbench {

/// Describes how an invariant is violated; empty if it holds.
using violation = std::optional<std::string>;

// One predicate for each invariant of section 1.2 of docs/design.md. The definition of a predicate states the
// exceptions that it allows.

violation checkEstablishedFlowsSurvive(const run_history&);
violation checkNoPacketToWrongService(const run_history&);
violation checkColdServersAreNotOverloaded(const run_history&);
violation checkNoPacketToDataCentreOut(const run_history&);
violation checkResponsesAreComplete(const run_history&);
violation checkRefusalsAreTruthful(const run_history&);
violation checkExecutedAtMostOnce(const run_history&);
violation checkDrainingServersGetNoNewFlows(const run_history&);
violation checkGracefulShutdownInterruptsNoRequest(const run_history&);
violation checkConfigurationIsApplied(const run_history&);

struct named_predicate {
    const char* name;
    violation (*check)(const run_history&);
};

inline constexpr std::array<named_predicate, 10> allPredicates { { { "I1", checkEstablishedFlowsSurvive },
    { "I2", checkNoPacketToWrongService }, { "I3", checkColdServersAreNotOverloaded },
    { "I4", checkNoPacketToDataCentreOut }, { "I5", checkResponsesAreComplete },
    { "I6", checkRefusalsAreTruthful }, { "I7", checkExecutedAtMostOnce },
    { "I8", checkDrainingServersGetNoNewFlows }, { "I9", checkGracefulShutdownInterruptsNoRequest },
    { "I10", checkConfigurationIsApplied } } };

} // namespace shallotcove::testbench
