#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include <platform/config_decoder.hpp>

#include <shallotcove/core/time.hpp>
#include <shallotcove/steering/store_change.hpp>

namespace shallotcove::daemon {

/// Decodes configurations in slices. Only the newest one waits to be decoded; it replaces older ones.
class config_queue {
public:
    /// Has no effect if the document is not newer than the one in the queue. The time is that of the last
    /// answer of the store that has been applied completely once this configuration takes effect.
    void push(platform::config_document, core::timestamp completeAt = {});
    /// Decodes one slice. Returns the configuration, or that it is unreadable, once all of it is decoded.
    std::optional<steering::store_change> advance(
        const std::shared_ptr<const steering::routing_config>& inEffect);
    void clear();

    bool isEmpty() const { return !m_waiting && !m_decoder; }
    /// Revision of the newest configuration that was pushed and is not decoded; 0 for none.
    std::uint64_t newestRevision() const;
    /// The time that was passed with the configuration that advance() returned last.
    core::timestamp completeAt() const { return m_completeAt; }
    /// Number of slices that have been decoded.
    std::uint64_t decodedSlices() const { return m_decodedSlices; }

private:
    platform::decoded_config decodedVersion(const std::shared_ptr<const steering::routing_config>& inEffect);
    steering::store_change takeResult();

    std::optional<platform::config_document> m_waiting;
    core::timestamp m_waitingCompleteAt;
    core::timestamp m_decoderCompleteAt;
    core::timestamp m_completeAt;
    std::unique_ptr<platform::config_decoder> m_decoder;
    platform::decoded_config m_decoded;
    bool m_hasAbandoned {};
    std::uint64_t m_decodedSlices {};
};

} // namespace shallotcove::daemon
