#pragma once

#include <cstdint>
#include <optional>

#include <shallotcove/core/time.hpp>

namespace shallotcove::steering {

struct service_room;

enum class room_change : std::uint8_t { None, BecameFull, BecameFree };

/// Whether a service is full in a data centre. Needs a tenth of the slots to be free before it counts as free
/// again, and changes at most once a second, so that a load close to the capacity causes few log lines.
class room_state {
public:
    room_change update(const service_room&, core::timestamp now);
    bool isFull() const { return m_isFull; }

private:
    bool m_isFull {};
    std::optional<core::timestamp> m_changedAt;
};

} // namespace shallotcove::steering
