#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "Core/Forwarding/EndlessSender.h"
#include "Core/Forwarding/UpstreamFixture.h"

namespace shallotbeam::forwarding {

namespace {

const std::vector<EndlessCase>& EndlessCases() {
  static const std::vector<EndlessCase> cases = {
      {"no HTTP", "", kFiller},
      {"status line", "HTTP/1.1 200 ", kFiller},
      {"header line", "HTTP/1.1 200 OK\r\nX: ", kFiller},
      {"headers", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
      {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"chunk size",
       "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n",
       std::string(16'384, '0')},
      {"chunk extension",
       "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n1;",
       kFiller},
      {"chunk extensions",
       "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n",
       "1;" + kFiller + "\r\nx\r\n"},
      {"trailers",
       "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
       "X: y\r\n"},
      {"copies of earlier responses", "", Response("z", kFiller)},
      {"copy without end",
       "HTTP/1.1 200 OK\r\nId: z\r\nContent-Length: 99999999999\r\n\r\n",
       kFiller},
  };
  return cases;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(UpstreamConnectionTest)

// Guards against a faulty upstream that sends bytes without end where no body
// is due: the process would hold all of them until it runs out of memory.
BOOST_DATA_TEST_CASE(EndlessBytesEndTheExchange,
                     boost::unit_test::data::make(EndlessCases()), endless) {
  UpstreamFixture it;
  it.Send("a");
  it.Reply(endless.start);
  const std::size_t growth = it.ReplyEndlessly(endless.repeated);
  BOOST_TEST_MESSAGE(endless.name << ": " << growth / 1'024 << " KiB");
  BOOST_CHECK(it.listener.end == ExchangeEnd::kBroken);
  BOOST_CHECK(!it.connection->IsOpen());
  BOOST_CHECK_LT(growth, kMemoryBound);
}

// Guards against an interim response that is relayed as the final one.
BOOST_FIXTURE_TEST_CASE(InterimResponsesAreSkipped, UpstreamFixture) {
  Send("a");
  Reply(
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n");
  BOOST_CHECK(!listener.end);
  Reply(Response("a", "whole"));
  BOOST_CHECK(listener.end == ExchangeEnd::kComplete);
  BOOST_CHECK_EQUAL(listener.status, 200);
  BOOST_CHECK_EQUAL(listener.body, "whole");
}

// Guards against a request whose response is never read: reading was paused
// when the response before it ended.
BOOST_FIXTURE_TEST_CASE(PauseEndsWithItsResponse, UpstreamFixture) {
  Send("a");
  listener.on_body = [this] { connection->Pause(); };
  Reply(Response("a", "first"));
  BOOST_REQUIRE(connection->IsReusable(clock.Now()));
  Send("b");
  Reply(Response("b", "second"));
  BOOST_CHECK(listener.end == ExchangeEnd::kComplete);
  BOOST_CHECK_EQUAL(listener.body, "second");
}

// The next tests guard against an upstream that sends a second copy of a
// response, late, on a connection in use again: the next caller must not get
// the response to another request.

BOOST_FIXTURE_TEST_CASE(LateCopyBeforeTheResponseIsDropped, UpstreamFixture) {
  ServeFirst("a");
  Send("b");
  Reply(Response("a", "first") + Response("b", "second"));
  BOOST_CHECK(listener.end == ExchangeEnd::kComplete);
  BOOST_CHECK_EQUAL(listener.body, "second");
}

BOOST_FIXTURE_TEST_CASE(LateCopyInPartsIsDropped, UpstreamFixture) {
  ServeFirst("a");
  const std::string copy = Response("a", "first");
  Send("b");
  Reply(copy.substr(0, 20));
  Reply(copy.substr(20) + Response("b", "second").substr(0, 9));
  Reply(Response("b", "second").substr(9));
  BOOST_CHECK(listener.end == ExchangeEnd::kComplete);
  BOOST_CHECK_EQUAL(listener.body, "second");
}

BOOST_FIXTURE_TEST_CASE(LateCopyBetweenBytesOfTheResponseIsNotRelayed,
                        UpstreamFixture) {
  ServeFirst("a");
  Send("b");
  const std::string response = Response("b", "second");
  const std::size_t half = response.size() - 3;
  Reply(response.substr(0, half) + Response("a", "first") +
        response.substr(half));
  // The bytes within the length can't be told from the body; what follows it
  // must not reach another caller.
  BOOST_CHECK(listener.end.has_value());
  BOOST_CHECK(!connection->IsOpen());
}

BOOST_FIXTURE_TEST_CASE(LateCopyAfterTheResponseClosesTheConnection,
                        UpstreamFixture) {
  ServeFirst("a");
  Send("b");
  Reply(Response("b", "second") + Response("a", "first"));
  BOOST_CHECK(listener.end == ExchangeEnd::kComplete);
  BOOST_CHECK_EQUAL(listener.body, "second");
  BOOST_CHECK(!connection->IsReusable(clock.Now()));
}

BOOST_FIXTURE_TEST_CASE(LateCopyOnAnIdleConnectionClosesIt, UpstreamFixture) {
  ServeFirst("a");
  Reply(Response("a", "first"));
  BOOST_CHECK(!connection->IsOpen());
}

// A copy without an id can't be told from the response to the current request.
BOOST_FIXTURE_TEST_CASE(LateCopyWithoutIdIsNotRelayed, UpstreamFixture) {
  ServeFirst("a");
  Send("b");
  Reply(Response("", "first") + Response("b", "second"));
  BOOST_CHECK(listener.end == ExchangeEnd::kBroken);
  BOOST_CHECK_EQUAL(listener.body, "");
  BOOST_CHECK_EQUAL(listener.status, 0);
}

// The first response on a connection can only answer the first request.
BOOST_FIXTURE_TEST_CASE(FirstResponseMayLackTheId, UpstreamFixture) {
  Send("a");
  Reply(Response("", "first"));
  BOOST_CHECK(listener.end == ExchangeEnd::kComplete);
  BOOST_CHECK_EQUAL(listener.body, "first");
}

BOOST_FIXTURE_TEST_CASE(LateCopyOfAStreamIsDropped, UpstreamFixture) {
  ServeFirst("a");
  Send("b");
  Reply(
      "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nfirst\r\n");
  Reply("0\r\n\r\n" + Response("b", "second"));
  BOOST_CHECK(listener.end == ExchangeEnd::kComplete);
  BOOST_CHECK_EQUAL(listener.body, "second");
}

// The length of a response to HEAD is not followed by a body, so that the end
// of a copy is not known.
BOOST_FIXTURE_TEST_CASE(LateCopyOfAResponseToHeadIsNotRelayed,
                        UpstreamFixture) {
  ServeFirst("a", /*head_only=*/true);
  Send("b");
  const std::string copy =
      "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\n";
  Reply(copy + Response("b", "second"));
  BOOST_CHECK(listener.end == ExchangeEnd::kBroken);
  BOOST_CHECK_EQUAL(listener.body, "");
}

BOOST_FIXTURE_TEST_CASE(LateCopyBeforeAResponseToHeadIsNotRelayed,
                        UpstreamFixture) {
  ServeFirst("a");
  Send("b", /*head_only=*/true);
  Reply(Response("a", "first"));
  BOOST_CHECK(listener.end == ExchangeEnd::kBroken);
}

// Guards against a copy whose body ends with the connection.
BOOST_FIXTURE_TEST_CASE(LateCopyThatEndsWithTheConnectionIsNotRelayed,
                        UpstreamFixture) {
  ServeFirst("a");
  Send("b");
  Reply("HTTP/1.1 200 OK\r\nId: a\r\n\r\nfirst");
  peer.close();
  Run();
  BOOST_CHECK(listener.end == ExchangeEnd::kBroken);
  BOOST_CHECK_EQUAL(listener.body, "");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::forwarding
