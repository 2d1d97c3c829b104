#include "store_codec.hpp"

#include <array>

#include <criterion/criterion.h>

#include <shallotcove/store/http_exchange.hpp>

namespace core = shallotcove::core;
namespace store = shallotcove::store;

using enum store::store_error;

namespace {

struct error_case {
    unsigned status;
    const char* body;
    store::store_error error;
};

} // namespace

// If the valid part of a malformed range response were used, a missing revision or key would look as if
// configuration had been lost. The whole response must be rejected.
Test(store_codec, rejects_malformed_range_responses)
{
    const std::array<error_case, 13> rangeCases { {
        { 200, "", ProtocolError },
        { 200, "[]", ProtocolError },
        { 200, "{}", ProtocolError },
        { 200, R"({"header":{}})", ProtocolError },
        { 200, R"({"header":{"revision":"x"}})", ProtocolError },
        { 200, R"({"header":{"revision":"-1"}})", ProtocolError },
        { 200, R"({"header":[]})", ProtocolError },
        { 200, R"({"header":{"revision":"5"},"kvs":{}})", ProtocolError },
        { 200, R"({"header":{"revision":"5"},"kvs":[1]})", ProtocolError },
        { 200, R"({"header":{"revision":"5"},"kvs":[{"key":"!","mod_revision":"4"}]})", ProtocolError },
        { 200, R"({"header":{"revision":"5"},"kvs":[{"key":"YQ=="}]})", ProtocolError },
        { 503, R"({"error":"no leader","code":14})", AnswerLost },
        { 500, "no JSON", ProtocolError },
    } };
    for (const error_case& rangeCase : rangeCases) {
        const tl::expected<store::store_range, store::store_error> range
            = store::parseRange({ rangeCase.status, rangeCase.body });
        cr_assert(!range && range.error() == rangeCase.error, "%s", rangeCase.body);
    }
}

// A watch resumes after the revision up to which it is complete. If that were taken from the header of a
// created response or of a batch of events sent while the watch catches up, the events between would be
// skipped. Only a progress notification is complete up to the revision in its header.
Test(store_codec, determines_the_revision_of_a_watch_response)
{
    const tl::expected<store::watch_response, store::store_error> created
        = store::parseWatchResponse(R"({"result":{"header":{"revision":"9"},"created":true}})");
    cr_assert(created && created->isCreated);
    const tl::expected<store::watch_response, store::store_error> progress
        = store::parseWatchResponse(R"({"result":{"header":{"revision":"9"}}})");
    cr_assert(progress && !progress->isCreated && progress->range.revision == core::config_index { 9 });
    const tl::expected<store::watch_response, store::store_error> events
        = store::parseWatchResponse(R"({"result":{"header":{"revision":"9"},"events":[)"
                                    R"({"kv":{"key":"YQ==","value":"Yg==","mod_revision":"4"}},)"
                                    R"({"type":"DELETE","kv":{"key":"Yw==","mod_revision":"6"}}]}})");
    const store::store_range expected { { { "a", { 4 }, false, "b" }, { "c", { 6 }, true, "" } }, { 6 } };
    cr_assert(events && events->range == expected);
    const std::array<error_case, 6> watchCases { {
        { 200, R"({"result":{"header":{"revision":"9"},"canceled":true,"compact_revision":"8"}})",
            Compacted },
        { 200, R"({"result":{"header":{"revision":"9"},"canceled":true}})", ProtocolError },
        { 200, R"({"error":{"code":14,"message":"no leader"}})", AnswerLost },
        { 200, R"({"result":{"header":{"revision":"9"},"events":[{}]}})", ProtocolError },
        { 200, R"({"result":[]})", ProtocolError },
        { 200, "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[", ProtocolError },
    } };
    for (const error_case& watchCase : watchCases) {
        const tl::expected<store::watch_response, store::store_error> parsed
            = store::parseWatchResponse(watchCase.body);
        cr_assert(!parsed && parsed.error() == watchCase.error, "%s", watchCase.body);
    }
}
