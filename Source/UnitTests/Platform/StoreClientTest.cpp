#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <vector>

#include "StoreClient.h"
#include "Transport/HttpServer.h"

namespace shallotbeam::platform_adapter {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

// A store that answers every call with `body`.
struct Fixture {
  boost::asio::io_context context;
  std::string body;
  transport::Headers headers;
  std::shared_ptr<transport::HttpServer> server =
      *transport::HttpServer::Listen(
          context, {.endpoint = {.address = "127.0.0.1", .port = 0}},
          [this](const std::shared_ptr<transport::HttpExchange>& it) {
            it->Send({.status = 200, .headers = headers, .body = body});
          });
  transport::HttpClient client{context};
  StoreClient store{client, {"127.0.0.1", server->Port()}};

  platform_clients::ListResult List() {
    std::optional<platform_clients::ListResult> result;
    store.List("", "", [&](auto it) { result = std::move(it); });
    for (int i = 0; i < 50'000 && !result; ++i) context.run_one_for(10ms);
    BOOST_REQUIRE(result.has_value());
    return *std::move(result);
  }
  platform_clients::ChangesResult Poll() {
    std::optional<platform_clients::ChangesResult> result;
    store.AwaitChanges("", {.revision = 1}, 0ms,
                       [&](auto it) { result = std::move(it); });
    for (int i = 0; i < 50'000 && !result; ++i) context.run_one_for(10ms);
    BOOST_REQUIRE(result.has_value());
    return *std::move(result);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(StoreClientTest, Fixture)

// Guards against one malformed response of the store that ends the process or
// the polls of the store: each call gets a result.
BOOST_AUTO_TEST_CASE(MalformedResponsesAreHandled) {
  const std::vector<std::string> bodies = {
      "",
      "[",
      "[]",
      "7",
      R"({"items":7,"events":7,"asOf":"x"})",
      R"({"items":[],"truncated":1,"asOf":2})",
      R"({"items":[1,null,[]],"events":[1,null,[]],"asOf":2})",
      R"({"events":[{"key":"a","revision":2,"removed":1}],"asOf":2})",
      R"({"events":[{"key":"a","value":7,"revision":-2}],"asOf":-2})",
      R"({"items":[{"key":"a","value":"%","revision":1e300}],"asOf":2})",
      std::string(200'000, '['),
      R"({"asOf":2,"events":[)" + std::string(200'000, '[') +
          std::string(200'000, ']') + "]}",
      R"({"asOf":2,"items":[)" + std::string(200'000, '[') +
          std::string(200'000, ']') + "]}"};
  for (const std::string& it : bodies) {
    body = it;
    BOOST_TEST_CONTEXT(it.substr(0, 60)) {
      BOOST_CHECK_NO_THROW(List());
      BOOST_CHECK_NO_THROW(Poll());
    }
  }
  body = R"({"events":[{"key":"a","value":"eA==","revision":3},
                       {"key":"b","revision":4,"removed":true}],"asOf":4})";
  const auto result = Poll();
  BOOST_REQUIRE_EQUAL(result.changes.size(), 2);
  BOOST_CHECK_EQUAL(result.changes[0].item.value, "x");
  BOOST_CHECK(result.changes[1].removed);
}

// Guards against a malformed response that is taken for an empty list, so that
// all upstreams and the configuration count as removed.
BOOST_AUTO_TEST_CASE(ResponseWithoutItsListIsNoResponse) {
  for (const char* it :
       {R"({"asOf":2})", R"({"items":{},"events":{},"asOf":2})",
        R"({"items":null,"events":null,"asOf":2})"}) {
    body = it;
    BOOST_CHECK(!List().status.ok());
    BOOST_CHECK(!Poll().status.ok());
  }
  body = R"({"items":[],"events":[],"asOf":2})";
  BOOST_CHECK(List().status.ok());
  BOOST_CHECK(Poll().status.ok());
}

// Guards against a value that can't be decoded and is skipped, so that the
// value before it stays in force.
BOOST_AUTO_TEST_CASE(UnreadableValueReplacesTheOneBefore) {
  body = R"({"items":[{"key":"a","value":"%","revision":3}],
             "events":[{"key":"a","value":"%","revision":3}],"asOf":4})";
  BOOST_REQUIRE_EQUAL(List().items.size(), 1);
  BOOST_REQUIRE_EQUAL(Poll().changes.size(), 1);
  BOOST_CHECK_EQUAL(Poll().changes.front().item.value, "");
}

// Guards against revisions of a restored store that are compared with those
// from before.
BOOST_AUTO_TEST_CASE(EraOfTheStoreIsDecoded) {
  body = R"({"items":[{"key":"a","revision":3}],
             "events":[{"key":"a","revision":3}],"asOf":4})";
  BOOST_CHECK((List().as_of == common::StorePosition{0, 4}));
  headers = {{"Store-Era", "7"}};
  BOOST_CHECK((List().as_of == common::StorePosition{7, 4}));
  BOOST_CHECK((List().items.at(0).position == common::StorePosition{7, 3}));
  headers = {{"store-era", "8"}};
  BOOST_CHECK((Poll().as_of == common::StorePosition{8, 4}));
  BOOST_CHECK(
      (Poll().changes.at(0).item.position == common::StorePosition{8, 3}));
  for (const char* it : {"", "-1", "x", "1e3"}) {
    headers = {{"Store-Era", it}};
    BOOST_CHECK_EQUAL(List().as_of.era, 0);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::platform_adapter
