#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <span>
#include <string>

#include <msgpack.hpp>

#include <shallotcove/core/peer_message.hpp>
#include <shallotcove/wire/peer_codec.hpp>

namespace shallotcove::wire {

/// Reads the elements of one MessagePack array in order, checking types, ranges and counts. After the first
/// error, all reads return zero or empty values and isComplete() returns false.
class array_reader {
public:
    explicit array_reader(const msgpack::object&);

    std::uint64_t readNumber(std::uint64_t maximum);
    template <typename Number> Number read()
    {
        return static_cast<Number>(readNumber(std::numeric_limits<Number>::max()));
    }
    /// Reads the value of a strong type, such as core::host_id.
    template <typename Strong> Strong readStrong() { return Strong { read<decltype(Strong::value)>() }; }
    bool readBool();
    /// Reads a finite number, which may be encoded as an integer.
    double readDouble();
    std::string readText(std::size_t maximumBytes);
    std::span<const std::byte> readBytes(std::size_t maximumBytes);
    core::socket_address readAddress();
    core::flow_hash readFlowHash();
    /// Reads the next element, which must be an array of at most maximumElements.
    array_reader readArray(std::size_t maximumElements);
    bool isNextNil() const;
    bool isNextNumber() const;
    void skip() { next(); }
    std::size_t remaining() const { return m_isGood ? m_elements.size() - m_position : 0; }

    void fail() { m_isGood = false; }
    bool isGood() const { return m_isGood; }
    /// Whether all elements were read without an error.
    bool isComplete() const { return m_isGood && m_position == m_elements.size(); }
    /// Fails unless all elements of the inner array were read without an error.
    void requireComplete(const array_reader& inner) { m_isGood = m_isGood && inner.isComplete(); }

private:
    array_reader() = default;
    const msgpack::object* next();
    const msgpack::object* peek() const;

    std::span<const msgpack::object> m_elements;
    std::size_t m_position {};
    bool m_isGood { true };
};

/// Reads the fields after the envelope. The type counts from 1.
tl::expected<core::peer_message, peer_codec_error> readPeerFields(std::size_t type, array_reader&);

} // namespace shallotcove::wire
