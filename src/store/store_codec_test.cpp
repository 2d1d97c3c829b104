#include "store_codec.hpp"

#include <array>

#include <criterion/criterion.h>

#include <shallotcove/store/http_exchange.hpp>

namespace core = shallotcove::core;
namespace store = shallotcove::store;

using enum store::store_error;

namespace {

struct bad_answer {
    unsigned status;
    const char* body;
    store::store_error error;
};

} // namespace

// Guards against answers that are half understood: a missing revision or key would look like lost
// configuration.
Test(store_codec, refuses_malformed_ranges)
{
    const std::array<bad_answer, 13> answers { {
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
    for (const bad_answer& answer : answers) {
        const tl::expected<store::store_range, store::store_error> range
            = store::parseRange({ answer.status, answer.body });
        cr_assert(!range && range.error() == answer.error, "%s", answer.body);
    }
}

// Guards against watches that take a progress notification or a catch-up batch for complete where it is not.
Test(store_codec, tells_how_far_a_watch_line_reaches)
{
    const tl::expected<store::watch_line, store::store_error> created
        = store::parseWatchLine(R"({"result":{"header":{"revision":"9"},"created":true}})");
    cr_assert(created && created->isCreated);
    const tl::expected<store::watch_line, store::store_error> progress
        = store::parseWatchLine(R"({"result":{"header":{"revision":"9"}}})");
    cr_assert(progress && !progress->isCreated && progress->range.revision == core::config_index { 9 });
    const tl::expected<store::watch_line, store::store_error> events
        = store::parseWatchLine(R"({"result":{"header":{"revision":"9"},"events":[)"
                                R"({"kv":{"key":"YQ==","value":"Yg==","mod_revision":"4"}},)"
                                R"({"type":"DELETE","kv":{"key":"Yw==","mod_revision":"6"}}]}})");
    const store::store_range expected { { { "a", { 4 }, false, "b" }, { "c", { 6 }, true, "" } }, { 6 } };
    cr_assert(events && events->range == expected);
    const std::array<bad_answer, 6> lines { {
        { 200, R"({"result":{"header":{"revision":"9"},"canceled":true,"compact_revision":"8"}})",
            Compacted },
        { 200, R"({"result":{"header":{"revision":"9"},"canceled":true}})", ProtocolError },
        { 200, R"({"error":{"code":14,"message":"no leader"}})", AnswerLost },
        { 200, R"({"result":{"header":{"revision":"9"},"events":[{}]}})", ProtocolError },
        { 200, R"({"result":[]})", ProtocolError },
        { 200, "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[", ProtocolError },
    } };
    for (const bad_answer& line : lines) {
        const tl::expected<store::watch_line, store::store_error> parsed = store::parseWatchLine(line.body);
        cr_assert(!parsed && parsed.error() == line.error, "%s", line.body);
    }
}
