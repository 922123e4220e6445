#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <optional>
#include <string>
#include <thread>

#include "HttpFixture.h"
#include "Transport/HttpClient.h"

namespace shallotbeam::transport {

namespace {

using boost::asio::ip::tcp;

struct Result {
  CallEnd end = CallEnd::kComplete;
  HttpResponse response;
};

// Sends a request with `body` to a server that handles it by `serve` and closes
// the connection.
Result FetchFrom(const std::function<void(tcp::socket&)>& serve,
                 const std::string& body = "") {
  boost::asio::io_context context;
  tcp::acceptor acceptor(context,
                         {boost::asio::ip::make_address("127.0.0.1"), 0});
  std::thread server([&] {
    tcp::socket socket = acceptor.accept();
    serve(socket);
  });
  HttpClient client(context);
  std::optional<Result> result;
  client.Fetch(
      {.address = "127.0.0.1", .port = acceptor.local_endpoint().port()},
      {.method = "POST", .target = "/", .body = body}, std::chrono::seconds(5),
      [&](CallEnd end, const HttpResponse& it) {
        result = {.end = end, .response = it};
      });
  context.run();
  server.join();
  BOOST_REQUIRE(result.has_value());
  return *result;
}

Result FetchBytes(const std::string& bytes) {
  return FetchFrom([&bytes](tcp::socket& socket) {
    ReadUntil(socket, "\r\n\r\n");
    WriteText(socket, bytes);
  });
}

const std::string kUnsizedPart = "HTTP/1.1 200 OK\r\n\r\npart";

const std::string kInvalidHeads[] = {
    "HTTP/1.1 000 x\r\n",
    "HTTP/1.1 099 x\r\n",
    "HTTP/1.1 101 x\r\n",
    "HTTP/1.1 600 x\r\n",
    "HTTP/1.1 999 x\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n",
};

const std::string kMalformedNames[] = {
    "Na me: x\r\n",    "Na\tme: x\r\n",           "Name : x\r\n",
    "Na\x01me: x\r\n", "Name\x7f: x\r\n",         "\x1fName: x\r\n",
    " Name: x\r\n",    "Type: a\r\n Name: x\r\n", "Type: a\r\n\tName: x\r\n",
};

}  // namespace

BOOST_AUTO_TEST_SUITE(BrokenResponsesTest)

// Guards against a response that is none in HTTP: no defined status, or an
// ambiguous length.
BOOST_DATA_TEST_CASE(InvalidHeadIsNoResponse,
                     boost::unit_test::data::make(kInvalidHeads), head) {
  const Result result = FetchBytes(head + "Content-Length: 5\r\n\r\nwhole");
  BOOST_CHECK(result.end == CallEnd::kInvalid);
  BOOST_CHECK_EQUAL(result.response.status, 0);
  BOOST_CHECK_EQUAL(result.response.body, "");
}

// Guards against an interim response that is taken for the final one.
BOOST_AUTO_TEST_CASE(InterimResponsesAreSkipped) {
  const Result result = FetchBytes(
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
  BOOST_CHECK(result.end == CallEnd::kComplete);
  BOOST_CHECK_EQUAL(result.response.status, 200);
  BOOST_CHECK_EQUAL(result.response.body, "whole");
}

// Guards against a call that interim responses without end keep alive.
BOOST_AUTO_TEST_CASE(InterimResponsesAreBounded) {
  std::string bytes;
  for (int i = 0; i < 1'000; ++i) bytes += "HTTP/1.1 100 Continue\r\n\r\n";
  BOOST_CHECK(FetchBytes(bytes).end == CallEnd::kInvalid);
}

// Guards against a header whose name holds a blank or a control byte.
BOOST_DATA_TEST_CASE(MalformedNameIsNoResponse,
                     boost::unit_test::data::make(kMalformedNames), line) {
  const Result result = FetchBytes("HTTP/1.1 200 OK\r\n" + line +
                                   "Content-Length: 5\r\n\r\nwhole");
  BOOST_CHECK(result.end != CallEnd::kComplete);
  BOOST_CHECK_EQUAL(result.response.status, 0);
  BOOST_CHECK_EQUAL(result.response.body, "");
}

// Guards against a part of a body without length that counts as whole: the
// server resets the connection while the request is being sent.
BOOST_AUTO_TEST_CASE(ResetDuringAnUploadIsNoEnd) {
  // More than the buffers of both sockets hold.
  std::string upload;
  upload.resize(33'554'432, 'u');
  for (const bool reads_first : {false, true}) {
    const Result result = FetchFrom(
        [reads_first](tcp::socket& socket) {
          WriteText(socket, kUnsizedPart);
          if (reads_first) ReadUntil(socket, "uuu");
          socket.set_option(tcp::socket::linger(true, 0));
        },
        upload);
    BOOST_CHECK(result.end == CallEnd::kBroken);
  }
}

// The same with a request that the buffers hold, of which nothing is read: the
// server ends its side first.
BOOST_AUTO_TEST_CASE(ResetAfterTheEndOfTheStreamIsNoEnd) {
  const std::string upload(32'768, 'u');
  const Result result = FetchFrom(
      [&upload](tcp::socket& socket) {
        while (socket.available() < upload.size()) std::this_thread::yield();
        WriteText(socket, kUnsizedPart);
        socket.shutdown(tcp::socket::shutdown_send);
      },
      upload);
  BOOST_CHECK(result.end == CallEnd::kBroken);
}

// A body without length ends with a connection that is not reset.
BOOST_AUTO_TEST_CASE(EndOfTheStreamIsTheEndOfTheBody) {
  const Result result = FetchBytes(kUnsizedPart);
  BOOST_CHECK(result.end == CallEnd::kComplete);
  BOOST_CHECK_EQUAL(result.response.body, "part");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::transport
