#pragma once

#include <cstddef>
#include <cstdint>

#include <shallotcove/core/time.hpp>
#include <shallotcove/steering/answer_evidence.hpp>
#include <shallotcove/steering/opening_evidence.hpp>
#include <shallotcove/steering/server_capacity.hpp>
#include <shallotcove/steering/server_entry.hpp>
#include <shallotcove/steering/server_tag.hpp>

namespace shallotcove::steering {

enum class server_presence : std::uint8_t {
    Listed,
    /// The entry disappeared while the store was failing, so the server may still be running.
    Uncertain,
    /// Removed from the store; packets of its open flows are still forwarded to it.
    Left,
};

/// What this host knows about one backend server.
struct server_record {
    server_entry entry;
    server_tag tag;
    server_presence presence { server_presence::Listed };
    /// When the server entered its current presence state.
    core::timestamp presenceSince;
    core::timestamp coldUntil;
    /// Position of its data centre in server_directory::dataCentres().
    std::size_t dataCentreIndex {};
    /// Flows that this host placed and that have not ended.
    std::uint32_t openFlows {};
    /// Open flows placed by the neighbours, as last reported.
    std::uint32_t neighbourFlows {};
    /// Open flows placed by hosts in other data centres, while this host requests their reports.
    std::uint32_t remoteFlows {};
    /// Open flows at the server, whether or not a request is in progress on them: those tracked by this host,
    /// and those of the neighbours as last reported.
    std::uint32_t establishedFlows {};
    std::uint32_t neighbourEstablishedFlows {};
    /// Flows that this host placed since its last load report. The neighbours see the same servers and a
    /// similar load, so they are assumed to have placed about as many.
    std::uint32_t flowsSinceReport {};
    opening_evidence evidence;
    answer_evidence answers;
    server_capacity capacity;
};

} // namespace shallotcove::steering
