#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

#include <msgpack.hpp>

#include <shallotcove/core/peer_message.hpp>
#include <shallotcove/wire/peer_codec.hpp>

namespace shallotcove::wire {

/// Output stream for msgpack::packer that appends to a vector.
class msgpack_buffer {
public:
    void write(const char* data, std::size_t size)
    {
        const std::span<const std::byte> added = std::as_bytes(std::span { data, size });
        m_bytes.insert(m_bytes.end(), added.begin(), added.end());
    }
    std::vector<std::byte> take() && { return std::move(m_bytes); }

private:
    std::vector<std::byte> m_bytes;
};

/// Writes a peer message as a MessagePack array, without its checksum.
class peer_writer {
public:
    void write(const peer_envelope&, const core::peer_message&);
    std::vector<std::byte> take() && { return std::move(m_buffer).take(); }

private:
    void writeFields(const core::ping&);
    void writeFields(const core::ping_request&);
    void writeFields(const core::ack&);
    void writeFields(const core::config_pull&);
    void writeFields(const core::config_push&);
    void writeFields(const core::track_batch&);
    void writeFields(const core::hint&);
    void writeFields(const core::load_report&);
    void writeGossip(const core::gossip&);
    void writeMember(const core::member&);
    void writeLimit(const core::limit_update&);
    void writeFlows(const std::vector<core::tracked_flow>&);
    void writeAddress(const core::socket_address&);
    void writeText(std::string_view);

    msgpack_buffer m_buffer;
    msgpack::packer<msgpack_buffer> m_packer { m_buffer };
};

} // namespace shallotcove::wire
