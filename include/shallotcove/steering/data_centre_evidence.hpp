#pragma once

#include <cstddef>
#include <vector>

#include <shallotcove/core/time.hpp>
#include <shallotcove/steering/opening_evidence.hpp>
#include <shallotcove/steering/server_tag.hpp>

namespace shallotcove::steering {

/// Judges whether a whole data centre can be reached: several silent servers and no answer in between.
class data_centre_evidence {
public:
    /// One of so many servers did not answer. True if the data centre became suspect by this.
    bool recordUnanswered(server_tag, std::size_t servers, core::timestamp now, const steering_options&);
    /// True if the data centre was suspect until now.
    bool recordAnswered();
    void recordPlacement(core::timestamp now) { m_evidence.recordPlacement(now); }

    bool admits(core::timestamp now) const { return m_evidence.admits(now); }
    bool isSuspect() const { return m_evidence.isSuspect(); }

private:
    std::vector<server_tag> m_unresponsive;
    opening_evidence m_evidence;
};

} // namespace shallotcove::steering
