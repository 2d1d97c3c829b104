#include "store_codec.hpp"

#include <algorithm>

#include <shallotcove/store/http_exchange.hpp>
#include <shallotcove/store/json_text.hpp>

namespace shallotcove::store {

namespace {

    // Status codes of gRPC, which the gateway puts into "code".
    constexpr int deadlineExceeded = 4;
    constexpr int notFound = 5;
    constexpr int outOfRange = 11;
    constexpr int unavailable = 14;

    template <typename Result> using parsed = tl::expected<Result, store_error>;

    /// First key behind all keys with this prefix. A single zero byte stands for "to the end" (etcd API).
    std::string rangeEnd(std::string prefix)
    {
        while (!prefix.empty() && prefix.back() == '\xff')
            prefix.pop_back();
        if (prefix.empty())
            return std::string(1, '\0');
        ++prefix.back();
        return prefix;
    }

    void addRange(Json::Value& request, const std::string& prefix)
    {
        request["key"] = encodeBase64(prefix.empty() ? std::string(1, '\0') : prefix);
        request["range_end"] = encodeBase64(rangeEnd(prefix));
    }

    store_error errorOf(const Json::Value& object)
    {
        if (!object.isObject() || !object["code"].isInt())
            return store_error::ProtocolError;
        switch (object["code"].asInt()) {
        case notFound:
            return store_error::LeaseNotFound;
        case outOfRange:
            return store_error::Compacted;
        case deadlineExceeded:
        case unavailable:
            // The gateway got the request; whether the store behind it took it is open.
            return store_error::AnswerLost;
        default:
            return store_error::ProtocolError;
        }
    }

    parsed<Json::Value> parseObject(const http_answer& answer)
    {
        std::optional<Json::Value> value = parseJson(answer.body);
        if (answer.status != 200)
            return tl::unexpected(value ? errorOf(*value) : store_error::ProtocolError);
        if (!value || !value->isObject())
            return tl::unexpected(store_error::ProtocolError);
        return *std::move(value);
    }

    parsed<std::int64_t> positiveNumber(const Json::Value& object, const char* field)
    {
        const std::optional<std::int64_t> number = readNumber(object, field);
        if (!number || *number <= 0)
            return tl::unexpected(store_error::ProtocolError);
        return *number;
    }

    /// The store's revision; every answer to a read or a transaction has it.
    parsed<core::config_index> revisionOf(const Json::Value& object)
    {
        return positiveNumber(object["header"], "revision").map([](std::int64_t revision) {
            return core::config_index { static_cast<std::uint64_t>(revision) };
        });
    }

    parsed<core::store_entry> parseEntry(const Json::Value& pair, bool isDeleted)
    {
        const parsed<std::int64_t> modified = positiveNumber(pair, "mod_revision");
        if (!modified || !pair["key"].isString() || !(pair["value"].isString() || pair["value"].isNull()))
            return tl::unexpected(store_error::ProtocolError);
        const std::optional<std::string> key = decodeBase64(pair["key"].asString());
        const std::optional<std::string> value = decodeBase64(pair["value"].asString());
        if (!key || !value)
            return tl::unexpected(store_error::ProtocolError);
        return core::store_entry { *key, { static_cast<std::uint64_t>(*modified) }, isDeleted, *value };
    }

    parsed<std::vector<core::store_entry>> parseEvents(const Json::Value& events)
    {
        std::vector<core::store_entry> entries;
        for (const Json::Value& event : events) {
            if (!event.isObject())
                return tl::unexpected(store_error::ProtocolError);
            const parsed<core::store_entry> entry = parseEntry(event["kv"], event["type"] == "DELETE");
            if (!entry)
                return tl::unexpected(entry.error());
            entries.push_back(*entry);
        }
        return entries;
    }

} // namespace

std::string formatRange(const std::string& prefix)
{
    Json::Value request;
    addRange(request, prefix);
    return formatJson(request);
}

std::string formatSwap(const std::vector<key_swap>& swaps, std::int64_t leaseId)
{
    Json::Value request;
    for (const key_swap& swap : swaps) {
        const std::string key = encodeBase64(swap.key);
        Json::Value compare;
        compare["key"] = key;
        compare["target"] = "MOD";
        compare["result"] = "EQUAL";
        compare["mod_revision"] = std::to_string(swap.expected.value);
        request["compare"].append(compare);
        Json::Value operation;
        if (swap.value) {
            operation["request_put"]["key"] = key;
            operation["request_put"]["value"] = encodeBase64(*swap.value);
            if (leaseId != 0)
                operation["request_put"]["lease"] = std::to_string(leaseId);
        } else
            operation["request_delete_range"]["key"] = key;
        request["success"].append(operation);
    }
    return formatJson(request);
}

std::string formatLeaseGrant(std::chrono::seconds timeToLive)
{
    Json::Value request;
    request["TTL"] = std::to_string(timeToLive.count());
    return formatJson(request);
}

std::string formatLease(std::int64_t leaseId)
{
    Json::Value request;
    request["ID"] = std::to_string(leaseId);
    return formatJson(request);
}

std::string formatWatch(const std::string& prefix, core::config_index from)
{
    Json::Value request;
    addRange(request["create_request"], prefix);
    // The first revision of a store is 1; 0 would mean "from now on" and lose what is there.
    request["create_request"]["start_revision"] = std::to_string(std::max<std::uint64_t>(from.value, 1));
    request["create_request"]["progress_notify"] = true;
    return formatJson(request);
}

tl::expected<store_range, store_error> parseRange(const http_answer& answer)
{
    const parsed<Json::Value> object = parseObject(answer);
    if (!object)
        return tl::unexpected(object.error());
    const parsed<core::config_index> revision = revisionOf(*object);
    const Json::Value& pairs = (*object)["kvs"];
    if (!revision || !(pairs.isArray() || pairs.isNull()))
        return tl::unexpected(store_error::ProtocolError);
    store_range range { {}, *revision };
    for (const Json::Value& pair : pairs) {
        const parsed<core::store_entry> entry = parseEntry(pair, false);
        if (!entry)
            return tl::unexpected(entry.error());
        range.entries.push_back(*entry);
    }
    return range;
}

tl::expected<swap_result, store_error> parseSwap(const http_answer& answer)
{
    const parsed<Json::Value> object = parseObject(answer);
    if (!object)
        return tl::unexpected(object.error());
    const parsed<core::config_index> revision = revisionOf(*object);
    const Json::Value& succeeded = (*object)["succeeded"];
    if (!revision || !(succeeded.isBool() || succeeded.isNull()))
        return tl::unexpected(store_error::ProtocolError);
    return swap_result { succeeded.asBool(), *revision };
}

tl::expected<std::int64_t, store_error> parseLeaseGrant(const http_answer& answer)
{
    return parseObject(answer).and_then(
        [](const Json::Value& object) { return positiveNumber(object, "ID"); });
}

tl::expected<std::chrono::seconds, store_error> parseKeepAlive(const http_answer& answer)
{
    const parsed<Json::Value> object = parseObject(answer);
    if (!object)
        return tl::unexpected(object.error());
    const std::optional<std::int64_t> timeToLive = readNumber((*object)["result"], "TTL");
    if (!timeToLive)
        return tl::unexpected(store_error::ProtocolError);
    // An expired lease is answered without TTL rather than with an error.
    if (*timeToLive <= 0)
        return tl::unexpected(store_error::LeaseNotFound);
    return std::chrono::seconds { *timeToLive };
}

tl::expected<std::monostate, store_error> parseLeaseRevoke(const http_answer& answer)
{
    return parseObject(answer).map([](const Json::Value&) { return std::monostate {}; });
}

tl::expected<watch_line, store_error> parseWatchLine(std::string_view line)
{
    const std::optional<Json::Value> value = parseJson(line);
    if (!value || !value->isObject())
        return tl::unexpected(store_error::ProtocolError);
    if (value->isMember("error"))
        return tl::unexpected(errorOf((*value)["error"]));
    const Json::Value& result = (*value)["result"];
    if (!result.isObject())
        return tl::unexpected(store_error::ProtocolError);
    if (result.isMember("compact_revision"))
        return tl::unexpected(store_error::Compacted);
    const parsed<core::config_index> revision = revisionOf(result);
    const Json::Value& events = result["events"];
    if (!revision || result["canceled"] == true || !(events.isArray() || events.isNull()))
        return tl::unexpected(store_error::ProtocolError);
    const parsed<std::vector<core::store_entry>> entries = parseEvents(events);
    if (!entries)
        return tl::unexpected(entries.error());
    watch_line parsedLine { result["created"] == true, { *entries, *revision } };
    // While a watch catches up, the header already has the store's newest revision; the events reach only as
    // far as the last of them. A line without events is a progress notification and complete up to the
    // header.
    if (!entries->empty())
        parsedLine.range.revision
            = std::max_element(entries->begin(), entries->end(), [](const auto& left, const auto& right) {
                  return left.modified.value < right.modified.value;
              })->modified;
    return parsedLine;
}

} // namespace shallotcove::store
