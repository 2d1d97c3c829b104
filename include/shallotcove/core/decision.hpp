#pragma once

#include <cstdint>

#include <shallotcove/core/flow.hpp>
#include <shallotcove/core/ids.hpp>

namespace shallotcove::core {

/// Why a packet was not forwarded to a backend server.
enum class drop_reason : std::uint8_t {
    None,
    NoService,
    NoSnapshot,
    Unsynchronized,
    NoServer,
    HopLimit,
    DataCentreOut,
    LimitPending,
    AdmissionUncertain,
    TableFull,
    ServiceMismatch,
    NotEstablished,
};

/// Why a caller was refused. Every reason but DataCentreOut means that the first packet of the flow was not
/// forwarded. DataCentreOut refuses flows that were placed in a data centre that is out, also at later
/// packets of open flows, so earlier packets may have been forwarded.
enum class refusal_reason : std::uint8_t {
    None,
    NoCapacity,
    ClassLimit,
    DataCentreOut,
    AddressPairReused,
    TableFull
};

/// What the receiver of a redirected packet is asked to do.
enum class redirect_stage : std::uint8_t {
    /// To the owner: place or look up the flow and forward.
    Owner,
    /// To the backup: record the server in the header, then forward.
    Replicate,
    /// To the backup: forward by its entry, or to the choice of the base epoch.
    Lookup,
};

/// Header in front of a redirected packet.
struct redirect_header {
    service_id service;
    flow_hash flow;
    redirect_stage stage { redirect_stage::Owner };
    /// Redirects so far, 1 on the first.
    std::uint8_t hops {};
    /// Set with Replicate.
    backend_server_id server;
    /// The host that received the packet from the fabric.
    host_id entryHost;
    /// Fabric address that the packet came from; a refusal goes back there.
    socket_address fabric;

    friend bool operator==(const redirect_header&, const redirect_header&) = default;
};

enum class decision_kind : std::uint8_t { Forward, Redirect, Refuse, Drop };

/// What to do with one packet.
struct decision {
    decision_kind kind { decision_kind::Drop };
    /// Set with Forward: the backend server's GUE address.
    socket_address serverAddress;
    /// Set with Forward.
    service_id service;
    backend_server_id server;
    /// Set with Redirect: the receiving host, its packet address and the header to put in front.
    host_id redirectTo;
    socket_address redirectAddress;
    redirect_header header;
    drop_reason dropped { drop_reason::None };
    refusal_reason refused { refusal_reason::None };

    friend bool operator==(const decision&, const decision&) = default;
};

} // namespace shallotcove::core
