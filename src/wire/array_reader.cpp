#include "byte_order.hpp"
#include "peer_reader.hpp"

#include <algorithm>
#include <cmath>

namespace shallotcove::wire {

array_reader::array_reader(const msgpack::object& object)
{
    if (object.type != msgpack::type::ARRAY) {
        m_isGood = false;
        return;
    }
    m_elements = { object.via.array.ptr, object.via.array.size };
}

const msgpack::object* array_reader::peek() const
{
    return m_isGood && m_position < m_elements.size() ? &m_elements[m_position] : nullptr;
}

const msgpack::object* array_reader::next()
{
    const msgpack::object* const element = peek();
    if (element == nullptr)
        m_isGood = false;
    else
        ++m_position;
    return element;
}

std::uint64_t array_reader::readNumber(std::uint64_t maximum)
{
    const msgpack::object* const element = next();
    if (element == nullptr)
        return 0;
    if (element->type != msgpack::type::POSITIVE_INTEGER || element->via.u64 > maximum) {
        m_isGood = false;
        return 0;
    }
    return element->via.u64;
}

bool array_reader::readBool()
{
    const msgpack::object* const element = next();
    if (element == nullptr)
        return false;
    if (element->type != msgpack::type::BOOLEAN)
        m_isGood = false;
    return m_isGood && element->via.boolean;
}

double array_reader::readDouble()
{
    const msgpack::object* const element = next();
    if (element == nullptr)
        return 0;
    // msgpack-cxx encodes floating-point values without a fractional part as integers.
    if (element->type == msgpack::type::POSITIVE_INTEGER)
        return static_cast<double>(element->via.u64);
    if (element->type == msgpack::type::NEGATIVE_INTEGER)
        return static_cast<double>(element->via.i64);
    const bool isFloatingPoint
        = element->type == msgpack::type::FLOAT64 || element->type == msgpack::type::FLOAT32;
    if (!isFloatingPoint || !std::isfinite(element->via.f64)) {
        m_isGood = false;
        return 0;
    }
    return element->via.f64;
}

std::string array_reader::readText(std::size_t maximumBytes)
{
    const msgpack::object* const element = next();
    if (element == nullptr)
        return {};
    if (element->type != msgpack::type::STR || element->via.str.size > maximumBytes) {
        m_isGood = false;
        return {};
    }
    return { element->via.str.ptr, element->via.str.size };
}

std::span<const std::byte> array_reader::readBytes(std::size_t maximumBytes)
{
    const msgpack::object* const element = next();
    if (element == nullptr)
        return {};
    if (element->type != msgpack::type::BIN || element->via.bin.size > maximumBytes) {
        m_isGood = false;
        return {};
    }
    return std::as_bytes(std::span { element->via.bin.ptr, element->via.bin.size });
}

core::socket_address array_reader::readAddress()
{
    const std::span<const std::byte> bytes = readBytes(18);
    core::socket_address address;
    if (bytes.size() == 6)
        address.address = core::ip_address::fromV4(loadNumber<std::uint32_t>(bytes, 0));
    else if (bytes.size() == 18)
        std::copy_n(bytes.begin(), 16, std::as_writable_bytes(std::span { address.address.bytes }).begin());
    else {
        m_isGood = false;
        return {};
    }
    address.port = loadNumber<std::uint16_t>(bytes, bytes.size() - 2);
    return address;
}

core::flow_hash array_reader::readFlowHash()
{
    const std::span<const std::byte> bytes = readBytes(16);
    if (bytes.size() != 16) {
        m_isGood = false;
        return {};
    }
    return { loadNumber<std::uint64_t>(bytes, 0), loadNumber<std::uint64_t>(bytes, 8) };
}

array_reader array_reader::readArray(std::size_t maximumElements)
{
    const msgpack::object* const element = next();
    array_reader inner;
    if (element != nullptr)
        inner = array_reader(*element);
    if (element == nullptr || inner.m_elements.size() > maximumElements)
        inner.m_isGood = false;
    m_isGood = m_isGood && inner.m_isGood;
    return inner;
}

bool array_reader::isNextNil() const
{
    const msgpack::object* const element = peek();
    return element != nullptr && element->type == msgpack::type::NIL;
}

bool array_reader::isNextNumber() const
{
    const msgpack::object* const element = peek();
    return element != nullptr && element->type == msgpack::type::POSITIVE_INTEGER;
}

} // namespace shallotcove::wire
