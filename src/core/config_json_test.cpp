#include <shallotcove/core/config_json.hpp>

#include <array>
#include <random>

#include <criterion/criterion.h>

#include <shallotcove/core/config_limits.hpp>
#include <shallotcove/core/ip_prefix.hpp>

namespace core = shallotcove::core;

namespace {

const std::string validService
    = R"({"address":"192.0.2.1:443","classes":[{"name":"couples",)"
      R"("newFlowsPerSecond":500,"prefix":"198.51.100.0/24"}],"epochs":[{"number":7,)"
      R"("phase":"Active","servers":[{"server":1,"weight":100}]}],"id":3,)"
      R"("name":"rezervari","nextServerId":2,"operations":[{"author":"ana",)"
      R"("id":"op-1","revision":4,"summary":"Nunți"}],"protocol":"tcp",)"
      R"("revision":4,"servers":[{"address":"[2001:db8::5]:6080",)"
      R"("coldNewFlowsPerSecond":10,"dataCentre":"buc-a","id":1,)"
      R"("newFlowsPerSecond":0,"state":"Active","weight":100}],"state":"Active"})";

struct invalid_input {
    std::string before;
    std::string after;
    std::string path;
};

std::string replaced(const std::string& text, const std::string& before, const std::string& after)
{
    const std::size_t position = text.find(before);
    cr_assert(position != std::string::npos, "%s is not in the valid value", before.c_str());
    return text.substr(0, position) + after + text.substr(position + before.size());
}

} // namespace

// A value must stay the same when a host reads it and writes it back. Otherwise a compare-and-swap would
// write changes that nobody made.
Test(config_json, round_trip)
{
    const tl::expected<core::service_config, core::config_problems> service
        = core::parseServiceConfig(validService);
    cr_assert(service.has_value());
    cr_assert(core::formatServiceConfig(*service) == validService);

    const std::string dataCentre = R"({"name":"buc-a","operations":[],"revision":1,"state":"Out"})";
    const tl::expected<core::data_centre_config, core::config_problems> parsedDataCentre
        = core::parseDataCentreConfig(dataCentre);
    cr_assert(parsedDataCentre.has_value());
    cr_assert(parsedDataCentre->state == core::data_centre_state::Out);
    cr_assert(core::formatDataCentreConfig(*parsedDataCentre) == dataCentre);

    const std::string reservation = R"({"id":3,"service":"rezervari","state":"Removing"})";
    const tl::expected<core::address_reservation, core::config_problems> parsedReservation
        = core::parseAddressReservation(reservation);
    cr_assert(parsedReservation.has_value() && parsedReservation->isRemoving);
    cr_assert(core::formatAddressReservation(*parsedReservation) == reservation);
    cr_assert(core::addressKey(service->address, service->protocol) == "addresses/192.0.2.1:443/tcp");
}

// A damaged or hand-written value must be rejected, with the path of the field at fault.
Test(config_json, rejects_invalid_service_with_path)
{
    const std::array<invalid_input, 31> inputs { {
        { R"("id":3)", R"("id":0)", "id" },
        { R"("id":3)", R"("id":4294967296)", "id" },
        { R"("id":3)", R"("id":-1)", "id" },
        { R"("id":3)", R"("id":3.5)", "id" },
        { R"("id":3)", R"("id":"3")", "id" },
        { R"("id":3,)", "", "id" },
        { R"("id":3,)", R"("id":3,"extra":1,)", "extra" },
        { R"("rezervari")", R"("Rezervari")", "name" },
        { R"("rezervari")", R"("")", "name" },
        { R"("192.0.2.1:443")", R"("192.0.2.1:0")", "address" },
        { R"("192.0.2.1:443")", R"("192.0.2.1")", "address" },
        { R"("tcp")", R"("sctp")", "protocol" },
        { R"("tcp")", R"(["tcp"])", "protocol" },
        { R"("state":"Active"})", R"("state":"Gone"})", "state" },
        { R"("state":"Active","weight")", R"("state":"Gone","weight")", "servers[0].state" },
        { R"("buc-a")", R"("-buc")", "servers[0].dataCentre" },
        { R"(:6080")", R"(")", "servers[0].address" },
        { R"("coldNewFlowsPerSecond":10)", R"("coldNewFlowsPerSecond":0)",
            "servers[0].coldNewFlowsPerSecond" },
        { R"("weight":100}],"state")", R"("weight":10001}],"state")", "servers[0].weight" },
        { R"("198.51.100.0/24")", R"("198.51.100.0/33")", "classes[0].prefix" },
        { R"("198.51.100.0/24")", R"("198.51.100.1/24")", "classes[0].prefix" },
        { R"("198.51.100.0/24")", "7", "classes[0].prefix" },
        { R"("newFlowsPerSecond":500)", R"("newFlowsPerSecond":10000001)", "classes[0].newFlowsPerSecond" },
        { R"("classes":[{)", R"("classes":[1,{)", "classes[0]" },
        { R"("number":7)", R"("number":0)", "epochs[0].number" },
        { R"("server":1)", R"("server":2)", "epochs[0].servers[0].server" },
        { R"("nextServerId":2)", R"("nextServerId":1)", "servers[0].id" },
        { R"("op-1")", R"("")", "operations[0].id" },
        { R"("ana")", "\"a\x80\"", "operations[0].author" },
        { R"("ana")", R"("a\u0007")", "operations[0].author" },
        { R"("id":3,)", R"("id":3,"id":4,)", "" },
    } };
    for (const invalid_input& input : inputs) {
        const tl::expected<core::service_config, core::config_problems> service
            = core::parseServiceConfig(replaced(validService, input.before, input.after));
        cr_assert(!service, "%s is accepted", input.after.c_str());
        cr_assert(
            service.error().size() == 1, "%s: %zu problems", input.after.c_str(), service.error().size());
        const core::config_problem& problem = service.error().front();
        cr_assert(problem.path == input.path, "%s: path '%s'", input.after.c_str(), problem.path.c_str());
        cr_assert(!problem.message.empty());
    }
}

// Text that is not JSON must be rejected, not end the process: jsoncpp throws an exception on deep nesting.
Test(config_json, rejects_text_that_is_not_json)
{
    const std::array<std::string, 8> inputs { "", "{", "[]", "null", validService + "x",
        "// a\n" + validService, std::string(100'000, '['), std::string(core::maximumValueBytes + 1, ' ') };
    for (const std::string& input : inputs) {
        cr_assert(!core::parseServiceConfig(input), "%.40s", input.c_str());
        cr_assert(!core::parseDataCentreConfig(input), "%.40s", input.c_str());
        cr_assert(!core::parseAddressReservation(input), "%.40s", input.c_str());
    }
}

// All problems must be reported together: otherwise an operator has to fix a value one problem at a time.
// Also checks the wording of the messages.
Test(config_json, reports_all_problems_together)
{
    const tl::expected<core::data_centre_config, core::config_problems> dataCentre
        = core::parseDataCentreConfig(R"({"name":"A","state":"in","revision":0,"region":"x"})");
    const core::config_problems expected {
        { "name",
            R"(is "A"; allowed: 1 to 63 characters of a-z, 0-9 and '-', not beginning or ending with '-')" },
        { "state", R"(is "in"; allowed: "In", "Out")" },
        { "revision", "is 0; allowed: 1 to 18446744073709551615" },
        { "operations", "is missing; allowed: an array of at most 32 elements" },
        { "region", "is not a known field; allowed: name, operations, revision, state" },
    };
    cr_assert(!dataCentre);
    cr_assert(dataCentre.error() == expected);
}

// A randomly damaged value must not end the process. It must be rejected, or stay the same when it is written
// back.
Test(config_json, mutated_values_are_rejected_or_round_trip)
{
    constexpr int mutations = 20'000;
    const std::string replacements = "\"{}[],:0129-.eatn\\\x80\xff";
    std::mt19937 random(20261204);
    int accepted = 0;
    for (int count = 0; count < mutations; ++count) {
        std::string text = validService;
        for (std::uint32_t change = random() % 3; change < 3; ++change) {
            const std::size_t position = random() % text.size();
            if (random() % 2 == 0)
                text[position] = replacements[random() % replacements.size()];
            else
                text.erase(position, 1 + random() % 8);
        }
        const tl::expected<core::service_config, core::config_problems> first
            = core::parseServiceConfig(text);
        cr_assert(first.has_value() || !first.error().empty(), "%s", text.c_str());
        if (!first)
            continue;
        ++accepted;
        const tl::expected<core::service_config, core::config_problems> second
            = core::parseServiceConfig(core::formatServiceConfig(*first));
        cr_assert(second && *second == *first, "%s", text.c_str());
    }
    // If all or none of the mutated values were accepted, one of the two outcomes would remain untested.
    cr_assert(accepted > 0 && accepted < mutations, "%d accepted", accepted);
}

// Repeated servers, epochs and caller classes must be rejected: hosts look these up by their id or name and
// would find the wrong one.
Test(config_json, rejects_repeated_ids)
{
    core::service_config service = *core::parseServiceConfig(validService);
    service.servers.push_back(service.servers.front());
    service.classes.push_back(service.classes.front());
    service.epochs.push_back(service.epochs.front());
    service.epochs.back().servers.push_back(service.epochs.back().servers.front());
    const tl::expected<core::service_config, core::config_problems> parsed
        = core::parseServiceConfig(core::formatServiceConfig(service));
    cr_assert(!parsed);
    cr_assert(parsed.error().size() == 4);
    const std::array<std::string, 4> paths { "servers[1].id", "classes[1].name", "epochs[1].number",
        "epochs[1].servers[1].server" };
    for (std::size_t index = 0; index < paths.size(); ++index)
        cr_assert(parsed.error()[index].path == paths[index]);
}

// A value that reaches every limit must still fit into the megabyte that the store accepts, and one more
// server must be rejected.
Test(config_json, value_at_all_limits_fits_the_store)
{
    core::service_config service = *core::parseServiceConfig(validService);
    const core::socket_address longest
        = *core::socket_address::parse("[2001:db8:1111:2222:3333:4444:5555:6666]:65535");
    const std::string longName(core::maximumNameBytes, 'a');
    service.id.value = UINT32_MAX;
    service.name = longName;
    service.address = longest;
    service.state = core::service_state::Removing;
    service.revision = UINT64_MAX;
    service.nextServerId = UINT32_MAX;
    service.servers.clear();
    service.classes.clear();
    service.epochs.clear();
    core::epoch_plan epoch;
    for (std::uint32_t id = UINT32_MAX - core::maximumServers; id < UINT32_MAX; ++id) {
        service.servers.push_back({ { id }, longName, longest, core::maximumWeight,
            core::server_state::Draining, core::maximumNewFlowsPerSecond, core::maximumNewFlowsPerSecond });
        epoch.servers.push_back({ { id }, core::maximumWeight });
    }
    for (std::uint64_t back = core::maximumLiveEpochs; back > 0; --back) {
        epoch.number.value = UINT64_MAX - back;
        service.epochs.push_back(epoch);
    }
    for (std::size_t index = 0; index < core::maximumCallerClasses; ++index) {
        const std::string suffix = std::to_string(1000 + index);
        service.classes.push_back({ longName.substr(suffix.size()) + suffix, longest.address, 128,
            core::maximumNewFlowsPerSecond });
    }
    // A quotation mark takes two bytes in JSON, the most of all allowed characters.
    const core::operation_record record { std::string(core::maximumOperationIdBytes, '"'),
        std::string(core::maximumAuthorBytes, '"'), std::string(core::maximumSummaryBytes, '"'), UINT64_MAX };
    service.operations.assign(core::maximumOperationRecords, record);
    const std::string json = core::formatServiceConfig(service);
    cr_assert(json.size() <= core::maximumValueBytes, "%zu bytes", json.size());
    const tl::expected<core::service_config, core::config_problems> parsed = core::parseServiceConfig(json);
    cr_assert(parsed.has_value());
    cr_assert(*parsed == service);
    service.servers.push_back(service.servers.back());
    cr_assert(!core::parseServiceConfig(core::formatServiceConfig(service)));
}

// A prefix must stay the same when it is parsed and formatted, or it would match other callers afterwards.
// Malformed prefixes must be rejected.
Test(ip_prefix, round_trip_and_malformed_prefixes)
{
    for (const char* const text :
        { "192.0.2.0/24", "0.0.0.0/0", "::/0", "::/90", "2001:db8::/32", "10.0.0.1/32" }) {
        const tl::expected<core::ip_prefix, core::address_error> prefix = core::ip_prefix::parse(text);
        cr_assert(prefix.has_value(), "%s", text);
        cr_assert(prefix->toString() == text, "%s", text);
    }
    for (const char* const text :
        { "", "/", "10.0.0.0", "10.0.0.0/", "10.0.0.0/-1", "10.0.0.0/33", "10.0.0.0/8x", "10.0.0.1/8",
            "::/129", "::1/127", "::ffff:10.0.0.0/90", "x/8", "10.0.0.0/99999999999" })
        cr_assert(!core::ip_prefix::parse(text), "%s", text);
}
