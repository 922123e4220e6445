#include <atomic>
#include <vector>

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

// Guards against responses that are reordered or lost on one connection.
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

// Guards against a request that gets no response because all of its bytes
// arrived before the response to the previous request was written.
BOOST_AUTO_TEST_CASE(RequestsThatArriveBeforeTheResponseAreAnswered) {
  std::vector<std::thread> responders;
  HttpFixture fixture([&](const Exchange& exchange) {
    responders.emplace_back([exchange] {
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      Echo(exchange);
    });
  });
  auto socket = fixture.Connect();
  WriteText(socket,
            "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n"
            "GET /c HTTP/1.1\r\n\r\n");
  const std::string text = ReadUntil(socket, "/c;");
  for (std::thread& it : responders) it.join();
  BOOST_CHECK(text.find("/c;") != std::string::npos);
}

// Guards against request smuggling: if intermediaries disagree about the length
// of a body, bytes of the body can be parsed as the next request.
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

// Guards against a process that runs out of memory because many clients send
// long bodies at once and stop short of their end, and against other clients
// that get no response meanwhile or a refusal afterwards.
BOOST_AUTO_TEST_CASE(MemoryOfAllRequestsIsBounded) {
  constexpr std::size_t kBodyBytes = 300'000;
  HttpServerOptions options;
  options.max_buffered_bytes = 1'000'000;
  HttpFixture fixture(Echo, options);
  const auto head = [](std::size_t length) {
    return "POST /a HTTP/1.1\r\nContent-Length: " + std::to_string(length) +
           "\r\n\r\n";
  };
  {
    std::vector<boost::asio::ip::tcp::socket> crowd;
    for (int i = 0; i < 10; ++i) {
      crowd.push_back(fixture.Connect());
      boost::system::error_code ec;
      boost::asio::write(crowd.back(),
                         boost::asio::buffer(head(kBodyBytes) +
                                             std::string(kBodyBytes - 1, 'u')),
                         ec);
    }
    const std::string small = head(5'000) + std::string(5'000, 'o');
    auto ordinary = fixture.Connect();
    WriteText(ordinary, small);
    BOOST_CHECK(ReadUntil(ordinary, "/a;").find("200 OK") != std::string::npos);
    // Whoever came last found no memory left.
    BOOST_CHECK(ReadUntil(crowd.back(), "refused").find("503") !=
                std::string::npos);
  }
  std::string text;
  for (int i = 0; i < 100 && text.find("200 OK") == std::string::npos; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    auto later = fixture.Connect();
    WriteText(later, head(kBodyBytes) + std::string(kBodyBytes, 'u'));
    text = ReadUntil(later, "/a;");
  }
  BOOST_CHECK(text.find("200 OK") != std::string::npos);
}

// Guards against connections that stay open forever after a response.
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

// Guards against unbounded memory use by headers and bodies, and against
// closing the connection without an error response.
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

// Guards against work that continues for a client that has disconnected.
BOOST_AUTO_TEST_CASE(ClientDisconnectIsReported) {
  std::promise<void> disconnected;
  HttpFixture fixture([&](const Exchange& exchange) {
    exchange->OnClientDisconnected(
        [&disconnected] { disconnected.set_value(); });
  });
  auto socket = fixture.Connect();
  WriteText(socket, kGet);
  socket.close();
  BOOST_CHECK(disconnected.get_future().wait_for(std::chrono::seconds(5)) ==
              std::future_status::ready);
}

// Guards against a process that exits while its last response is being sent.
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
  // The count decreases only after the server has handled the end of its write.
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  while (fixture.Server().PendingResponses() > 0 &&
         std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  BOOST_CHECK_EQUAL(fixture.Server().PendingResponses(), 0);
}

// Guards against a response that mixes the output of two attempts.
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

// Guards against sending the output of a second attempt after a part of the
// response of the first attempt was sent.
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

// Guards against a client that never reads and keeps a stream open forever.
BOOST_AUTO_TEST_CASE(ClientThatNeverReadsIsDisconnected) {
  HttpServerOptions options;
  options.send_timeout = std::chrono::milliseconds(300);
  std::promise<void> disconnected;
  std::atomic<int> flushed = 0;
  HttpFixture fixture(
      [&](const Exchange& exchange) {
        exchange->OnClientDisconnected(
            [&disconnected] { disconnected.set_value(); });
        exchange->StartStream({.status = 200, .headers = {}});
        for (int i = 0; i < 64; ++i) {
          exchange->Write(std::string(1 << 20, 'x'), [&] { ++flushed; });
        }
      },
      options);
  auto socket = fixture.Connect();
  WriteText(socket, kGet);
  BOOST_CHECK(disconnected.get_future().wait_for(std::chrono::seconds(10)) ==
              std::future_status::ready);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::transport
