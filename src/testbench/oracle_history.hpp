#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <shallotcove/core/time.hpp>

namespace shallotcove::testbench {

enum class accepted_kind : std::uint8_t {
    ServiceCreated,
    ServiceRemoved,
    ServerAdded,
    ServerDrained,
    ServerUndrained,
    ServerRemoved,
    WeightSet,
    DataCentreOut,
    DataCentreIn
};

/// An operator's change that was accepted and written to the store.
struct accepted_change {
    core::timestamp at {};
    accepted_kind kind { accepted_kind::WeightSet };
    std::uint32_t service {};
    std::uint32_t server {};
    /// Number of the service address, set with ServiceCreated.
    std::uint32_t address {};
    /// Set with ServerAdded, DataCentreOut and DataCentreIn.
    std::uint32_t dataCentre {};
    std::uint32_t coldNewFlowsPerSecond {};
    /// Revision of the service or data centre after the change.
    std::uint64_t revision {};
    /// Operation id.
    std::string operation {};
};

enum class disturbance_kind : std::uint8_t {
    HostLost,
    HostPaused,
    HostLeft,
    HostStarted,
    Partition,
    StoreUnreachable,
    MessageLoss,
    ServerDied
};

/// A fault, or the start or leave of a host.
struct disturbance {
    disturbance_kind kind { disturbance_kind::HostLost };
    core::timestamp from {};
    /// The maximum while it lasts.
    core::timestamp to { core::duration::max() };
    /// Number of the host, data centre (Partition) or server (ServerDied).
    std::uint32_t target {};
    /// Set with ServerDied.
    std::uint32_t service {};
};

/// One transmission of a caller's packet, which the fabric sent to a host.
struct received_packet {
    core::timestamp at {};
    std::uint32_t flow {};
    /// Number of the packet in its flow; 0 for the first packet.
    std::uint32_t number {};
    std::uint32_t host {};
};

/// A packet that a host sent to a backend server.
struct forwarded_packet {
    core::timestamp at {};
    std::uint32_t flow {};
    std::uint32_t number {};
    /// Index in run_history::received of the transmission that was forwarded.
    std::uint32_t receivedIndex {};
    std::uint32_t host {};
    std::uint32_t service {};
    std::uint32_t server {};
};

struct refused_packet {
    core::timestamp at {};
    std::uint32_t flow {};
    std::uint32_t number {};
    /// Whether the refusal tells the caller that none of its requests was executed.
    bool reportsNotExecuted {};
};

/// The execution of a request by a backend server.
struct execution {
    core::timestamp at {};
    std::uint32_t flow {};
    std::uint32_t request {};
    std::uint32_t service {};
    std::uint32_t server {};
};

/// A part of a response that a caller received on the address pair of flow.
struct response_part {
    core::timestamp at {};
    std::uint32_t flow {};
    /// The flow and request that the part responds to.
    std::uint32_t requestFlow {};
    std::uint32_t request {};
    std::uint32_t part {};
};

inline constexpr std::uint32_t partsPerResponse = 3;
inline constexpr std::uint32_t packetsPerRequest = 2;

enum class flow_end : std::uint8_t { Open, Closed, Refused, Unanswered, WrongServer, Reset, Lost };

/// A flow from the point of view of its caller.
struct flow_record {
    core::timestamp opened {};
    std::uint32_t address {};
    /// The hold that its first request makes. A caller repeats a hold only after a refusal that tells that it
    /// was not executed.
    std::uint32_t hold {};
    bool isEstablished {};
    core::timestamp established {};
    std::uint32_t service {};
    std::uint32_t server {};
    flow_end end { flow_end::Open };
    core::timestamp ended { core::duration::max() };
};

/// A revision of a service or data centre that a host handed to its packet engine.
struct applied_config {
    core::timestamp at {};
    std::uint32_t host {};
    /// Counts the starts of the host.
    std::uint32_t startCount {};
    bool isDataCentre {};
    /// Id of the service, or number of the data centre.
    std::uint32_t subject {};
    std::uint64_t revision {};
};

/// Everything that the oracle checks of a run: accepted changes, disturbances, packets received, forwarded
/// and refused, and their effects, each with its time.
struct run_history {
    core::timestamp begin {};
    core::timestamp end {};
    std::uint32_t hosts {};
    std::uint32_t dataCentres {};
    std::vector<accepted_change> accepted {};
    std::vector<disturbance> disturbances {};
    std::vector<received_packet> received {};
    std::vector<forwarded_packet> forwarded {};
    std::vector<refused_packet> refused {};
    std::vector<execution> executions {};
    std::vector<response_part> responses {};
    std::vector<flow_record> flows {};
    std::vector<applied_config> appliedConfigs {};
};

} // namespace shallotcove::testbench
