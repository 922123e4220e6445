#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>
#include <vector>

#include "RequestHeaders.h"
#include "StoreItems.h"

namespace shallotbeam::platform_adapter {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

std::optional<gateway::FleetChange> Decode(const std::string& key,
                                           const std::string& value) {
  return DecodeItem({.item = {.key = key, .value = value}});
}

const char* const kConfiguration = R"({
  "version": 7,
  "routes": [
    {"name": "plan", "host": "h", "pathPrefix": "/plan/",
     "routeKind": "streaming", "service": "pool", "sticky": true,
     "priority": 1, "timeoutMs": 12000, "sloMs": 600, "gapTargetMs": 400},
    {"name": "look", "host": "h", "pathPrefix": "/look/",
     "routeKind": "idempotent", "service": "plain", "anonymous": true,
     "split": [{"service": "plain", "weight": 3},
               {"service": "new", "weight": 1}]}],
  "services": [
    {"name": "pool", "engine": {"slots": 32, "kvCapacity": 5000, "stride": 8}},
    {"name": "plain"}],
  "limits": {"tokensPerS": 410000},
  "tenants": [{"name": "w", "apiKeys": ["k1", "k2"], "priority": 2}]
})";

}  // namespace

BOOST_AUTO_TEST_SUITE(StoreItemsTest)

// Guards against configuration fields that are decoded into the wrong setting.
BOOST_AUTO_TEST_CASE(ConfigurationIsDecoded) {
  const auto change = Decode("op/config", kConfiguration);
  BOOST_REQUIRE(change && change->catalogue);
  const catalogue::Catalogue& catalogue = *change->catalogue;
  BOOST_CHECK_EQUAL(common::ToNumber(catalogue.version), 7);
  BOOST_REQUIRE_EQUAL(catalogue.routes.size(), 2);
  const catalogue::Route& plan = catalogue.routes[0];
  BOOST_CHECK(plan.streamed && plan.carries_prompt && plan.requires_credential);
  BOOST_CHECK(plan.repetition == catalogue::Repetition::kAtMostOnce);
  BOOST_CHECK(plan.timeout == 12s);
  BOOST_CHECK(plan.latency_target == 600ms);
  BOOST_CHECK(plan.event_gap_target == 400ms);
  BOOST_CHECK_EQUAL(plan.priority, 1);
  const catalogue::Route& lookup = catalogue.routes[1];
  BOOST_CHECK(lookup.repetition == catalogue::Repetition::kRepeatable);
  BOOST_CHECK(!lookup.requires_credential);
  BOOST_CHECK_EQUAL(lookup.weighted_pools.size(), 2);
  const auto& engine = catalogue.pools.at(common::PoolName("pool")).engine;
  BOOST_REQUIRE(engine);
  BOOST_CHECK_EQUAL(engine->slots, 32);
  BOOST_CHECK_EQUAL(engine->tokens_per_event, 8);
  BOOST_CHECK(!catalogue.pools.at(common::PoolName("plain")).engine);
  BOOST_REQUIRE(catalogue.tokens_per_second);
  BOOST_CHECK_EQUAL(*catalogue.tokens_per_second, 410'000);
  BOOST_CHECK_EQUAL(catalogue.credentials.size(), 2);
  BOOST_CHECK(catalogue.workspaces[0].priority == 2);
}

// Guards against a cold upstream that counts as warm, and against an operator's
// request that is overlooked.
BOOST_AUTO_TEST_CASE(ColdUpstreamsAndEvacuationsAreDecoded) {
  std::string text = kConfiguration;
  const std::string pool = R"({"name": "pool",)";
  text.replace(text.find(pool), pool.size(),
               pool + R"("coldStartS": 2.5, "coldPerS": 11.0,)");
  const auto change = Decode("op/config", text);
  BOOST_REQUIRE(change && change->catalogue);
  const auto& pools = change->catalogue->pools;
  BOOST_CHECK_EQUAL(pools.at(common::PoolName("pool")).cold.per_second, 11);
  BOOST_CHECK(pools.at(common::PoolName("pool")).cold.time == 2'500ms);
  BOOST_CHECK_EQUAL(pools.at(common::PoolName("plain")).cold.per_second, 0);

  const auto evacuation = Decode("op/evacuate/b", "{}");
  BOOST_REQUIRE(evacuation && evacuation->evacuation);
  BOOST_CHECK(evacuation->evacuation->requested);
  BOOST_CHECK_EQUAL(evacuation->evacuation->data_centre.value, "b");
  BOOST_CHECK(!evacuation->configuration_unreadable);
  const auto end =
      DecodeItem({.item = {.key = "op/evacuate/b"}, .removed = true});
  BOOST_REQUIRE(end && end->evacuation);
  BOOST_CHECK(!end->evacuation->requested);
  BOOST_CHECK(!Decode("op/evacuate/", "{}"));
}

// Whether the text is reported as a configuration that can't be read.
bool IsUnreadable(const std::string& text) {
  const auto change = Decode("op/config", text);
  BOOST_REQUIRE(change);
  return !change->catalogue && change->configuration_unreadable;
}

// The configuration with each `from` replaced.
std::string Replaced(const std::string& from, const std::string& to) {
  std::string text = kConfiguration;
  const std::size_t at = text.find(from);
  BOOST_REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

// Guards against a malformed configuration that replaces the one in force, and
// against one that passes unnoticed although it may withdraw credentials.
BOOST_AUTO_TEST_CASE(MalformedConfigurationIsReported) {
  const std::string text = kConfiguration;
  for (std::size_t n = 0; n < text.size() - 1; n += 7) {
    BOOST_CHECK(IsUnreadable(text.substr(0, n)));
  }
  BOOST_CHECK(IsUnreadable(R"({"version": "new", "routes": 3})"));
}

// Guards against a configuration that is gone and leaves withdrawn credentials
// in force.
BOOST_AUTO_TEST_CASE(RemovedConfigurationIsReported) {
  const auto change =
      DecodeItem({.item = {.key = "op/config"}, .removed = true});
  BOOST_REQUIRE(change);
  BOOST_CHECK(change->configuration_unreadable);
}

// Guards against an empty or a malformed list of workspaces that is taken for
// none at all, so that no credential is checked.
BOOST_AUTO_TEST_CASE(EmptyListOfWorkspacesIsNotAbsent) {
  const std::string list =
      R"("tenants": [{"name": "w", "apiKeys": ["k1", "k2"], "priority": 2}])";
  const auto decode = [&](const std::string& to) {
    const auto change = Decode("op/config", Replaced(list, to));
    BOOST_REQUIRE(change && change->catalogue);
    BOOST_CHECK(change->catalogue->credentials.empty());
    return change->catalogue->checks_credentials;
  };
  BOOST_CHECK(decode(R"("tenants": [])"));
  BOOST_CHECK(decode(R"("tenants": [{"name": "w", "apiKeys": []}])"));
  BOOST_CHECK(!decode(R"("other": [])"));
  for (const char* malformed :
       {"null", "{}", "0", "false", "\"\"", "\"w\"", "[null]", "[{}]",
        R"([{"name": "", "apiKeys": []}])", R"([{"name": "w"}])",
        R"([{"name": "w", "apiKeys": null}])",
        R"([{"name": "w", "apiKeys": {}}])",
        R"([{"name": "w", "apiKeys": [null]}])"}) {
    BOOST_TEST_CONTEXT(malformed) {
      BOOST_CHECK(IsUnreadable(
          Replaced(list, std::string(R"("tenants": )") + malformed)));
    }
  }
}

// Guards against malformed values that read as a limit of nothing, as an engine
// without slots, as no routes, or as a version that no other one follows.
BOOST_AUTO_TEST_CASE(MalformedValuesLimitAndRouteNothing) {
  const std::vector<std::pair<std::string, std::string>> cases = {
      {R"("version": 7)", R"("version": -1)"},
      {R"("version": 7)", R"("version": 7.5)"},
      {R"("routes": [)", R"("routes": null, "x": [)"},
      {R"("services": [)", R"("services": {}, "x": [)"},
      {R"("limits": {)", R"("limits": [], "x": {)"},
      {R"("limits": {)", R"("limits": {"maxBodyBytes": -1, )"},
      {R"("limits": {)", R"("limits": {"maxHeaderBytes": 1e30, )"},
      {R"("limits": {)", R"("limits": {"headerTimeoutMs": -5, )"},
      {R"("limits": {)", R"("limits": {"idleTimeoutMs": 1e300, )"},
      {R"("tokensPerS": 410000)", R"("tokensPerS": "many")"},
      {R"("tokensPerS": 410000)", R"("tokensPerS": -1)"},
      {R"("engine": {"slots": 32)", R"("engine": {"slots": 0)"},
      {R"("engine": {"slots": 32)", R"("engine": {"slots": -1)"},
      {R"("engine": {)", R"("engine": "none", "x": {)"},
      {R"("kvCapacity": 5000)", R"("kvCapacity": -1)"},
      {R"("timeoutMs": 12000)", R"("timeoutMs": true)"},
      {R"("anonymous": true)", R"("anonymous": null)"},
      {R"("split": [)", R"("split": "plain", "x": [)"},
      {R"("weight": 1)", R"("weight": null)"},
      {R"("weight": 1)", R"("weight": -1)"}};
  for (const auto& [from, to] : cases) {
    BOOST_TEST_CONTEXT(to) { BOOST_CHECK(IsUnreadable(Replaced(from, to))); }
  }
}

// Guards against requests to an upstream that is neither ready nor draining, or
// whose entry can't be parsed.
BOOST_AUTO_TEST_CASE(UpstreamEntryIsDecoded) {
  const auto ready = Decode("servers/u", R"({"service": "pool", "zone": "a",
      "address": "10.0.0.1:80", "state": "ready", "slots": 32, "born": 99})");
  BOOST_REQUIRE(ready && ready->entry);
  BOOST_CHECK_EQUAL(ready->upstream.value, "u");
  BOOST_CHECK_EQUAL(ready->entry->started, 99);
  BOOST_CHECK_EQUAL(ready->entry->endpoint.port, 80);
  BOOST_CHECK(!ready->entry->draining);
  const auto loading = Decode("servers/u", R"({"service": "pool", "zone": "a",
      "address": "10.0.0.1:80", "state": "loading", "slots": 32})");
  BOOST_REQUIRE(loading);
  BOOST_CHECK(!loading->entry);
  const auto malformed = Decode("servers/u", "{");
  BOOST_REQUIRE(malformed);
  BOOST_CHECK(!malformed->entry);
  BOOST_CHECK(!Decode("other/u", "{}"));
}

// Guards against an entry of another writer that ends the process, hides the
// other entries or names an upstream that can't be used.
BOOST_AUTO_TEST_CASE(OddEntriesNameNoUpstream) {
  const auto entry = [](const std::string& address, const std::string& slots,
                        const std::string& more) {
    return R"({"service":"s","zone":"z","state":"ready","address":")" +
           address + R"(","slots":)" + slots + more + "}";
  };
  BOOST_CHECK(Decode("servers/u", entry("10.0.0.1:80", "4", ""))->entry);
  constexpr std::size_t kDepth = 400'000;
  const std::string nested =
      std::string(kDepth, '[') + std::string(kDepth, ']');
  const std::vector<std::string> odd = {
      nested,
      entry("10.0.0.1:80", nested, ""),
      entry("10.0.0.1:80", "4", R"(,"born":)" + nested),
      entry("10.0.0.1:80", "1e300", ""),
      entry("10.0.0.1:80", "1e999", ""),
      entry("10.0.0.1:80", "99999999999999999999999999", ""),
      entry("10.0.0.1:80", "4294967300", ""),
      entry("10.0.0.1:80", "-1", ""),
      entry("10.0.0.1:80", "4.5", ""),
      entry("10.0.0.1:80", "4", R"(,"born":1e300)"),
      entry("10.0.0.1:80", "4", R"(,"born":-5)"),
      entry("10.0.0.1:80", "4", R"(,"born":18446744073709551615)"),
      entry("10.0.0.1:70000", "4", ""),
      entry("10.0.0.1:0", "4", ""),
      entry("10.0.0.1:-80", "4", ""),
      entry("10.0.0.1:", "4", ""),
      entry("10.0.0.1", "4", ""),
      entry("10.0.0:80", "4", ""),
      "\xff\xfe",
      "null",
      ""};
  for (const std::string& it : odd) {
    BOOST_TEST_CONTEXT(it.substr(0, 90)) {
      std::optional<gateway::FleetChange> change;
      BOOST_CHECK_NO_THROW(change = Decode("servers/u", it));
      BOOST_CHECK(!change || !change->entry);
    }
  }
}

// Guards against a request that is smuggled to an upstream by way of a name
// with a line break, which is sent in a header.
BOOST_AUTO_TEST_CASE(NamesAreFitForHeaders) {
  const std::string value =
      R"({"service":"s","zone":"z","state":"ready","address":"10.0.0.1:80",)"
      R"("slots":4})";
  BOOST_CHECK(Decode("servers/i-1", value));
  for (const char* key : {"servers/", "servers/a b", "servers/a\r\nHold: 1",
                          "servers/\x01", "servers/\xc3\xa9"}) {
    BOOST_CHECK(!Decode(key, value));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RequestHeadersTest)

// Guards against a prompt whose size or parts are decoded wrongly.
BOOST_AUTO_TEST_CASE(PromptIsDecoded) {
  forwarding::Fields fields;
  fields.insert("Attempt-Id", "r1");
  fields.insert("Deadline-Ms", "1500");
  fields.insert("Authorization", "bearer secret");
  fields.insert("Token-Count", "500,80");
  fields.insert("Prefix-Hash", "ff:400,1a:100");
  const auto metadata = kHeaderCodec.decode_request(fields);
  BOOST_CHECK_EQUAL(metadata.request_id, "r1");
  BOOST_CHECK(metadata.deadline == common::Duration(1500ms));
  BOOST_CHECK_EQUAL(metadata.credential, "secret");
  BOOST_REQUIRE(metadata.prompt);
  BOOST_CHECK_EQUAL(metadata.prompt->prompt_tokens, 500);
  BOOST_CHECK_EQUAL(metadata.prompt->max_output_tokens, 80);
  // Without an estimate, the maximum is expected.
  BOOST_CHECK_EQUAL(metadata.prompt->expected_output_tokens, 80);
  BOOST_REQUIRE_EQUAL(metadata.prompt->parts.size(), 2);
  BOOST_CHECK_EQUAL(metadata.prompt->parts[0].id, 255);
}

// Guards against output estimates above the limit of the request.
BOOST_AUTO_TEST_CASE(OutputEstimateIsBounded) {
  const auto expected = [](const char* estimate) {
    forwarding::Fields fields;
    fields.insert("Token-Count", "500,80");
    fields.insert("Length-Hint", estimate);
    return kHeaderCodec.decode_request(fields).prompt->expected_output_tokens;
  };
  BOOST_CHECK_EQUAL(expected("30"), 30);
  BOOST_CHECK_EQUAL(expected("300"), 80);
  BOOST_CHECK_EQUAL(expected("-3"), 0);
  BOOST_CHECK_EQUAL(expected("many"), 80);
}

// Guards against malformed numbers of callers that are taken for valid ones.
BOOST_AUTO_TEST_CASE(MalformedNumbersAreIgnored) {
  forwarding::Fields fields;
  fields.insert("Deadline-Ms", "soon");
  fields.insert("Token-Count", "500");
  const auto metadata = kHeaderCodec.decode_request(fields);
  BOOST_CHECK(!metadata.deadline);
  BOOST_CHECK(!metadata.prompt);
  BOOST_CHECK(metadata.credential.empty());
}

// Guards against callers that set headers which only the fleet may send to an
// upstream.
BOOST_AUTO_TEST_CASE(InternalHeadersAreNotForwarded) {
  for (const char* name : {"Hold", "pin-ms", "Kv-Backup", "Kv-From", "Kv-Fetch",
                           "Tenant", "Expect-Instance", "Authorization"}) {
    BOOST_CHECK_MESSAGE(!kHeaderCodec.is_forwarded(name), name);
  }
  BOOST_CHECK(kHeaderCodec.is_forwarded("Prefix-Hash"));
}

// Guards against statements of an upstream that are missed, and against
// malformed ones that are taken for statements.
BOOST_AUTO_TEST_CASE(StatementsOfUpstreamsAreDecoded) {
  const auto stated = [](int status, const char* name, const char* value) {
    forwarding::Fields fields;
    fields.insert(name, value);
    return kHeaderCodec.decode_response(status, fields).stated;
  };
  BOOST_CHECK(stated(200, "Server-Limit", "11.4").rate_limit == 11.4);
  BOOST_CHECK(stated(503, "server-limit", "0").rate_limit == 0.0);
  for (const char* it : {"", "many", "-1", "nan", "inf", "7 or so"}) {
    BOOST_CHECK(!stated(200, "Server-Limit", it).rate_limit);
    BOOST_CHECK(!stated(503, "Retry-After", it).retry_after);
  }
  BOOST_CHECK(stated(200, "Server-Leaving", "1").leaving);
  BOOST_CHECK(!stated(200, "Server-Leaving", "0").leaving);
  BOOST_CHECK(stated(503, "Retry-After", "1.5").retry_after ==
              common::Duration(1500ms));
  BOOST_CHECK(!stated(500, "Retry-After", "1.5").retry_after);
  BOOST_CHECK(stated(503, "Retry-After", "1e300").retry_after ==
              common::Duration(60s));
}

// Guards against a "not run" outcome that the upstream has not stated.
BOOST_AUTO_TEST_CASE(NotRunNeedsAnExplicitResponse) {
  forwarding::Fields fields;
  BOOST_CHECK(!kHeaderCodec.decode_response(503, fields).not_run);
  BOOST_CHECK(kHeaderCodec.decode_response(421, fields).other_incarnation);
  fields.insert("Not-Executed", "1");
  BOOST_CHECK(kHeaderCodec.decode_response(503, fields).not_run);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::platform_adapter
