#include "store_api.hpp"

#include <map>

#include <shallotcove/store/json_text.hpp>

namespace shallotcove::testbench {

namespace {

    using store::decodeBase64;
    using store::encodeBase64;
    using store::formatJson;
    using store::readNumber;

    // gRPC status codes.
    constexpr int invalidArgument = 3;
    constexpr int notFound = 5;
    constexpr int outOfRange = 11;
    constexpr int unimplemented = 12;

    api_response makeError(int code, const std::string& message)
    {
        Json::Value error;
        error["error"] = message;
        error["message"] = message;
        error["code"] = code;
        const unsigned status = code == notFound ? 404 : code == unimplemented ? 501 : 400;
        return { status, formatJson(error) };
    }

    api_response makeError(store_model::error error)
    {
        switch (error) {
        case store_model::error::LeaseNotFound:
            return makeError(notFound, "etcdserver: requested lease not found");
        case store_model::error::Compacted:
            return makeError(outOfRange, "etcdserver: mvcc: required revision has been compacted");
        case store_model::error::FutureRevision:
            break;
        }
        return makeError(outOfRange, "etcdserver: mvcc: required revision is a future revision");
    }

    Json::Value makeResponse(const store_model& model)
    {
        Json::Value response;
        response["header"]["revision"] = std::to_string(model.revision());
        return response;
    }

    std::optional<key_range> parseRange(const Json::Value& request)
    {
        if (!request.isObject() || !request["key"].isString()
            || !(request["range_end"].isString() || request["range_end"].isNull()))
            return std::nullopt;
        const std::optional<std::string> begin = decodeBase64(request["key"].asString());
        const std::optional<std::string> end = decodeBase64(request["range_end"].asString());
        if (!begin || !end || begin->empty())
            return std::nullopt;
        return key_range { *begin, *end };
    }

    Json::Value formatKey(const stored_key& stored)
    {
        Json::Value value;
        value["key"] = encodeBase64(stored.key);
        value["mod_revision"] = std::to_string(stored.modRevision);
        if (stored.version == 0)
            return value;
        value["value"] = encodeBase64(stored.value);
        value["create_revision"] = std::to_string(stored.createRevision);
        value["version"] = std::to_string(stored.version);
        if (stored.lease != 0)
            value["lease"] = std::to_string(stored.lease);
        return value;
    }

    std::optional<std::vector<store_condition>> parseConditions(const Json::Value& list)
    {
        std::vector<store_condition> conditions;
        for (const Json::Value& item : list) {
            const std::optional<key_range> range = parseRange(item);
            const std::optional<std::int64_t> modRevision = readNumber(item, "mod_revision");
            if (!range || !modRevision || item["target"] != "MOD" || item["result"] != "EQUAL")
                return std::nullopt;
            conditions.push_back({ range->begin, *modRevision });
        }
        return conditions;
    }

    std::optional<store_operation> parseOperation(const Json::Value& item)
    {
        if (!item.isObject())
            return std::nullopt;
        const bool isPut = item.isMember("request_put");
        const Json::Value& request = item[isPut ? "request_put" : "request_delete_range"];
        const std::optional<key_range> range = parseRange(request);
        const std::optional<std::int64_t> lease = range ? readNumber(request, "lease") : std::nullopt;
        if (!range || !lease)
            return std::nullopt;
        if (!isPut)
            return store_operation { store_operation::kind::Delete, *range, {}, 0 };
        const std::optional<std::string> value = decodeBase64(request["value"].asString());
        if (!value)
            return std::nullopt;
        return store_operation { store_operation::kind::Put, *range, *value, *lease };
    }

    api_response handleRange(store_model& model, const Json::Value& request, store_model::time)
    {
        const std::optional<key_range> range = parseRange(request);
        if (!range)
            return makeError(invalidArgument, "etcdserver: key is not provided");
        Json::Value response = makeResponse(model);
        for (const stored_key& stored : model.range(*range))
            response["kvs"].append(formatKey(stored));
        if (response["kvs"].empty())
            response.removeMember("kvs");
        else
            response["count"] = std::to_string(response["kvs"].size());
        return { 200, formatJson(response) };
    }

    api_response handleTransaction(store_model& model, const Json::Value& request, store_model::time)
    {
        const std::optional<std::vector<store_condition>> conditions = parseConditions(request["compare"]);
        if (!conditions || !request["failure"].empty())
            return makeError(
                invalidArgument, "only MOD EQUAL compares without failure operations are supported");
        std::vector<store_operation> operations;
        for (const Json::Value& item : request["success"]) {
            const std::optional<store_operation> operation = parseOperation(item);
            if (!operation)
                return makeError(invalidArgument, "malformed operation");
            operations.push_back(*operation);
        }
        const tl::expected<bool, store_model::error> succeeded = model.transact(*conditions, operations);
        if (!succeeded)
            return makeError(succeeded.error());
        Json::Value response = makeResponse(model);
        // The etcd gateway omits fields with their default value.
        if (*succeeded)
            response["succeeded"] = true;
        return { 200, formatJson(response) };
    }

    api_response handleGrant(store_model& model, const Json::Value& request, store_model::time now)
    {
        const std::optional<std::int64_t> timeToLive = readNumber(request, "TTL");
        if (!timeToLive || *timeToLive <= 0)
            return makeError(invalidArgument, "TTL has to be positive");
        Json::Value response = makeResponse(model);
        response["ID"] = std::to_string(model.grantLease(std::chrono::seconds { *timeToLive }, now));
        response["TTL"] = std::to_string(*timeToLive);
        return { 200, formatJson(response) };
    }

    api_response handleKeepAlive(store_model& model, const Json::Value& request, store_model::time now)
    {
        const std::int64_t id = readNumber(request, "ID").value_or(0);
        const std::optional<std::chrono::seconds> timeToLive = model.keepLeaseAlive(id, now);
        Json::Value response;
        response["result"] = makeResponse(model);
        response["result"]["ID"] = std::to_string(id);
        if (timeToLive)
            response["result"]["TTL"] = std::to_string(timeToLive->count());
        return { 200, formatJson(response) + "\n" };
    }

    api_response handleRevoke(store_model& model, const Json::Value& request, store_model::time)
    {
        const tl::expected<void, store_model::error> revoked
            = model.revokeLease(readNumber(request, "ID").value_or(0));
        if (!revoked)
            return makeError(revoked.error());
        return { 200, formatJson(makeResponse(model)) };
    }

    api_response handleCompaction(store_model& model, const Json::Value& request, store_model::time)
    {
        const tl::expected<void, store_model::error> compacted
            = model.compact(readNumber(request, "revision").value_or(0));
        if (!compacted)
            return makeError(compacted.error());
        return { 200, formatJson(makeResponse(model)) };
    }

    using call_handler = api_response (*)(store_model&, const Json::Value&, store_model::time);

    std::string formatLine(const Json::Value& result)
    {
        Json::Value line;
        line["result"] = result;
        return formatJson(line);
    }

} // namespace

api_response handleStoreCall(
    store_model& model, const std::string& target, const std::string& body, store_model::time now)
{
    static const std::map<std::string, call_handler> handlers { { "/v3/kv/range", handleRange },
        { "/v3/kv/txn", handleTransaction }, { "/v3/lease/grant", handleGrant },
        { "/v3/lease/keepalive", handleKeepAlive }, { "/v3/lease/revoke", handleRevoke },
        { "/v3/kv/compaction", handleCompaction } };
    const auto found = handlers.find(target);
    if (found == handlers.end())
        return makeError(unimplemented, "no call " + target);
    const std::optional<Json::Value> request = store::parseJson(body);
    if (!request || !request->isObject())
        return makeError(invalidArgument, "the body is not a JSON object");
    model.expireLeases(now);
    return found->second(model, *request, now);
}

std::optional<watch_request> parseWatchRequest(const std::string& body, const store_model& model)
{
    const std::optional<Json::Value> request = store::parseJson(body);
    if (!request || !request->isObject())
        return std::nullopt;
    const Json::Value& create = (*request)["create_request"];
    const std::optional<key_range> range = parseRange(create);
    const std::optional<std::int64_t> start = range ? readNumber(create, "start_revision") : std::nullopt;
    if (!range || !start || *start < 0)
        return std::nullopt;
    return watch_request { *range, *start == 0 ? model.revision() + 1 : *start };
}

std::string formatWatchCreated(const store_model& model)
{
    Json::Value result = makeResponse(model);
    result["created"] = true;
    return formatLine(result);
}

std::string formatWatchEvents(const store_model& model, const std::vector<stored_event>& events)
{
    Json::Value result = makeResponse(model);
    for (const stored_event& event : events) {
        Json::Value item;
        // PUT is the default value and therefore omitted.
        if (event.isDeletion)
            item["type"] = "DELETE";
        item["kv"] = formatKey(event.key);
        result["events"].append(item);
    }
    return formatLine(result);
}

std::string formatWatchCompacted(const store_model& model)
{
    Json::Value result = makeResponse(model);
    result["canceled"] = true;
    result["compact_revision"] = std::to_string(model.compactedRevision());
    return formatLine(result);
}

} // namespace shallotcove::testbench
