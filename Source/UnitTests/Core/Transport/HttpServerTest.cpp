#include <atomic>

#include "HttpFixture.h"
#include "Transport/HttpServer.h"

namespace shallotbeam::transport {

namespace {

using Exchange = HttpFixture::Exchange;

const std::string kGet = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";

void Echo(const Exchange& exchange) {
  exchange->Send(
      {.status = 200, .headers = {}, .body = exchange->Request().target + ";"});
}

}  // namespace

BOOST_AUTO_TEST_SUITE(HttpServerTest)

// Guards against answers that swap places or get lost on one connection.
BOOST_AUTO_TEST_CASE(PipelinedRequestsAreAnsweredInOrder) {
  HttpFixture fixture(Echo);
  auto socket = fixture.Connect();
  WriteText(socket,
            "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n"
            "GET /c HTTP/1.1\r\n\r\n");
  const std::string text = ReadUntil(socket, "/c;");
  BOOST_CHECK(text.find("/a;") < text.find("/b;"));
  BOOST_CHECK(text.find("/b;") < text.find("/c;"));
}

// Guards against a request that is never answered because all of it arrived
// before the response to the previous one was written.
BOOST_AUTO_TEST_CASE(RequestsThatArriveBeforeTheResponseAreAnswered) {
  std::vector<std::thread> answers;
  HttpFixture fixture([&](const Exchange& exchange) {
    answers.emplace_back([exchange] {
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      Echo(exchange);
    });
  });
  auto socket = fixture.Connect();
  WriteText(socket,
            "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n"
            "GET /c HTTP/1.1\r\n\r\n");
  const std::string text = ReadUntil(socket, "/c;");
  for (std::thread& it : answers) it.join();
  BOOST_CHECK(text.find("/c;") != std::string::npos);
}

// Guards against smuggling: bytes of a body, whose length intermediaries read
// differently, that are taken for the next request.
BOOST_AUTO_TEST_CASE(AmbiguousFramingIsRefused) {
  for (const std::string& framing :
       {std::string("Transfer-Encoding: xchunked\r\n"),
        std::string("Transfer-Encoding: chunked, identity\r\n"),
        std::string("Transfer-Encoding: chunked\r\nContent-Length: 4\r\n")}) {
    HttpServerOptions options;
    options.make_error = [](int status) {
      return HttpResponse{.status = status, .headers = {}};
    };
    HttpFixture fixture(Echo, options);
    auto socket = fixture.Connect();
    WriteText(socket, "POST /a HTTP/1.1\r\nHost: x\r\n" + framing +
                          "\r\nGET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n");
    const std::string text = ReadUntil(socket, "\r\n\r\n");
    BOOST_CHECK_MESSAGE(text.find("HTTP/1.1 400") == 0, framing + text);
    BOOST_CHECK(text.find("smuggled") == std::string::npos);
  }
}

// Guards against connections that stay open for ever after a response.
BOOST_AUTO_TEST_CASE(IdleConnectionIsClosed) {
  HttpServerOptions options;
  options.idle_timeout = std::chrono::milliseconds(200);
  HttpFixture fixture(Echo, options);
  auto socket = fixture.Connect();
  WriteText(socket, kGet);
  ReadUntil(socket, "/a;");
  const auto start = std::chrono::steady_clock::now();
  BOOST_CHECK_EQUAL(ReadUntil(socket, ""), "");
  const auto elapsed = std::chrono::steady_clock::now() - start;
  BOOST_CHECK(elapsed < std::chrono::seconds(5));
}

// Guards against unbounded memory for heads and bodies, and against silence.
BOOST_AUTO_TEST_CASE(OversizedAndMalformedRequestsAreRefused) {
  HttpServerOptions options;
  options.max_header_bytes = 1000;
  options.max_body_bytes = 1000;
  std::atomic<int> handled = 0;
  HttpFixture fixture([&](const Exchange&) { ++handled; }, options);
  const std::pair<std::string, std::string> cases[] = {
      {"GET / HTTP/1.1\r\nX: " + std::string(2000, 'x') + "\r\n\r\n", " 431 "},
      {"POST / HTTP/1.1\r\nContent-Length: 2000\r\n\r\n", " 413 "},
      {"nonsense\r\n\r\n", " 400 "},
      {"POST / HTTP/1.1\r\nContent-Length: -3\r\n\r\n", " 400 "}};
  for (const auto& [request, status] : cases) {
    auto socket = fixture.Connect();
    WriteText(socket, request);
    const std::string text = ReadUntil(socket, "");
    BOOST_CHECK_MESSAGE(text.find(status) != std::string::npos, text);
  }
  BOOST_CHECK_EQUAL(handled, 0);
}

// Guards against work that goes on for a client that has gone.
BOOST_AUTO_TEST_CASE(GoneClientIsReported) {
  std::promise<void> gone;
  HttpFixture fixture([&](const Exchange& exchange) {
    exchange->OnClientDisconnected([&gone] { gone.set_value(); });
  });
  auto socket = fixture.Connect();
  WriteText(socket, kGet);
  socket.close();
  BOOST_CHECK(gone.get_future().wait_for(std::chrono::seconds(5)) ==
              std::future_status::ready);
}

// Guards against a process that ends while its last response is on its way.
BOOST_AUTO_TEST_CASE(UnsentResponseIsPending) {
  constexpr std::size_t kMoreThanSocketBuffers = 64U << 20U;
  HttpFixture fixture([](const Exchange& exchange) {
    exchange->Send({.status = 200,
                    .headers = {},
                    .body = std::string(kMoreThanSocketBuffers, 'x')});
  });
  auto socket = fixture.Connect();
  WriteText(socket, kGet);
  std::vector<char> start(1);
  boost::asio::read(socket, boost::asio::buffer(start));
  BOOST_CHECK_EQUAL(fixture.Server().PendingResponses(), 1);
  std::vector<char> rest(kMoreThanSocketBuffers);
  boost::asio::read(socket, boost::asio::buffer(rest));
  // The count falls once the server has noted the end of its write.
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  while (fixture.Server().PendingResponses() > 0 &&
         std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  BOOST_CHECK_EQUAL(fixture.Server().PendingResponses(), 0);
}

// Guards against an answer mixed from two attempts.
BOOST_AUTO_TEST_CASE(OutputOfAnEarlierSourceIsDropped) {
  HttpFixture fixture([](const Exchange& exchange) {
    exchange->SetSource(1);
    exchange->SetSource(2);
    exchange->Send({.status = 200, .headers = {}, .body = "first"}, 1);
    exchange->StartStream({.status = 200, .headers = {}}, 2);
    exchange->Write("first", nullptr, 1);
    exchange->Write("second", nullptr, 2);
    exchange->Finish(1);
    exchange->Finish(2);
  });
  auto socket = fixture.Connect();
  WriteText(socket, kGet);
  const std::string text = ReadUntil(socket, "0\r\n\r\n");
  BOOST_CHECK(text.find("second") != std::string::npos);
  BOOST_CHECK(text.find("first") == std::string::npos);
}

// Guards against a truncated stream that looks complete.
BOOST_AUTO_TEST_CASE(FailedStreamHasNoLastChunk) {
  HttpFixture fixture([](const Exchange& exchange) {
    exchange->StartStream({.status = 200, .headers = {}});
    exchange->Write("part", nullptr);
    exchange->Fail({.status = 502}, "event: error\n\n");
  });
  auto socket = fixture.Connect();
  WriteText(socket, kGet);
  const std::string text = ReadUntil(socket, "");
  BOOST_CHECK(text.find("part") != std::string::npos);
  BOOST_CHECK(text.find("event: error") != std::string::npos);
  BOOST_CHECK(text.find("\r\n0\r\n") == std::string::npos);
}

// Guards against a second attempt that starts after a part of the first one
// was sent.
BOOST_AUTO_TEST_CASE(NewSourceAfterTheHeadAborts) {
  HttpFixture fixture([](const Exchange& exchange) {
    exchange->SetSource(1);
    exchange->StartStream({.status = 200, .headers = {}}, 1);
    exchange->Write("first", nullptr, 1);
    exchange->SetSource(2);
    exchange->Send({.status = 200, .headers = {}, .body = "second"}, 2);
  });
  auto socket = fixture.Connect();
  WriteText(socket, kGet);
  BOOST_CHECK(ReadUntil(socket, "").find("second") == std::string::npos);
}

// Guards against a caller that never reads and holds a stream for ever.
BOOST_AUTO_TEST_CASE(ClientThatNeverReadsIsDisconnected) {
  HttpServerOptions options;
  options.send_timeout = std::chrono::milliseconds(300);
  std::promise<void> gone;
  std::atomic<int> flushed = 0;
  HttpFixture fixture(
      [&](const Exchange& exchange) {
        exchange->OnClientDisconnected([&gone] { gone.set_value(); });
        exchange->StartStream({.status = 200, .headers = {}});
        for (int i = 0; i < 64; ++i) {
          exchange->Write(std::string(1 << 20, 'x'), [&] { ++flushed; });
        }
      },
      options);
  auto socket = fixture.Connect();
  WriteText(socket, kGet);
  BOOST_CHECK(gone.get_future().wait_for(std::chrono::seconds(10)) ==
              std::future_status::ready);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::transport
