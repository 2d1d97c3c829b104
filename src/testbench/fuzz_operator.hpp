#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <shallotcove/core/operations.hpp>

#include "fuzz_traffic.hpp"
#include "oracle_history.hpp"
#include "scenario_store.hpp"

namespace shallotcove::testbench {

/// Simulated operators: change services and data centres in the store through the operations of core.
class fuzz_operator {
public:
    /// Whether every host that may be serving has applied an index, as known to the host that receives the
    /// operator's call.
    using applied_check = std::function<bool(core::config_index)>;
    struct operator_options {
        std::uint32_t dataCentres { 2 };
        /// Whether a service may take an address that is reserved for another service. Set only by
        /// broken_variant::NoReservation.
        bool ignoresReservations {};
    };
    /// How a call is repeated: not at all, with the same operation id, or with a new operation id and the
    /// same expected revision.
    enum class repetition : std::uint8_t { None, SameOperation, SameRevision };

    fuzz_operator(scenario_store&, run_history&, const operator_options&);

    /// Stores the first service, with servers that are already warm and one active epoch.
    void createInitialService(core::timestamp now);
    void addServer(std::uint32_t number, repetition, core::timestamp now);
    void changeServer(accepted_kind, std::uint32_t number, repetition, core::timestamp now);
    void createService(std::uint32_t number, const applied_check&, core::timestamp now);
    void removeService(std::uint32_t number, core::timestamp now);
    void setDataCentre(std::uint32_t number, bool isOut, core::timestamp now);

    static std::string dataCentreName(std::uint32_t number) { return "dc-" + std::to_string(number); }
    /// Returns the number of the data centre, or the number of data centres if none has this name.
    std::uint32_t dataCentreNumber(const std::string& name) const;
    fuzz_server* serverAt(const core::socket_address&);
    /// Returns the number of a service address. Addresses of removed services are included, because callers
    /// do not know of a removal.
    std::uint32_t pickAddress(std::uint32_t number) const;
    /// Picks a server by number; null if that server has died.
    fuzz_server* pickServer(std::uint32_t number);

private:
    using operation_function
        = std::function<core::service_result(const core::service_config&, const core::operation_context&)>;
    struct service_state {
        std::string name;
        std::uint32_t id {};
        std::uint32_t address {};
        bool isRemoved {};
    };

    std::optional<core::service_config> readService(const std::string& name) const;
    std::string nextOperationId() { return "operation-" + std::to_string(++m_operationCount); }
    void recordAccepted(
        accepted_change, const core::service_config&, const std::string& operation, core::timestamp);
    /// Applies an operation, possibly repeated, and stores and records each change that is accepted.
    void apply(
        const service_state&, accepted_change, const operation_function&, repetition, core::timestamp now);
    service_state* pickService(std::uint32_t number);

    scenario_store& m_store;
    run_history& m_history;
    operator_options m_options;
    std::vector<service_state> m_services;
    std::map<core::socket_address, fuzz_server> m_servers;
    std::uint32_t m_operationCount {};
    std::uint32_t m_lastServerAddress {};
    std::uint32_t m_lastServiceId {};
};

} // namespace shallotcove::testbench
