#include <shallotcove/steering/packet_decision.hpp>

namespace shallotcove::steering {

const char* textOf(packet_reason reason)
{
    switch (reason) {
    case packet_reason::None:
        return "none";
    case packet_reason::NoRoute:
        return "noRoute";
    case packet_reason::NoServer:
        return "noServer";
    case packet_reason::ColdLimit:
        return "coldLimit";
    case packet_reason::Overload:
        return "overload";
    case packet_reason::NotReady:
        return "notReady";
    case packet_reason::StaleCopy:
        return "staleCopy";
    case packet_reason::UnknownServer:
        return "unknownServer";
    case packet_reason::Waiting:
        return "waiting";
    case packet_reason::Outdated:
        return "outdated";
    case packet_reason::DataCentreOut:
        return "dataCentreOut";
    case packet_reason::HeldCopy:
        return "heldCopy";
    }
    return "unknown";
}

} // namespace shallotcove::steering
