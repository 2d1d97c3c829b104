#pragma once

#include <string>

#include <shallotcove/core/decision.hpp>
#include <shallotcove/core/member.hpp>
#include <shallotcove/core/routing_snapshot.hpp>
#include <shallotcove/wire/caller_packet.hpp>
#include <shallotcove/wire/peer_codec.hpp>
#include <shallotcove/wire/redirect_codec.hpp>

namespace shallotcove::daemon {

// Names for logs and metrics. They are part of the interface of the metrics, so they must not change.

std::string nameOf(core::drop_reason);
std::string nameOf(core::refusal_reason);
std::string nameOf(core::redirect_stage);
std::string nameOf(core::member_state);
std::string nameOf(core::sync_state);
std::string nameOf(wire::packet_error);
std::string nameOf(wire::redirect_error);
std::string nameOf(wire::peer_codec_error);

} // namespace shallotcove::daemon
