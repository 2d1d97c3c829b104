#include "enum_names.hpp"

#include <array>

namespace shallotcove::daemon {

namespace {

    template <typename Enumerator, std::size_t size>
    std::string nameAt(const std::array<const char*, size>& names, Enumerator value)
    {
        const std::size_t index = static_cast<std::size_t>(value);
        return index < size ? names[index] : "Other";
    }

} // namespace

std::string nameOf(core::drop_reason reason)
{
    return nameAt(std::array { "None", "NoService", "NoSnapshot", "Unsynchronized", "NoServer", "HopLimit",
                      "DataCentreOut", "LimitPending", "AdmissionUncertain", "TableFull", "ServiceMismatch",
                      "NotEstablished" },
        reason);
}

std::string nameOf(core::refusal_reason reason)
{
    return nameAt(
        std::array { "None", "NoCapacity", "ClassLimit", "DataCentreOut", "AddressPairReused", "TableFull" },
        reason);
}

std::string nameOf(core::redirect_stage stage)
{
    return nameAt(std::array { "Owner", "Replicate", "Lookup" }, stage);
}

std::string nameOf(core::member_state state)
{
    return nameAt(std::array { "Alive", "Suspect", "Leaving", "Dead" }, state);
}

std::string nameOf(core::sync_state state)
{
    return nameAt(std::array { "Starting", "Unsynchronized", "Synchronized", "Isolated" }, state);
}

std::string nameOf(wire::packet_error error)
{
    return nameAt(std::array { "TooShort", "UnknownGueVersion", "ControlMessage", "UnknownInnerProtocol",
                      "MalformedInner", "Fragment", "UnsupportedTransport", "UnknownGueFlags",
                      "ExtensionHeader", "BadHeaderChecksum" },
        error);
}

std::string nameOf(wire::redirect_error error)
{
    return nameAt(std::array { "TooShort", "UnknownVersion", "BadChecksum", "Malformed" }, error);
}

std::string nameOf(wire::peer_codec_error error)
{
    return nameAt(std::array { "TooShort", "TooLong", "BadChecksum", "Malformed", "UnknownVersion",
                      "UnknownType", "Replayed" },
        error);
}

} // namespace shallotcove::daemon
