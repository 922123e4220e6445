#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <string>

#include "Core/Forwarding/UpstreamFixture.h"

namespace shallotbeam::forwarding {

namespace {

constexpr int kLastControlByte = 31;
constexpr int kDelete = 127;
// More than the buffers of both sockets hold.
const std::string kUpload(32 * kMebibyte, 'u');
const std::string kUnsizedPart = "HTTP/1.1 200 OK\r\nId: a\r\n\r\npart";

// Blank and control bytes, none of which may be in the name of a header.
std::string ForbiddenBytes() {
  std::string bytes = " ";
  for (int it = 0; it <= kLastControlByte; ++it) {
    bytes.push_back(static_cast<char>(it));
  }
  bytes.push_back(static_cast<char>(kDelete));
  return bytes;
}

// Sends a response with `lines` in its head, over a connection of its own, and
// checks that nothing of it is passed on.
void CheckLinesBreakTheResponse(const std::string& lines) {
  UpstreamFixture it;
  it.Send("a");
  it.Reply("HTTP/1.1 200 OK\r\n" + lines +
           "\r\nId: a\r\nContent-Length: 5\r\n\r\nwhole");
  BOOST_CHECK(it.listener.end == ExchangeEnd::kBroken);
  BOOST_CHECK(!it.listener.has_head);
  BOOST_CHECK(!it.connection->IsOpen());
}

}  // namespace

BOOST_AUTO_TEST_SUITE(BrokenResponsesTest)

// Guards against a response without a status of HTTP that is passed on.
BOOST_DATA_TEST_CASE(StatusThatHttpDoesNotDefineIsNoResponse,
                     boost::unit_test::data::make({"000", "001", "099", "101",
                                                   "600", "999"}),
                     status) {
  UpstreamFixture it;
  it.Send("a");
  it.Reply(std::string("HTTP/1.1 ") + status +
           " x\r\nId: a\r\nContent-Length: 5\r\n\r\nwhole");
  BOOST_CHECK(it.listener.end == ExchangeEnd::kBroken);
  BOOST_CHECK(!it.listener.has_head);
  BOOST_CHECK(!it.connection->IsOpen());
}

// Guards against a header whose name holds a blank or a control byte: passed
// on, or taken for none although it states the length.
BOOST_AUTO_TEST_CASE(NameWithAForbiddenByteIsNoResponse) {
  for (const char byte : ForbiddenBytes()) {
    const std::string forbidden(1, byte);
    for (const std::string& lines :
         {forbidden + "Name: x", "Type: a\r\n" + forbidden + "Name: x",
          "Na" + forbidden + "me: x", "Name" + forbidden + ": x"}) {
      BOOST_TEST_CONTEXT("byte " << static_cast<int>(byte) << ", lines \""
                                 << lines << "\"") {
        CheckLinesBreakTheResponse(lines);
      }
    }
  }
}

// The same for a line that begins with a blank and arrives in pieces.
BOOST_AUTO_TEST_CASE(FoldedLineInPiecesIsNoResponse) {
  const std::string response =
      "HTTP/1.1 200 OK\r\nId: a\r\n Name: x\r\nContent-Length: 5\r\n\r\nwhole";
  const std::size_t line_end = response.find("\r\n ");
  for (std::size_t cut = line_end; cut <= line_end + 4; ++cut) {
    UpstreamFixture it;
    it.Send("a");
    it.Reply(response.substr(0, cut));
    it.Reply(response.substr(cut));
    BOOST_TEST_CONTEXT("cut after " << cut) {
      BOOST_CHECK(it.listener.end == ExchangeEnd::kBroken);
      BOOST_CHECK(!it.listener.has_head);
    }
  }
}

// A blank elsewhere in the head, or at the beginning of a body, is sound.
BOOST_FIXTURE_TEST_CASE(BlanksInValuesAndBodiesAreSound, UpstreamFixture) {
  Send("a");
  Reply(
      "HTTP/1.1 200 OK\r\nId: a\r\nName:\t x  y \r\nContent-Length: 6\r\n\r\n");
  Reply(" who\n ");
  BOOST_CHECK(listener.end == ExchangeEnd::kComplete);
  BOOST_CHECK_EQUAL(listener.fields["Name"], "x  y");
  BOOST_CHECK_EQUAL(listener.body, " who\n ");
}

// The next tests guard against a part of a body without length that counts as
// whole: the upstream resets the connection while the request is being sent.

BOOST_FIXTURE_TEST_CASE(ResetDuringAnUploadIsNoEnd, UpstreamFixture) {
  Send("a", /*head_only=*/false, kUpload);
  Reply(kUnsizedPart);
  BOOST_REQUIRE(!listener.end);
  Reset();
  Run();
  BOOST_CHECK(listener.end == ExchangeEnd::kBroken);
}

BOOST_FIXTURE_TEST_CASE(ResetTogetherWithTheBodyIsNoEnd, UpstreamFixture) {
  Send("a", /*head_only=*/false, kUpload);
  boost::asio::write(peer, boost::asio::buffer(kUnsizedPart));
  Reset();
  Run();
  BOOST_CHECK(listener.end == ExchangeEnd::kBroken);
}

// An upstream that closes when it has read all that has arrived ends its side
// of the connection first and resets it at the next byte.
BOOST_FIXTURE_TEST_CASE(ResetAfterTheEndOfTheStreamIsNoEnd, UpstreamFixture) {
  Send("a", /*head_only=*/false, kUpload);
  boost::asio::write(peer, boost::asio::buffer(kUnsizedPart));
  ReadAll();
  peer.close();
  Run();
  BOOST_CHECK(listener.end == ExchangeEnd::kBroken);
}

// The same with a request that the buffers hold, of which nothing is read.
BOOST_FIXTURE_TEST_CASE(ResetWithAnUnreadRequestIsNoEnd, UpstreamFixture) {
  Send("a", /*head_only=*/false, std::string(kMebibyte, 'u'));
  boost::asio::write(peer, boost::asio::buffer(kUnsizedPart));
  peer.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
  peer.close();
  Run();
  BOOST_CHECK(listener.end == ExchangeEnd::kBroken);
}

// An early response of an upstream that goes on reading is whole.
BOOST_FIXTURE_TEST_CASE(EarlyResponseOfAReaderIsWhole, UpstreamFixture) {
  Send("a", /*head_only=*/false, kUpload);
  boost::asio::write(peer, boost::asio::buffer(kUnsizedPart));
  peer.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
  for (int i = 0; i < 100 && !listener.end; ++i) {
    ReadAll();
    Run();
  }
  BOOST_CHECK(listener.end == ExchangeEnd::kComplete);
  BOOST_CHECK_EQUAL(listener.body, "part");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::forwarding
