#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "Common/Clock.h"
#include "Core/Forwarding/EndlessSender.h"
#include "Forwarding/CallerServer.h"

namespace shallotbeam::forwarding {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
namespace net = boost::asio;
using boost::system::error_code;

// Serves every request and counts them.
class CountingHandler : public CallerHandler {
 public:
  void OnRequest(const std::shared_ptr<CallerConnection>& connection,
                 CallerRequest request) override {
    ++served;
    body = std::move(request.body);
    connection->Send(200, "", "");
  }
  void OnMalformed(int status) override { malformed = status; }

  int served = 0;
  int malformed = 0;
  std::string body;
};

struct Fixture {
  net::io_context context;
  common::ManualClock clock;
  CountingHandler handler;
  catalogue::CallerLimits limits;
  CallerServer server{
      context, {.clock = clock, .handler = handler, .limits = limits}, 8};
  net::ip::tcp::socket socket{context};
  std::string received;
  bool closed = false;

  Fixture() {
    clock.Advance(1h);
    BOOST_REQUIRE(server.Listen({.address = "127.0.0.1", .port = 0}).ok());
    socket.connect({net::ip::make_address("127.0.0.1"), server.Port()});
    socket.non_blocking(true);
    Run();
  }

  void Run() {
    for (int i = 0; i < 10; ++i) context.run_one_for(1ms);
    std::array<char, 4'096> buf{};
    error_code ec;
    while (!ec) {
      const std::size_t n = socket.read_some(net::buffer(buf), ec);
      received.append(buf.data(), n);
    }
    closed = closed || ec != net::error::would_block;
  }

  void Send(const std::string& bytes) {
    error_code ec;
    net::write(socket, net::buffer(bytes), ec);
    Run();
  }

  EndlessResult SendUntilMalformed(const std::string& bytes) {
    return SendEndlessly(context, socket, bytes,
                         [this] { return handler.malformed != 0; });
  }

  void Advance(common::Duration time) {
    clock.Advance(time);
    server.CheckTimeouts(clock.Now());
    Run();
  }

  bool IsAnsweredWith(const std::string& status) const {
    return received.rfind("HTTP/1.1 " + status, 0) == 0;
  }
};

const std::string kChunkedHead =
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

const std::vector<EndlessCase>& EndlessCases() {
  static const std::vector<EndlessCase> cases = {
      {"no HTTP", "", kFiller},
      {"request line", "GET /", kFiller},
      {"header line", "GET / HTTP/1.1\r\nX: ", kFiller},
      {"headers", "GET / HTTP/1.1\r\n", "X: y\r\n"},
      {"chunk size", kChunkedHead, std::string(16'384, '0')},
      {"chunk extension", kChunkedHead + "1;", kFiller},
      {"chunk extensions", kChunkedHead, "1;" + kFiller + "\r\nx\r\n"},
      {"trailers", kChunkedHead + "0\r\n", "X: y\r\n"},
      {"chunked body", kChunkedHead, "4000\r\n" + kFiller + "\r\n"},
      {"body of stated length",
       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999\r\n\r\n",
       kFiller},
  };
  return cases;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(CallerConnectionTest)

// Guards against a caller, with or without a credential, that sends bytes
// without end: the process would hold all of them until it runs out of memory.
BOOST_DATA_TEST_CASE(EndlessBytesAreRejected,
                     boost::unit_test::data::make(EndlessCases()), endless) {
  Fixture it;
  it.Send(endless.start);
  const EndlessResult result = it.SendUntilMalformed(endless.repeated);
  BOOST_TEST_MESSAGE(endless.name << ": " << result.growth / 1'024
                                  << " KiB after " << result.sent / 1'024
                                  << " KiB");
  BOOST_CHECK_NE(it.handler.malformed, 0);
  BOOST_CHECK_EQUAL(it.handler.served, 0);
  BOOST_CHECK_LT(result.growth, kMemoryBound);
  it.Run();
  it.Advance(25s);
  BOOST_CHECK_EQUAL(it.server.Connections(), 0);
}

// Guards against a caller that keeps a connection by sending a byte of its head
// now and then.
BOOST_FIXTURE_TEST_CASE(HeadSentByTheByteIsRejected, Fixture) {
  Send("GET / HTTP/1.1\r\nX: ");
  const common::Duration step = limits.header_timeout / 4;
  for (int i = 0; i < 5 && received.empty(); ++i) {
    Advance(step);
    Send("a");
  }
  BOOST_CHECK(IsAnsweredWith("408"));
}

// The same for a body whose chunks or extensions arrive by the byte.
BOOST_FIXTURE_TEST_CASE(BodySentByTheByteIsRejected, Fixture) {
  Send(kChunkedHead);
  const common::Duration step = limits.idle_timeout / 4;
  for (int i = 0; i < 12 && received.empty(); ++i) {
    Advance(step);
    Send("1\r\nx\r\n");
  }
  BOOST_CHECK(IsAnsweredWith("408"));
}

BOOST_FIXTURE_TEST_CASE(ChunkExtensionSentByTheByteIsRejected, Fixture) {
  Send(kChunkedHead + "1;");
  const common::Duration step = limits.idle_timeout / 4;
  for (int i = 0; i < 12 && received.empty(); ++i) {
    Advance(step);
    Send("a");
  }
  BOOST_CHECK(IsAnsweredWith("408"));
}

// Guards against pipelined requests that are taken for bytes without end.
BOOST_FIXTURE_TEST_CASE(PipelinedRequestsAreServed, Fixture) {
  constexpr int kRequests = 20;
  const std::string request =
      "GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(3'000, 'a') + "\r\n\r\n";
  std::string bytes;
  for (int i = 0; i < kRequests; ++i) bytes += request;
  Send(bytes);
  for (int i = 0; i < kRequests; ++i) Run();
  BOOST_CHECK_EQUAL(handler.served, kRequests);
}

// Guards against a slow but sound upload that is cut.
BOOST_FIXTURE_TEST_CASE(SlowBodyIsServed, Fixture) {
  constexpr int kPieces = 40;
  const std::string piece(4'096, 'x');
  Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
       std::to_string(kPieces * piece.size()) + "\r\n\r\n");
  for (int i = 0; i < kPieces; ++i) {
    Advance(1s);
    Send(piece);
  }
  BOOST_CHECK(IsAnsweredWith("200"));
  BOOST_CHECK_EQUAL(handler.body.size(), kPieces * piece.size());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::forwarding
