#pragma once

#include <cstddef>
#include <cstdint>

#include <shallotcove/core/time.hpp>
#include <shallotcove/steering/answer_evidence.hpp>
#include <shallotcove/steering/opening_evidence.hpp>
#include <shallotcove/steering/server_entry.hpp>
#include <shallotcove/steering/server_tag.hpp>

namespace shallotcove::steering {

enum class server_presence : std::uint8_t {
    Listed,
    /// The entry vanished while the store was in trouble.
    Doubtful,
    /// Open flows still go there.
    Left,
};

/// What a host knows of one backend server.
struct server_record {
    server_entry entry;
    server_tag tag;
    server_presence presence { server_presence::Listed };
    /// Since when the presence holds.
    core::timestamp presentSince;
    core::timestamp coldUntil;
    /// Position of its data centre in server_directory::dataCentres().
    std::size_t dataCentreIndex {};
    /// Flows that this host placed and that have not ended.
    std::uint32_t openFlows {};
    /// The same of the neighbours, as they last said.
    std::uint32_t neighbourFlows {};
    /// The same of the hosts in other data centres, while they are asked for it.
    std::uint32_t remoteFlows {};
    /// Flows that this host placed within the current exchange of loads. The neighbours, which see the same
    /// servers and the same kind of load, will have placed about as many.
    std::uint32_t flowsSinceReport {};
    opening_evidence evidence;
    answer_evidence answers;
};

} // namespace shallotcove::steering
