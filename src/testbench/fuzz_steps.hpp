#pragma once

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include "oracle_history.hpp"

namespace shallotcove::testbench {

enum class fuzz_step_kind : std::uint8_t {
    Run,
    Burst,
    ReusePairs,
    // Planned changes by operators.
    AddServer,
    DrainServer,
    UndrainServer,
    RemoveServer,
    SetWeight,
    CreateService,
    RemoveService,
    DataCentreOut,
    DataCentreIn,
    LeaveHost,
    StartHost,
    // Faults of hosts and backend servers.
    KillHost,
    PauseHost,
    KillServer,
    // Faults of the network and of the store.
    Partition,
    MessageLoss,
    StoreAway,
    StoreSlow,
    LostWrite
};

struct fuzz_step {
    fuzz_step_kind kind { fuzz_step_kind::Run };
    std::uint32_t number {};
};

std::ostream& operator<<(std::ostream&, const fuzz_step&);

/// Deliberate defects, one for each invariant in its order. The tests use them to prove that each predicate
/// of the oracle can fail. The number of a variant is the number of its invariant.
enum class broken_variant : std::uint8_t {
    None,
    NewestWeights,
    NoReservation,
    NoColdLimits,
    OutIgnored,
    SplitRequests,
    RefusedAfterForward,
    ForwardedTwice,
    DrainIgnored,
    ResetAtLeave,
    RevertedConfig
};

struct fuzz_failure {
    std::string invariant {};
    std::string message;
    std::uint64_t seed {};
    std::size_t steps {};
    /// The shortest sequence found that still fails.
    std::vector<fuzz_step> shrunk {};
    /// Steps in all sequences up to and including the one that failed.
    std::size_t stepsTried {};
};

struct fuzz_options {
    std::uint64_t seed { 1 };
    /// Steps of a sequence.
    std::size_t steps { 60 };
    /// Number of sequences; the seed increases by one for each.
    std::size_t sequences { 1 };
    broken_variant variant { broken_variant::None };
    /// Checks only this invariant; all if empty.
    std::string invariant {};
    /// Maximum number of runs for shrinking; each takes as long as a sequence.
    std::size_t shrinkRuns { 200 };
};

run_history runSequence(std::uint64_t seed, const std::vector<fuzz_step>&, broken_variant);
std::vector<fuzz_step> generateSteps(std::uint64_t seed, std::size_t count);
/// Runs sequences until one violates an invariant.
std::optional<fuzz_failure> fuzz(const fuzz_options&);
/// Formats a report: the violation, the shrunk sequence and a command line that reproduces it.
std::string describe(const fuzz_failure&, const fuzz_options&);

} // namespace shallotcove::testbench
