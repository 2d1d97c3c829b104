#include <shallotcove/steering/room_state.hpp>

#include <algorithm>
#include <chrono>

#include <shallotcove/steering/service_room.hpp>

namespace shallotcove::steering {

namespace {

    constexpr std::chrono::seconds minimumTimeBetweenChanges { 1 };
    constexpr double minimumFreeSlots = 1;
    constexpr double freeShare = 0.1;

} // namespace

room_change room_state::update(const service_room& room, core::timestamp now)
{
    const bool isFull = m_isFull ? room.freeSlots < std::max(minimumFreeSlots, freeShare * room.usableSlots)
                                 : room.freeSlots < minimumFreeSlots;
    if (isFull == m_isFull || (m_changedAt && now - *m_changedAt < minimumTimeBetweenChanges))
        return room_change::None;
    m_isFull = isFull;
    m_changedAt = now;
    return isFull ? room_change::BecameFull : room_change::BecameFree;
}

} // namespace shallotcove::steering
