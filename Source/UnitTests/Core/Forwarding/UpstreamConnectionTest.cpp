#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Common/Clock.h"
#include "Core/Forwarding/EndlessSender.h"
#include "Forwarding/UpstreamConnection.h"

namespace shallotbeam::forwarding {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
namespace net = boost::asio;
using boost::system::error_code;
using net::ip::tcp;

RequestMetadata DecodeRequest(const Fields& /*fields*/) { return {}; }
ResponseMetadata DecodeResponse(int /*status*/, const Fields& fields) {
  return {.request_id = std::string(fields["Id"])};
}
bool IsForwarded(std::string_view /*name*/) { return true; }
void AppendNothing(const UpstreamHeaders& /*headers*/, std::string* /*head*/) {}

constexpr HeaderCodec kCodec{.decode_request = DecodeRequest,
                             .decode_response = DecodeResponse,
                             .is_forwarded = IsForwarded,
                             .append_upstream_headers = AppendNothing,
                             .request_id_header = "Id"};

struct RecordingListener : UpstreamListener {
  void OnUpstreamHead(UpstreamResponse response) override {
    status = response.status;
  }
  void OnUpstreamBody(std::string_view bytes) override {
    body.append(bytes);
    if (on_body) on_body();
  }
  void OnUpstreamEnd(ExchangeEnd exchange_end) override { end = exchange_end; }

  int status = 0;
  std::string body;
  std::optional<ExchangeEnd> end;
  std::function<void()> on_body;
};

std::string Response(const std::string& id, const std::string& body) {
  const std::string id_line = id.empty() ? "" : "Id: " + id + "\r\n";
  return "HTTP/1.1 200 OK\r\n" + id_line +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A connection to an upstream whose bytes the test writes.
struct Fixture {
  net::io_context context;
  common::ManualClock clock;
  tcp::acceptor acceptor{context,
                         tcp::endpoint(net::ip::address_v4::loopback(), 0)};
  tcp::socket peer{context};
  RecordingListener listener;
  std::shared_ptr<UpstreamConnection> connection =
      std::make_shared<UpstreamConnection>(context.get_executor(), clock,
                                           kCodec);

  Fixture() { clock.Advance(1h); }

  void Send(const std::string& id, bool head_only = false) {
    listener = {};
    connection->Exchange(
        {.address = "127.0.0.1", .port = acceptor.local_endpoint().port()},
        {.bytes = "GET / HTTP/1.1\r\nId: " + id + "\r\n\r\n",
         .request_id = id,
         .head_only = head_only},
        &listener);
    if (!peer.is_open()) {
      bool accepted = false;
      acceptor.async_accept(peer, [&](error_code) { accepted = true; });
      while (!accepted) context.run_one();
      peer.non_blocking(true);
    }
    Run();
  }

  void Run() {
    for (int i = 0; i < 20; ++i) context.run_one_for(2ms);
    context.restart();
  }

  void Reply(const std::string& bytes) {
    net::write(peer, net::buffer(bytes));
    Run();
  }

  // Sends `bytes` until the exchange has ended. Returns the highest growth of
  // resident memory.
  std::size_t ReplyEndlessly(const std::string& bytes) {
    const EndlessResult result = SendEndlessly(
        context, peer, bytes, [this] { return listener.end.has_value(); });
    Run();
    return result.growth;
  }

  // Serves one request, so that the connection is in use again afterwards.
  void ServeFirst(const std::string& id, bool head_only = false) {
    Send(id, head_only);
    Reply(head_only
              ? "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 5\r\n\r\n"
              : Response(id, "first"));
    BOOST_REQUIRE(listener.end == ExchangeEnd::kComplete);
    BOOST_REQUIRE(connection->IsReusable(clock.Now()));
  }
};

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
  Fixture it;
  it.Send("a");
  it.Reply(endless.start);
  const std::size_t growth = it.ReplyEndlessly(endless.repeated);
  BOOST_TEST_MESSAGE(endless.name << ": " << growth / 1'024 << " KiB");
  BOOST_CHECK(it.listener.end == ExchangeEnd::kBroken);
  BOOST_CHECK(!it.connection->IsOpen());
  BOOST_CHECK_LT(growth, kMemoryBound);
}

// Guards against an interim response that is relayed as the final one.
BOOST_FIXTURE_TEST_CASE(InterimResponsesAreSkipped, Fixture) {
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
BOOST_FIXTURE_TEST_CASE(PauseEndsWithItsResponse, Fixture) {
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

BOOST_FIXTURE_TEST_CASE(LateCopyBeforeTheResponseIsDropped, Fixture) {
  ServeFirst("a");
  Send("b");
  Reply(Response("a", "first") + Response("b", "second"));
  BOOST_CHECK(listener.end == ExchangeEnd::kComplete);
  BOOST_CHECK_EQUAL(listener.body, "second");
}

BOOST_FIXTURE_TEST_CASE(LateCopyInPartsIsDropped, Fixture) {
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
                        Fixture) {
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

BOOST_FIXTURE_TEST_CASE(LateCopyAfterTheResponseClosesTheConnection, Fixture) {
  ServeFirst("a");
  Send("b");
  Reply(Response("b", "second") + Response("a", "first"));
  BOOST_CHECK(listener.end == ExchangeEnd::kComplete);
  BOOST_CHECK_EQUAL(listener.body, "second");
  BOOST_CHECK(!connection->IsReusable(clock.Now()));
}

BOOST_FIXTURE_TEST_CASE(LateCopyOnAnIdleConnectionClosesIt, Fixture) {
  ServeFirst("a");
  Reply(Response("a", "first"));
  BOOST_CHECK(!connection->IsOpen());
}

// A copy without an id can't be told from the response to the current request.
BOOST_FIXTURE_TEST_CASE(LateCopyWithoutIdIsNotRelayed, Fixture) {
  ServeFirst("a");
  Send("b");
  Reply(Response("", "first") + Response("b", "second"));
  BOOST_CHECK(listener.end == ExchangeEnd::kBroken);
  BOOST_CHECK_EQUAL(listener.body, "");
  BOOST_CHECK_EQUAL(listener.status, 0);
}

// The first response on a connection can only answer the first request.
BOOST_FIXTURE_TEST_CASE(FirstResponseMayLackTheId, Fixture) {
  Send("a");
  Reply(Response("", "first"));
  BOOST_CHECK(listener.end == ExchangeEnd::kComplete);
  BOOST_CHECK_EQUAL(listener.body, "first");
}

BOOST_FIXTURE_TEST_CASE(LateCopyOfAStreamIsDropped, Fixture) {
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
BOOST_FIXTURE_TEST_CASE(LateCopyOfAResponseToHeadIsNotRelayed, Fixture) {
  ServeFirst("a", /*head_only=*/true);
  Send("b");
  const std::string copy =
      "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\n";
  Reply(copy + Response("b", "second"));
  BOOST_CHECK(listener.end == ExchangeEnd::kBroken);
  BOOST_CHECK_EQUAL(listener.body, "");
}

BOOST_FIXTURE_TEST_CASE(LateCopyBeforeAResponseToHeadIsNotRelayed, Fixture) {
  ServeFirst("a");
  Send("b", /*head_only=*/true);
  Reply(Response("a", "first"));
  BOOST_CHECK(listener.end == ExchangeEnd::kBroken);
}

// Guards against a copy whose body ends with the connection.
BOOST_FIXTURE_TEST_CASE(LateCopyThatEndsWithTheConnectionIsNotRelayed,
                        Fixture) {
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
