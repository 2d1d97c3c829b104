#include "store_codec.hpp"

#include <algorithm>

#include <shallotcove/store/http_exchange.hpp>
#include <shallotcove/store/json_text.hpp>

namespace shallotcove::store {

namespace {

    // gRPC status codes, which the gateway puts into the field "code" of an error.
    constexpr int deadlineExceeded = 4;
    constexpr int notFound = 5;
    constexpr int outOfRange = 11;
    constexpr int unavailable = 14;

    template <typename Result> using parsed = tl::expected<Result, store_error>;

    /// First key after all keys with this prefix. If no key can follow them, a single zero byte, which stands
    /// for "to the end" in the etcd API.
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
            // The gateway received the request, but the store behind it may or may not have applied it.
            return store_error::AnswerLost;
        default:
            return store_error::ProtocolError;
        }
    }

    parsed<Json::Value> parseObject(const http_response& response)
    {
        std::optional<Json::Value> value = parseJson(response.body);
        if (response.status != 200)
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

    /// The store's revision, which every response to a read, a transaction or a watch carries.
    parsed<core::config_index> revisionOf(const Json::Value& object)
    {
        return positiveNumber(object["header"], "revision").map([](std::int64_t revision) {
            return core::config_index { static_cast<std::uint64_t>(revision) };
        });
    }

    parsed<core::store_entry> parseEntry(const Json::Value& keyValue, bool isDeleted)
    {
        const parsed<std::int64_t> modified = positiveNumber(keyValue, "mod_revision");
        if (!modified || !keyValue["key"].isString()
            || !(keyValue["value"].isString() || keyValue["value"].isNull()))
            return tl::unexpected(store_error::ProtocolError);
        const std::optional<std::string> key = decodeBase64(keyValue["key"].asString());
        const std::optional<std::string> value = decodeBase64(keyValue["value"].asString());
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

std::string formatLeaseId(std::int64_t leaseId)
{
    Json::Value request;
    request["ID"] = std::to_string(leaseId);
    return formatJson(request);
}

std::string formatWatch(const std::string& prefix, core::config_index firstRevision)
{
    Json::Value request;
    addRange(request["create_request"], prefix);
    // The first revision of a store is 1; etcd takes 0 as "from now on", which would skip all earlier
    // changes.
    request["create_request"]["start_revision"]
        = std::to_string(std::max<std::uint64_t>(firstRevision.value, 1));
    request["create_request"]["progress_notify"] = true;
    return formatJson(request);
}

tl::expected<store_range, store_error> parseRange(const http_response& response)
{
    const parsed<Json::Value> object = parseObject(response);
    if (!object)
        return tl::unexpected(object.error());
    const parsed<core::config_index> revision = revisionOf(*object);
    const Json::Value& keyValues = (*object)["kvs"];
    if (!revision || !(keyValues.isArray() || keyValues.isNull()))
        return tl::unexpected(store_error::ProtocolError);
    store_range range { {}, *revision };
    for (const Json::Value& keyValue : keyValues) {
        const parsed<core::store_entry> entry = parseEntry(keyValue, false);
        if (!entry)
            return tl::unexpected(entry.error());
        range.entries.push_back(*entry);
    }
    return range;
}

tl::expected<swap_result, store_error> parseSwap(const http_response& response)
{
    const parsed<Json::Value> object = parseObject(response);
    if (!object)
        return tl::unexpected(object.error());
    const parsed<core::config_index> revision = revisionOf(*object);
    const Json::Value& succeeded = (*object)["succeeded"];
    if (!revision || !(succeeded.isBool() || succeeded.isNull()))
        return tl::unexpected(store_error::ProtocolError);
    return swap_result { succeeded.asBool(), *revision };
}

tl::expected<std::int64_t, store_error> parseLeaseGrant(const http_response& response)
{
    return parseObject(response).and_then(
        [](const Json::Value& object) { return positiveNumber(object, "ID"); });
}

tl::expected<std::chrono::seconds, store_error> parseKeepAlive(const http_response& response)
{
    const parsed<Json::Value> object = parseObject(response);
    if (!object)
        return tl::unexpected(object.error());
    const std::optional<std::int64_t> timeToLive = readNumber((*object)["result"], "TTL");
    if (!timeToLive)
        return tl::unexpected(store_error::ProtocolError);
    // The store reports an expired lease by leaving out the TTL, not by an error.
    if (*timeToLive <= 0)
        return tl::unexpected(store_error::LeaseNotFound);
    return std::chrono::seconds { *timeToLive };
}

tl::expected<std::monostate, store_error> parseLeaseRevoke(const http_response& response)
{
    return parseObject(response).map([](const Json::Value&) { return std::monostate {}; });
}

tl::expected<watch_response, store_error> parseWatchResponse(std::string_view line)
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
    watch_response watchResponse { result["created"] == true, { *entries, *revision } };
    // While a watch catches up, the header already has the store's newest revision, although later events are
    // still to come: a response with events is complete only up to the newest of them. A response without
    // events is a progress notification and complete up to the revision in the header.
    if (!entries->empty())
        watchResponse.range.revision
            = std::max_element(entries->begin(), entries->end(), [](const auto& left, const auto& right) {
                  return left.modified.value < right.modified.value;
              })->modified;
    return watchResponse;
}

} // namespace shallotcove::store
