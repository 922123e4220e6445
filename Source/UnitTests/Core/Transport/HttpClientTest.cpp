#include <array>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "Common/Clock.h"
#include "HttpFixture.h"
#include "Transport/HttpClient.h"

namespace shallotbeam::transport {

namespace {

using Exchange = HttpFixture::Exchange;

struct Result {
  CallEnd end = CallEnd::kComplete;
  HttpResponse response;
};

Result FetchFrom(HttpClient& client, const common::Endpoint& endpoint,
                 common::Duration timeout = std::chrono::seconds(5)) {
  std::promise<Result> promise;
  client.Fetch(endpoint, {.method = "GET", .target = "/a"}, timeout,
               [&](CallEnd end, const HttpResponse& response) {
                 promise.set_value({.end = end, .response = response});
               });
  return promise.get_future().get();
}

// Answers the first request of each connection and is silent on it afterwards.
class OneAnswerServer {
 public:
  explicit OneAnswerServer(boost::asio::io_context& context,
                           std::string following_bytes = "")
      : acceptor_(context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        response_("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" +
                  std::move(following_bytes)) {
    Accept();
  }

  common::Endpoint Address() const {
    return {.address = "127.0.0.1", .port = acceptor_.local_endpoint().port()};
  }
  std::size_t Connections() const { return connections_.size(); }

 private:
  struct Connection {
    boost::asio::ip::tcp::socket socket;
    std::array<char, 4096> buf{};
  };

  void Accept() {
    acceptor_.async_accept([this](boost::system::error_code ec,
                                  boost::asio::ip::tcp::socket socket) {
      if (ec) return;
      connections_.push_back(Connection{.socket = std::move(socket)});
      Connection& connection = connections_.back();
      connection.socket.async_read_some(
          boost::asio::buffer(connection.buf),
          [this, &connection](boost::system::error_code ec, std::size_t) {
            if (ec) return;
            WriteText(connection.socket, response_);
          });
      Accept();
    });
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  const std::string response_;
  std::list<Connection> connections_;
};

struct SilentServerFixture {
  boost::asio::io_context context;
  common::ManualClock clock;
  OneAnswerServer server{context};
  HttpClient client{
      context, clock, {.max_idle = std::chrono::milliseconds(1'000)}};

  // Starts a call and returns where its result appears.
  std::shared_ptr<std::optional<CallEnd>> Start() {
    auto end = std::make_shared<std::optional<CallEnd>>();
    client.Fetch(server.Address(), {.method = "GET", .target = "/"},
                 std::chrono::milliseconds(200),
                 [end](CallEnd it, const HttpResponse&) { *end = it; });
    return end;
  }
  CallEnd Fetch() {
    const auto end = Start();
    while (!end->has_value()) {
      context.restart();
      context.run_one_for(std::chrono::seconds(2));
    }
    return **end;
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(HttpClientTest)

// Guards against calls on a kept connection that has gone silent, which end by
// their timeout although the server answers on new connections.
BOOST_FIXTURE_TEST_CASE(ConnectionIdleForLongIsNotReused, SilentServerFixture) {
  BOOST_CHECK(Fetch() == CallEnd::kComplete);
  clock.Advance(std::chrono::milliseconds(1'100));
  BOOST_CHECK(Fetch() == CallEnd::kComplete);
  BOOST_CHECK_EQUAL(server.Connections(), 2);
}

// Guards against call after call that times out on one kept connection after
// the other, all of which have gone silent at the same time.
BOOST_FIXTURE_TEST_CASE(TimeoutClosesTheOtherIdleConnections,
                        SilentServerFixture) {
  const auto first = Start();
  BOOST_CHECK(Fetch() == CallEnd::kComplete);
  BOOST_CHECK(*first == CallEnd::kComplete);
  BOOST_CHECK(Fetch() == CallEnd::kTimedOut);
  BOOST_CHECK(Fetch() == CallEnd::kComplete);
}

// Guards against a call that gets bytes which the server has sent after the
// response to the call before it, as its own response.
BOOST_AUTO_TEST_CASE(BytesAfterAResponseReachNoOtherCall) {
  boost::asio::io_context context;
  OneAnswerServer server(context,
                         "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray");
  HttpClient client(context);
  for (int i = 0; i < 2; ++i) {
    std::optional<std::string> body;
    client.Fetch(server.Address(), {.method = "GET", .target = "/"},
                 std::chrono::seconds(5),
                 [&body](CallEnd, const HttpResponse& it) { body = it.body; });
    while (!body) {
      context.restart();
      context.run_one_for(std::chrono::seconds(5));
    }
    BOOST_CHECK_EQUAL(*body, "ok");
  }
}

// Guards against reporting that a request did not run although it may have run:
// only kNotSent proves that the server did not receive it.
BOOST_AUTO_TEST_CASE(FailuresAreDistinguished) {
  HttpFixture fixture([](const Exchange& exchange) {
    exchange->StartStream({.status = 200, .headers = {}});
    exchange->Fail({}, "");
  });
  BOOST_CHECK(FetchFrom(fixture.Client(), fixture.Address()).end ==
              CallEnd::kBroken);
  // Port 1 on loopback refuses connections.
  BOOST_CHECK(
      FetchFrom(fixture.Client(), {.address = "127.0.0.1", .port = 1}).end ==
      CallEnd::kNotSent);
}

// Guards against a response whose head or body is cut and counts as whole.
BOOST_AUTO_TEST_CASE(ResponseCutAtAnyByteIsBroken) {
  const std::string response =
      "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Length: 2\r\n\r\nok";
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor(
      context, {boost::asio::ip::make_address("127.0.0.1"), 0});
  const common::Endpoint address{.address = "127.0.0.1",
                                 .port = acceptor.local_endpoint().port()};
  HttpClient client(context);
  for (std::size_t cut = 0; cut < response.size(); ++cut) {
    std::thread server([&] {
      auto socket = acceptor.accept();
      ReadUntil(socket, "\r\n\r\n");
      WriteText(socket, response.substr(0, cut));
    });
    std::optional<CallEnd> end;
    client.Fetch(address, {.method = "GET", .target = "/"},
                 std::chrono::seconds(5),
                 [&](CallEnd it, const HttpResponse&) { end = it; });
    context.restart();
    context.run();
    server.join();
    BOOST_TEST_CONTEXT("cut after " << cut) {
      BOOST_CHECK(end == CallEnd::kBroken);
    }
  }
}

// Guards against waiting forever for a server that accepts a connection but
// never responds.
BOOST_AUTO_TEST_CASE(SilentServerTimesOut) {
  std::vector<Exchange> exchanges;
  HttpFixture fixture(
      [&](const Exchange& exchange) { exchanges.push_back(exchange); });
  BOOST_CHECK(FetchFrom(fixture.Client(), fixture.Address(),
                        std::chrono::milliseconds(200))
                  .end == CallEnd::kTimedOut);
}

// Guards against reusing a pooled connection that the server has closed in the
// meantime: the next call on the connection would fail.
BOOST_AUTO_TEST_CASE(ClosedIdleConnectionIsNotReused) {
  HttpServerOptions options;
  options.idle_timeout = std::chrono::milliseconds(100);
  HttpFixture fixture(
      [](const Exchange& exchange) {
        exchange->Send({.status = 200, .headers = {}, .body = "ok"});
      },
      options);
  for (int i = 0; i < 3; ++i) {
    const Result result = FetchFrom(fixture.Client(), fixture.Address());
    BOOST_CHECK(result.end == CallEnd::kComplete);
    BOOST_CHECK_EQUAL(result.response.body, "ok");
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
  }
}

// Guards against "not run" for a request that the server runs: it sends an
// earlier refusal once more after the request has arrived.
BOOST_AUTO_TEST_CASE(RefusalSentTwiceIsNotTakenForTheNextResponse) {
  boost::asio::io_context context;
  const common::ManualClock clock;
  boost::asio::ip::tcp::acceptor acceptor(
      context, {boost::asio::ip::make_address("127.0.0.1"), 0});
  const std::string refusal = "HTTP/1.1 429 x\r\nContent-Length: 2\r\n\r\nno";
  std::thread server([&] {
    // A connection that answers each request with the refusal, and one that
    // serves.
    boost::asio::ip::tcp::socket refusing = acceptor.accept();
    ReadUntil(refusing, "\r\n\r\n");
    WriteText(refusing, refusal);
    const std::string next = ReadUntil(refusing, "\r\n\r\n");
    if (!next.empty()) {
      WriteText(refusing, refusal);
      return;
    }
    boost::asio::ip::tcp::socket serving = acceptor.accept();
    ReadUntil(serving, "\r\n\r\n");
    WriteText(serving, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  });
  HttpClient client(context, clock, {.keep_after_errors = false});
  std::vector<int> statuses;
  for (int i = 0; i < 2; ++i) {
    client.Fetch(
        {.address = "127.0.0.1", .port = acceptor.local_endpoint().port()},
        {.method = "POST", .target = "/"}, std::chrono::seconds(5),
        [&](CallEnd, const HttpResponse& it) {
          statuses.push_back(it.status);
        });
    context.restart();
    context.run();
  }
  server.join();
  BOOST_REQUIRE_EQUAL(statuses.size(), 2);
  BOOST_CHECK_EQUAL(statuses[0], 429);
  BOOST_CHECK_EQUAL(statuses[1], 200);
}

// Guards against unbounded buffering when the consumer is slower than the
// server.
BOOST_AUTO_TEST_CASE(NextPieceWaitsForResume) {
  HttpFixture fixture([](const Exchange& exchange) {
    exchange->Send(
        {.status = 200, .headers = {}, .body = std::string(1 << 20, 'x')});
  });
  std::promise<std::function<void()>> first;
  std::atomic<int> pieces = 0;
  std::promise<CallEnd> end;
  auto call = fixture.Client().Start(
      fixture.Address(), {.method = "GET", .target = "/"},
      std::chrono::seconds(10),
      {.on_head = nullptr,
       .on_body =
           [&](const std::string&, std::function<void()> resume) {
             if (++pieces == 1) {
               first.set_value(std::move(resume));
             } else {
               resume();
             }
             return true;
           },
       .on_end = [&](CallEnd it) { end.set_value(it); }});
  const auto resume = first.get_future().get();
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  BOOST_CHECK_EQUAL(pieces, 1);
  resume();
  BOOST_CHECK(end.get_future().get() == CallEnd::kComplete);
}

// Guards against a cancelled call that keeps running at the server.
BOOST_AUTO_TEST_CASE(CancelClosesTheConnection) {
  std::promise<void> disconnected;
  std::promise<void> arrived;
  HttpFixture fixture([&](const Exchange& exchange) {
    exchange->OnClientDisconnected([&] { disconnected.set_value(); });
    arrived.set_value();
  });
  std::promise<CallEnd> end;
  auto call = fixture.Client().Start(
      fixture.Address(), {.method = "GET", .target = "/"},
      std::chrono::seconds(10),
      {.on_end = [&](CallEnd it) { end.set_value(it); }});
  arrived.get_future().get();
  call->Cancel();
  BOOST_CHECK(end.get_future().get() == CallEnd::kCancelled);
  BOOST_CHECK(disconnected.get_future().wait_for(std::chrono::seconds(5)) ==
              std::future_status::ready);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::transport
