#include "store_follower.hpp"

#include <algorithm>
#include <charconv>
#include <optional>
#include <set>
#include <span>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <pcg_random.hpp>

#include <platform/store_calls.hpp>

#include <shallotcove/daemon/clock.hpp>
#include <shallotcove/steering/config_change.hpp>
#include <shallotcove/store/http_exchange.hpp>
#include <shallotcove/wire/view_codec.hpp>

#include "config_queue.hpp"
#include "pause_detector.hpp"

namespace shallotcove::daemon {

namespace {

    const char* causeOf(store::http_error error)
    {
        switch (error) {
        case store::http_error::NotSent:
            return "notConnected";
        case store::http_error::AnswerLost:
            return "noAnswer";
        case store::http_error::Malformed:
            return "malformed";
        case store::http_error::TooLarge:
            return "tooLarge";
        }
        return "unknown";
    }

    const char* causeOf(platform::call_error error)
    {
        switch (error) {
        case platform::call_error::TooManyCalls:
            return "tooManyCalls";
        case platform::call_error::Busy:
            return "busy";
        case platform::call_error::HistoryDropped:
            return "historyDropped";
        case platform::call_error::Unexpected:
            return "unexpected";
        }
        return "unknown";
    }

    constexpr const char* rangeCallName = "range";
    constexpr const char* watchCallName = "watch";
    constexpr const char* storeSourceName = "store";
    constexpr const char* neighbourSourceName = "neighbour";
    constexpr const char* pauseCause = "pause";
    constexpr const char* outageCause = "outage";
    constexpr const char* behindCause = "behindNeighbours";
    constexpr const char* historyDroppedCause = "historyDropped";
    constexpr const char* answerTooLargeCause = "answerTooLarge";
    constexpr std::string_view changesPath = "/changes?after=";
    constexpr std::string_view configParameter = "&config=";
    constexpr unsigned httpOk = 200;
    constexpr unsigned httpNotFound = 404;

    std::optional<std::uint64_t> parseNumber(std::string_view digits)
    {
        std::uint64_t number = 0;
        const std::from_chars_result parsed
            = std::from_chars(digits.data(), digits.data() + digits.size(), number);
        const bool isFullyParsed = parsed.ec == std::errc {} && parsed.ptr == digits.data() + digits.size();
        return isFullyParsed ? std::optional(number) : std::nullopt;
    }

    /// Replaces the full configuration in an answer by its difference from an older version, if the view
    /// still has that version.
    void replaceConfigByDifference(
        const steering::store_view& view, std::uint64_t version, wire::forwarded_changes& answer)
    {
        const auto found = std::find_if(
            answer.changes.begin(), answer.changes.end(), [](const steering::store_change& change) {
                return std::holds_alternative<std::shared_ptr<const steering::routing_config>>(
                    change.content);
            });
        const std::shared_ptr<const steering::routing_config> from = view.recentConfig(version);
        // The requester can have other content under the version number of the current one.
        if (found == answer.changes.end() || !from || version >= view.configVersion())
            return;
        answer.config = wire::forwarded_config { found->revision, differenceBetween(*from, *view.config()) };
        answer.changes.erase(found);
    }

    /// State of a catch-up in progress.
    struct catch_up_state {
        const char* cause {};
        std::uint64_t fromRevision {};
        /// Calls of the current attempt, and of earlier ones since the catch-up was reported.
        std::uint64_t calls {};
        /// When the catch-up was reported. One after an outage is reported with the first answer, as until
        /// then the store is not known to have changed.
        std::optional<core::timestamp> reportedAt;
        /// Since when the store answers the calls.
        std::optional<core::timestamp> answeringSince;
        bool hasReadServers {};
        bool hasAskedRelay {};
        /// The lowest revision of the answers of this attempt, and the time of the first one. Later changes
        /// may be missing in one of the answers.
        std::optional<std::uint64_t> lowestRevision;
        core::timestamp firstAnswerAt;
    };

    /// State of a listing of the items of one kind.
    struct kind_listing {
        steering::item_kind kind {};
        std::set<steering::item_key> listed;
        /// Revision of the first page.
        std::optional<std::uint64_t> revision;
    };

} // namespace

std::string changesTarget(std::uint64_t afterRevision, std::uint64_t configVersion)
{
    return std::string(changesPath) + std::to_string(afterRevision) + std::string(configParameter)
        + std::to_string(configVersion);
}

std::optional<std::string> answerChangesRequest(const steering::store_view& view, std::string_view target)
{
    if (!target.starts_with(changesPath))
        return std::nullopt;
    const std::string_view parameters = target.substr(changesPath.size());
    const std::size_t separator = parameters.find(configParameter);
    const bool hasConfigVersion = separator != std::string_view::npos;
    const std::optional<std::uint64_t> after = parseNumber(parameters.substr(0, separator));
    const std::optional<std::uint64_t> configVersion = hasConfigVersion
        ? parseNumber(parameters.substr(separator + configParameter.size()))
        : std::optional<std::uint64_t>(0);
    if (!after || !configVersion)
        return std::nullopt;
    wire::forwarded_changes answer { view.revision(), view.changesSince(*after), {} };
    if (*configVersion > 0)
        replaceConfigByDifference(view, *configVersion, answer);
    const std::vector<std::byte> bytes = wire::encodeChanges(
        answer, hasConfigVersion ? wire::changes_format::Current : wire::changes_format::Former);
    return std::string(reinterpret_cast<const char*>(bytes.data()), bytes.size());
}

class store_follower::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(boost::asio::io_context& context, const store_follower_options& options,
        steering::store_view& view, store_follower_events events)
        : m_context(context)
        , m_timer(context)
        , m_options(options)
        , m_view(view)
        , m_events(std::move(events))
        , m_random(options.randomSeed)
        , m_watchWait(options.watchWait)
    {
    }

    void readAll()
    {
        m_listing.clear();
        m_listingRevision.reset();
        readPage("");
    }

    void resume(std::chrono::milliseconds wait)
    {
        m_watchWait = wait;
        if (!m_isSuspended)
            return;
        m_isSuspended = false;
        resumeOrCatchUp(outageCause);
    }

    void suspend()
    {
        // A listing in progress, or retries after a failed call, are completed first.
        if (m_isSuspended || (!m_isWatching && !m_isWatchScheduled) || m_failedCalls > 0)
            return;
        m_isSuspended = true;
        m_isWatching = m_isWatchScheduled = false;
        stop();
    }

    void fetchChanges(const core::socket_address& relay)
    {
        if (!m_isFetching)
            fetch(relay, m_view.isComplete() ? m_options.answerTimeout : m_options.neighbourTimeout);
    }

    void setRelay(const std::optional<core::socket_address>& relay)
    {
        m_relay = relay;
        // A neighbour that is usable again later is asked again.
        if (!m_relay && m_catchUp)
            m_catchUp->hasAskedRelay = false;
        // A host that was cut off hears its neighbours again. The neighbour has read what this host would
        // have to read page by page.
        const bool isUnread = m_catchUp && !m_catchUp->hasReadServers && !m_isAskingRelay;
        if (m_relay && isUnread && !m_catchUp->hasAskedRelay) {
            stop();
            askRelay();
        }
    }

    void confirmCurrent() { m_currentAt = monotonicNow(); }

    void checkPause()
    {
        const std::chrono::nanoseconds now = pause_detector::now();
        const bool isAfterPause = m_pauseDetector.pauseBefore(now).has_value();
        m_pauseDetector.beginRound(now);
        if (isAfterPause)
            handlePause();
    }

    void handlePause()
    {
        // Between the ends of two pauses passes at least the length of one, so another report within this
        // time is about the same pause. A first listing continues: the watch after it begins at its first
        // page.
        const std::chrono::nanoseconds now = pause_detector::now();
        const bool isKnown = m_lastPauseAt && now - *m_lastPauseAt < minimumPause;
        if (isKnown || !m_view.isComplete())
            return;
        m_lastPauseAt = now;
        stop();
        m_isSuspended = m_isWatching = m_isWatchScheduled = m_isAskingRelay = false;
        if (m_catchUp) {
            m_catchUp->hasReadServers = m_catchUp->hasAskedRelay = false;
            m_catchUp->answeringSince.reset();
        }
        prepareCatchUp(pauseCause);
        reportCatchUp();
        continueCatchUp();
    }

    void recordWork()
    {
        if (m_pauseDetector.isRunning())
            m_pauseDetector.beginRound(pause_detector::now());
    }

    void restart()
    {
        if (!m_isWatching && !m_isWatchScheduled)
            return;
        m_needsProbe = true;
        resumeOrCatchUp(behindCause);
    }

    void stop()
    {
        ++m_generation;
        m_timer.cancel();
    }

    void abandonDecoding() { m_configs.clear(); }

    bool isWaitingForNeighbour() const { return m_isWaitingForNeighbour; }
    bool isCatchingUp() const
    {
        return m_catchUp && !m_catchUp->hasReadServers && m_catchUp->answeringSince
            && monotonicNow() - *m_catchUp->answeringSince >= m_options.catchingUpDelay;
    }
    store_follower_counts counts() const { return m_counts; }
    std::uint64_t decodedSlices() const { return m_configs.decodedSlices(); }
    core::timestamp answeredAt() const { return m_answeredAt; }
    std::uint64_t receivedRevision() const { return std::max(m_receivedRevision, m_view.revision()); }

private:
    using answer = tl::expected<store::http_response, store::http_error>;

    void fetch(const core::socket_address& relay, std::chrono::milliseconds timeout)
    {
        m_isFetching = true;
        requestChanges(relay, timeout, changesTarget(receivedRevision(), m_view.configVersion()));
    }

    /// Answers to earlier requests for changes are ignored.
    void requestChanges(
        const core::socket_address& relay, std::chrono::milliseconds timeout, const std::string& target)
    {
        const std::uint64_t number = ++m_fetches;
        store::exchangeHttp(
            m_context, relay, { boost::beast::http::verb::get, target, {} },
            { timeout, std::min(timeout, m_options.connectTimeout) }, [] {},
            [self = shared_from_this(), relay, timeout, target, number, after = receivedRevision()](
                const answer& result) {
                if (self->m_pauseDetector.isRunning())
                    self->checkPause();
                if (number != self->m_fetches)
                    return;
                // A relay of the former version does not know the parameter and has no page with this target.
                const std::size_t parameter = target.find(configParameter);
                if (result && result->status == httpNotFound && parameter != std::string::npos)
                    return self->requestChanges(relay, timeout, target.substr(0, parameter));
                self->handleFetched(relay, after, result);
                self->recordWork();
            });
    }

    void handleFetched(const core::socket_address& relay, std::uint64_t after, const answer& result)
    {
        m_isFetching = false;
        const bool wasAskedFirst = std::exchange(m_isAskingRelay, false);
        std::optional<wire::forwarded_changes> forwarded;
        if (result && result->status == httpOk)
            forwarded = wire::decodeChanges(std::as_bytes(std::span { result->body }));
        m_events.onFetched(relay, forwarded.has_value());
        if (!forwarded) {
            if (wasAskedFirst && m_catchUp)
                continueCatchUp();
            return;
        }
        resolveDifference(*forwarded);
        m_currentAt = monotonicNow();
        if (after > 0) {
            receiveChanges(std::move(forwarded->changes), forwarded->revision);
            if (!wasAskedFirst || !m_catchUp)
                return;
            endCatchUp(neighbourSourceName);
            m_isSuspended = true;
            return;
        }
        // For a request from revision 0 the neighbour has forwarded its complete view.
        m_receivedRevision = std::max(m_receivedRevision, forwarded->revision);
        publish(m_view.applyListing(std::move(forwarded->changes), forwarded->revision, m_currentAt));
        if (!std::exchange(m_isWaitingForNeighbour, false))
            return;
        stop();
        m_isSuspended = true;
    }

    /// Turns a difference into the full configuration. If the configuration in effect has changed since the
    /// request, the difference is left out and the revision limited, so that the next request asks again.
    void resolveDifference(wire::forwarded_changes& forwarded) const
    {
        if (!forwarded.config)
            return;
        const steering::config_change& change = forwarded.config->change;
        const std::shared_ptr<const steering::routing_config> current = m_view.config();
        if (current && current->version == change.fromVersion)
            forwarded.changes.push_back({ { steering::item_kind::Config, "" }, forwarded.config->revision,
                steering::withChange(*current, change) });
        else
            forwarded.revision = std::min(forwarded.revision, forwarded.config->revision - 1);
    }

    /// Queues the newest configuration of an answer, to be decoded in slices.
    void queueConfig(std::optional<platform::config_document> document)
    {
        if (!document || document->revision <= m_view.configRevision())
            return;
        // The view does not know all changes beyond its revision until the configuration has been decoded.
        if (m_configs.isEmpty())
            m_view.holdRevision(m_view.revision());
        m_configs.push(std::move(*document), m_storeReceivedAt);
        if (!std::exchange(m_isDecodingPosted, true))
            postDecoding();
    }

    /// Answers that arrive between two slices are handled between them.
    void postDecoding()
    {
        boost::asio::post(m_context, [self = shared_from_this()] { self->decodeSlice(); });
    }

    void decodeSlice()
    {
        if (std::optional<steering::store_change> change = m_configs.advance(m_view.config())) {
            m_view.holdRevision(m_configs.isEmpty() ? std::nullopt : std::optional(change->revision));
            m_answeredAt = std::max(m_answeredAt, m_configs.completeAt());
            receiveChanges({ std::move(*change) }, 0);
        }
        m_isDecodingPosted = !m_configs.isEmpty();
        if (m_isDecodingPosted)
            postDecoding();
    }

    /// Applies changes, complete up to the revision except for a configuration that waits to be decoded.
    void receiveChanges(std::vector<steering::store_change> changes, std::uint64_t revision)
    {
        m_receivedRevision = std::max(receivedRevision(), revision);
        if (m_configs.isEmpty())
            m_answeredAt = m_storeReceivedAt;
        publish(m_view.applyChanges(std::move(changes), m_receivedRevision, monotonicNow()));
    }

    /// Resumes the watch, or begins a catch-up if the view was current too long ago.
    void resumeOrCatchUp(const char* cause)
    {
        if (monotonicNow() - m_currentAt < m_options.resumeLimit)
            return watch();
        prepareCatchUp(cause);
        continueCatchUp();
    }

    /// Begins a catch-up, unless one is in progress.
    void prepareCatchUp(const char* cause)
    {
        stop();
        m_isWatching = m_isWatchScheduled = false;
        if (!m_catchUp)
            m_catchUp = catch_up_state { cause, m_view.revision(), {}, {}, {}, {}, {}, {}, {} };
    }

    void reportCatchUp()
    {
        if (m_catchUp->reportedAt)
            return;
        m_catchUp->reportedAt = monotonicNow();
        m_events.onCatchUpStarted(m_catchUp->cause);
    }

    /// Begins a catch-up after an answer of the store that shows that changes were missed.
    void catchUpAfterAnswer(const char* cause)
    {
        if (!m_view.isComplete())
            return readAll();
        prepareCatchUp(cause);
        reportCatchUp();
        // The last catch-up did not lead to a revision from which the store can be watched.
        if (m_isWatchUnproven)
            return handleFailure(watchCallName, cause);
        handleSuccess(watchCallName);
        m_catchUp->answeringSince = monotonicNow();
        continueCatchUp();
    }

    /// Begins an attempt of the catch-up: at a neighbour, if there is one that has not been asked, or at the
    /// store.
    void continueCatchUp()
    {
        if (m_relay && !m_catchUp->hasAskedRelay)
            return askRelay();
        // The configuration is the last item of an attempt. If only its call failed, the items that were read
        // before need not be read again while the watch could still be resumed after them.
        const bool isRecent
            = m_catchUp->lowestRevision && monotonicNow() - m_catchUp->firstAnswerAt < m_options.resumeLimit;
        if (m_catchUp->hasReadServers && isRecent)
            return readKind(steering::item_kind::Config);
        m_catchUp->lowestRevision.reset();
        m_catchUp->hasReadServers = false;
        readKind(steering::item_kind::DataCentreOut);
    }

    void askRelay()
    {
        stop();
        m_catchUp->hasAskedRelay = true;
        m_catchUp->answeringSince.reset();
        m_isAskingRelay = true;
        reportCatchUp();
        fetch(*m_relay, m_options.neighbourTimeout);
    }

    void readKind(steering::item_kind kind)
    {
        m_kindListing = { kind, {}, {} };
        readKindPage("");
    }

    bool isReadingConfigItem() const
    {
        return m_kindListing.kind == steering::item_kind::Config && !m_listsConfig;
    }

    void readKindPage(const std::string& afterKey)
    {
        sendRequest(isReadingConfigItem() ? platform::configTarget()
                                          : platform::rangeTarget(m_kindListing.kind, afterKey),
            {}, &implementation::handleKindPage);
    }

    void handleKindPage(answer&& result)
    {
        if (!m_catchUp)
            return;
        const bool isConfig = m_kindListing.kind == steering::item_kind::Config;
        if (!result && isConfig && result.error() == store::http_error::TooLarge) {
            // The configuration stays as it is; the watch must go on for the other items.
            m_events.onUpdates({ { { { steering::item_kind::Config, "" }, *m_catchUp->lowestRevision,
                                       steering::unreadable_item { "answer exceeds the HTTP limit" } },
                false, {} } });
            return endCatchUp(storeSourceName);
        }
        if (!result)
            return handleFailure(rangeCallName, causeOf(result.error()));
        tl::expected<platform::item_page, platform::call_error> page = isReadingConfigItem()
            ? platform::decodeConfigItem(result->status, std::move(result->body))
            : platform::decodeRange(result->status, std::move(result->body));
        if (!page && isReadingConfigItem() && page.error() == platform::call_error::Unexpected) {
            // The item does not exist, or the store does not serve single keys as expected. A listing tells.
            m_listsConfig = true;
            return readKind(steering::item_kind::Config);
        }
        if (!page)
            return handleFailure(rangeCallName, causeOf(page.error()));
        handleSuccess(rangeCallName);
        handleCatchUpPage(*page);
    }

    void handleCatchUpPage(platform::item_page& page)
    {
        const core::timestamp now = monotonicNow();
        reportCatchUp();
        if (!m_catchUp->answeringSince)
            m_catchUp->answeringSince = now;
        if (!m_catchUp->lowestRevision)
            m_catchUp->firstAnswerAt = now;
        m_catchUp->lowestRevision
            = std::min(m_catchUp->lowestRevision.value_or(page.revision), page.revision);
        if (page.revision < receivedRevision()) {
            // Without this page the listing is incomplete. The watch continues at the revision of the view.
            m_events.onListingIgnored(page.revision);
            return readNextKind();
        }
        if (!m_kindListing.revision)
            m_kindListing.revision = page.revision;
        for (const steering::store_change& change : page.changes)
            m_kindListing.listed.insert(change.key);
        queueConfig(std::move(page.config));
        publish(m_view.applyChanges(std::move(page.changes), receivedRevision(), now));
        if (page.hasMore)
            return readKindPage(page.lastKey);
        publish(m_view.applyListing(m_kindListing.kind, m_kindListing.listed, *m_kindListing.revision, now));
        readNextKind();
    }

    void readNextKind()
    {
        switch (m_kindListing.kind) {
        case steering::item_kind::DataCentreOut:
            return readKind(steering::item_kind::Server);
        case steering::item_kind::Server:
            m_catchUp->hasReadServers = true;
            return readKind(steering::item_kind::Config);
        case steering::item_kind::Config:
            return endCatchUp(storeSourceName);
        }
    }

    void endCatchUp(const char* source)
    {
        const core::timestamp now = monotonicNow();
        if (m_catchUp->lowestRevision && source == storeSourceName) {
            m_receivedRevision = std::max(receivedRevision(), *m_catchUp->lowestRevision);
            m_currentAt = m_storeReceivedAt = m_catchUp->firstAnswerAt;
        }
        ++m_counts.catchUps;
        m_events.onCatchUpEnded({ source, now - m_catchUp->reportedAt.value_or(now), m_catchUp->fromRevision,
            receivedRevision(), m_catchUp->calls });
        m_catchUp.reset();
        m_needsProbe = false;
        receiveChanges({}, receivedRevision());
        if (source == storeSourceName) {
            m_isWatchUnproven = true;
            return scheduleWatch(m_options.minimumWatchInterval);
        }
        m_isWatchUnproven = false;
        m_backoff = {};
        stop();
    }

    /// Sends a request to the store; answers to earlier requests are ignored.
    void sendRequest(
        const std::string& target, std::chrono::milliseconds wait, void (implementation::*handle)(answer&&))
    {
        const std::uint64_t generation = ++m_generation;
        const store::http_timeouts timeouts { m_options.readTimeout, m_options.connectTimeout,
            wait + m_options.answerTimeout };
        m_requestedAt = monotonicNow();
        store::exchangeHttp(
            m_context, m_options.address, { boost::beast::http::verb::get, target, {} }, timeouts,
            [self = shared_from_this()] { self->countCall(); },
            [self = shared_from_this(), generation, handle](answer result) {
                // An answer to a call from before a pause is not decoded: it may contain all missed versions.
                if (self->m_pauseDetector.isRunning())
                    self->checkPause();
                if (generation != self->m_generation)
                    return;
                (*self.*handle)(std::move(result));
                self->recordWork();
            });
    }

    void countCall()
    {
        ++m_counts.calls;
        if (!m_catchUp)
            return;
        ++m_counts.catchUpCalls;
        ++m_catchUp->calls;
    }

    void readPage(const std::string& afterKey)
    {
        m_isWatching = false;
        sendRequest(platform::rangeTarget(m_options.prefix, afterKey), {}, &implementation::handlePage);
    }

    void handlePage(answer&& result)
    {
        if (!result)
            return handleFailure(rangeCallName, causeOf(result.error()));
        tl::expected<platform::item_page, platform::call_error> page
            = platform::decodeRange(result->status, std::move(result->body));
        if (!page)
            return handleFailure(rangeCallName, causeOf(page.error()));
        handleSuccess(rangeCallName);
        // The pages are not one snapshot. Only changes up to the revision of the first page are certain to be
        // included in all of them.
        if (!m_listingRevision)
            m_listingRevision = page->revision;
        queueConfig(std::move(page->config));
        std::move(page->changes.begin(), page->changes.end(), std::back_inserter(m_listing));
        if (page->hasMore && mayWaitForNeighbour()) {
            m_isWaitingForNeighbour = true;
            return schedule(m_options.neighbourWait, [this, key = page->lastKey] {
                m_isWaitingForNeighbour = false;
                readPage(key);
            });
        }
        if (page->hasMore)
            return readPage(page->lastKey);
        if (*m_listingRevision < m_view.revision())
            m_events.onListingIgnored(*m_listingRevision);
        const core::timestamp now = monotonicNow();
        m_storeReceivedAt = m_currentAt = now;
        publish(m_view.applyListing(std::move(m_listing), *m_listingRevision, now));
        receiveChanges({}, *m_listingRevision);
        m_listing.clear();
        scheduleWatch(m_options.minimumWatchInterval);
    }

    /// True once per follower and only while the view is incomplete: if no neighbour answers, the listing
    /// continues.
    bool mayWaitForNeighbour()
    {
        return m_options.neighbourWait > std::chrono::milliseconds::zero() && !m_view.isComplete()
            && !std::exchange(m_hasWaitedForNeighbour, true);
    }

    void scheduleWatch(core::duration delay)
    {
        m_isWatchScheduled = true;
        schedule(delay, [this] { watch(); });
    }

    void watch()
    {
        m_isWatchScheduled = false;
        m_isWatching = true;
        const std::chrono::milliseconds wait = m_needsProbe ? m_options.probeWatchWait : m_watchWait;
        sendRequest(platform::watchTarget(m_options.prefix, receivedRevision(), wait), wait,
            &implementation::handleWatch);
    }

    void handleWatch(answer&& result)
    {
        m_isWatching = false;
        if (!result && result.error() == store::http_error::TooLarge)
            return catchUpAfterAnswer(answerTooLargeCause);
        if (!result)
            return handleFailure(watchCallName, causeOf(result.error()));
        tl::expected<platform::watch_answer, platform::call_error> changes
            = platform::decodeWatch(result->status, std::move(result->body));
        if (!changes && changes.error() == platform::call_error::HistoryDropped) {
            m_events.onHistoryDropped();
            return catchUpAfterAnswer(historyDroppedCause);
        }
        if (!changes)
            return handleFailure(watchCallName, causeOf(changes.error()));
        m_isWatchUnproven = false;
        handleSuccess(watchCallName);
        m_needsProbe = false;
        m_currentAt = m_storeReceivedAt = monotonicNow();
        queueConfig(std::move(changes->config));
        receiveChanges(std::move(changes->changes), changes->revision);
        const core::duration remaining = m_options.minimumWatchInterval - (m_currentAt - m_requestedAt);
        if (remaining <= core::duration::zero())
            return watch();
        scheduleWatch(remaining);
    }

    void publish(const std::vector<steering::view_update>& updates) { m_events.onUpdates(updates); }

    void handleSuccess(const char* call)
    {
        // A store that refuses some calls of each catch-up is not called again without a wait.
        if (!m_catchUp && !m_isWatchUnproven)
            m_backoff = {};
        if (m_failedCalls > 0)
            m_events.onRecovered(call, monotonicNow() - m_failedSince, std::exchange(m_failedCalls, 0));
    }

    void handleFailure(const char* call, const char* cause)
    {
        const core::timestamp now = monotonicNow();
        if (m_failedCalls++ == 0)
            m_failedSince = now;
        m_needsProbe = true;
        if (m_catchUp) {
            m_catchUp->answeringSince.reset();
            if (!m_catchUp->reportedAt)
                m_catchUp->calls = 0;
        }
        m_view.recordFailure(now);
        m_events.onFailed(call, cause, m_failedCalls == 1);
        m_backoff = std::clamp(2 * m_backoff, m_options.minimumBackoff, m_options.maximumBackoff);
        // A random wait between half and all of the backoff, so that hosts do not retry simultaneously.
        const std::uint32_t half = static_cast<std::uint32_t>(m_backoff.count() / 2);
        schedule(std::chrono::milliseconds { half + m_random(half + 1) }, [this] {
            if (m_view.revision() == 0 || !m_view.isComplete())
                readAll();
            else if (m_catchUp)
                continueCatchUp();
            else
                resumeOrCatchUp(outageCause);
        });
    }

    template <typename Work> void schedule(core::duration delay, Work work)
    {
        m_timer.expires_after(delay);
        // The handler of a timer that has expired runs even if the timer is cancelled before.
        m_timer.async_wait([self = shared_from_this(), work, generation = m_generation](
                               const boost::system::error_code& error) {
            if (!error && generation == self->m_generation)
                work();
        });
    }

    boost::asio::io_context& m_context;
    boost::asio::steady_timer m_timer;
    store_follower_options m_options;
    steering::store_view& m_view;
    store_follower_events m_events;
    pcg32 m_random;
    std::vector<steering::store_change> m_listing;
    std::optional<std::uint64_t> m_listingRevision;
    std::uint64_t m_generation {};
    std::uint64_t m_fetches {};
    store_follower_counts m_counts;
    std::optional<core::socket_address> m_relay;
    std::optional<catch_up_state> m_catchUp;
    kind_listing m_kindListing;
    pause_detector m_pauseDetector;
    std::optional<std::chrono::nanoseconds> m_lastPauseAt;
    config_queue m_configs;
    bool m_isDecodingPosted {};
    /// Revision up to which all changes have been received, at which the watch continues.
    std::uint64_t m_receivedRevision {};
    /// Time of the last answer of the store up to which all changes have been received.
    core::timestamp m_storeReceivedAt;
    /// When all changes were last known to have been received, from the store or from a neighbour.
    core::timestamp m_currentAt;
    std::uint64_t m_failedCalls {};
    core::timestamp m_failedSince;
    core::timestamp m_answeredAt;
    core::timestamp m_requestedAt;
    std::chrono::milliseconds m_backoff {};
    std::chrono::milliseconds m_watchWait;
    bool m_isSuspended {};
    /// Set while the next watch call is scheduled and no call is in progress.
    bool m_isWatchScheduled {};
    bool m_isWaitingForNeighbour {};
    bool m_hasWaitedForNeighbour {};
    bool m_isFetching {};
    /// Set while a neighbour is asked for the changes that a catch-up would read from the store.
    bool m_isAskingRelay {};
    /// Set if the store does not serve the configuration as a single key; it is then read with a listing.
    bool m_listsConfig {};
    bool m_needsProbe {};
    /// Set after a catch-up from the store until a watch call is answered with the changes after it.
    bool m_isWatchUnproven {};
    bool m_isWatching {};
};

store_follower::store_follower(boost::asio::io_context& context, const store_follower_options& options,
    steering::store_view& view, store_follower_events events)
    : m_implementation(std::make_shared<implementation>(context, options, view, std::move(events)))
{
}

store_follower::~store_follower()
{
    m_implementation->stop();
    m_implementation->abandonDecoding();
}

void store_follower::start() { m_implementation->readAll(); }

void store_follower::restart() { m_implementation->restart(); }

void store_follower::resume(std::chrono::milliseconds wait) { m_implementation->resume(wait); }

void store_follower::suspend() { m_implementation->suspend(); }

void store_follower::fetchChanges(const core::socket_address& relay)
{
    m_implementation->fetchChanges(relay);
}

bool store_follower::isWaitingForNeighbour() const { return m_implementation->isWaitingForNeighbour(); }

void store_follower::setRelay(const std::optional<core::socket_address>& relay)
{
    m_implementation->setRelay(relay);
}

void store_follower::confirmCurrent() { m_implementation->confirmCurrent(); }

void store_follower::checkPause() { m_implementation->checkPause(); }

void store_follower::handlePause() { m_implementation->handlePause(); }

void store_follower::recordWork() { m_implementation->recordWork(); }

bool store_follower::isCatchingUp() const { return m_implementation->isCatchingUp(); }

store_follower_counts store_follower::counts() const { return m_implementation->counts(); }

std::uint64_t store_follower::receivedRevision() const { return m_implementation->receivedRevision(); }

std::uint64_t store_follower::decodedSlices() const { return m_implementation->decodedSlices(); }

core::timestamp store_follower::answeredAt() const { return m_implementation->answeredAt(); }

} // namespace shallotcove::daemon
