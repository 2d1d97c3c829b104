#include "config_queue.hpp"

#include <utility>

namespace shallotcove::daemon {

namespace {

    /// Routes that one slice processes. Building as many takes about 0.5 ms of processor time, by which other
    /// answers are delayed.
    constexpr std::size_t routesPerSlice = 256;

} // namespace

void config_queue::push(platform::config_document document, core::timestamp completeAt)
{
    if (document.revision <= newestRevision())
        return;
    m_waiting = std::move(document);
    m_waitingCompleteAt = completeAt;
    // Every second one is decoded to its end. Otherwise versions that follow each other faster than they can
    // be decoded would never take effect.
    if (m_decoder && !std::exchange(m_hasAbandoned, true))
        m_decoder.reset();
}

std::optional<steering::store_change> config_queue::advance(
    const std::shared_ptr<const steering::routing_config>& inEffect)
{
    if (isEmpty())
        return std::nullopt;
    if (!m_decoder) {
        m_decoder
            = std::make_unique<platform::config_decoder>(std::move(*m_waiting), decodedVersion(inEffect));
        m_waiting.reset();
        m_decoderCompleteAt = m_waitingCompleteAt;
    }
    m_decoder->advance(routesPerSlice);
    ++m_decodedSlices;
    return m_decoder->isFinished() ? std::optional(takeResult()) : std::nullopt;
}

void config_queue::clear()
{
    m_waiting.reset();
    m_decoder.reset();
}

std::uint64_t config_queue::newestRevision() const
{
    if (m_waiting)
        return m_waiting->revision;
    return m_decoder ? m_decoder->revision() : 0;
}

platform::decoded_config config_queue::decodedVersion(
    const std::shared_ptr<const steering::routing_config>& inEffect)
{
    // The digests are those of the last version that was decoded here. They are of no use if another host
    // forwarded a newer one since.
    const bool isCurrent
        = m_decoded.config == inEffect || (m_decoded.config && inEffect && *m_decoded.config == *inEffect);
    if (!isCurrent)
        m_decoded = { inEffect, {}, {} };
    return m_decoded;
}

steering::store_change config_queue::takeResult()
{
    tl::expected<platform::decoded_config, steering::unreadable_item> result = m_decoder->takeResult();
    steering::store_change change { { steering::item_kind::Config, "" }, m_decoder->revision(), {} };
    m_decoder.reset();
    m_completeAt = m_decoderCompleteAt;
    m_hasAbandoned = false;
    if (!result) {
        change.content = std::move(result.error());
        return change;
    }
    m_decoded = std::move(*result);
    change.content = m_decoded.config;
    return change;
}

} // namespace shallotcove::daemon
