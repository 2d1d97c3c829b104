#pragma once

#include <cstddef>
#include <vector>

#include <shallotcove/core/time.hpp>
#include <shallotcove/steering/opening_evidence.hpp>
#include <shallotcove/steering/server_tag.hpp>

namespace shallotcove::steering {

/// Judges whether a data centre can be reached as a whole. It becomes suspect when several of its servers
/// leave opening packets unanswered and none answers in between.
class data_centre_evidence {
public:
    /// Records an unanswered opening packet of a server in a data centre with this number of servers. Returns
    /// true if the data centre becomes suspect.
    bool recordUnanswered(server_tag, std::size_t servers, core::timestamp now, const steering_options&);
    /// Records an answer of any server. Returns true if the data centre was suspect.
    bool recordAnswered();
    void recordPlacement(core::timestamp now) { m_evidence.recordPlacement(now); }

    bool admits(core::timestamp now) const { return m_evidence.admits(now); }
    bool isSuspect() const { return m_evidence.isSuspect(); }

private:
    std::vector<server_tag> m_unresponsive;
    opening_evidence m_evidence;
};

} // namespace shallotcove::steering
