#include <boost/test/unit_test.hpp>

#include "Forwarding/EventScanner.h"
#include "Forwarding/Framing.h"
#include "Property.h"

namespace shallotbeam::forwarding {

namespace {

Fields FieldsOf(
    const std::vector<std::pair<std::string, std::string>>& headers) {
  Fields fields;
  for (const auto& [name, value] : headers) fields.insert(name, value);
  return fields;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(FramingTest)

// Guards against request smuggling: an upstream reads a body as the next
// request.
BOOST_AUTO_TEST_CASE(AmbiguousFramingIsDetected) {
  BOOST_CHECK(
      IsAmbiguouslyFramed(FieldsOf({{"Transfer-Encoding", "xchunked"}})));
  BOOST_CHECK(IsAmbiguouslyFramed(
      FieldsOf({{"Transfer-Encoding", "chunked, identity"}})));
  BOOST_CHECK(IsAmbiguouslyFramed(
      FieldsOf({{"Transfer-Encoding", "chunked"}, {"Content-Length", "3"}})));
  BOOST_CHECK(IsAmbiguouslyFramed(
      FieldsOf({{"Content-Length", "3"}, {"Content-Length", "4"}})));
  BOOST_CHECK(!IsAmbiguouslyFramed(FieldsOf({{"Content-Length", "3"}})));
  BOOST_CHECK(
      !IsAmbiguouslyFramed(FieldsOf({{"Transfer-Encoding", "chunked"}})));
}

// Guards against hop-by-hop headers that are forwarded to the next hop.
BOOST_AUTO_TEST_CASE(HeadersNamedInConnectionAreHopByHop) {
  const Fields fields = FieldsOf({{"Connection", "keep-alive, X-Private"}});
  BOOST_CHECK(IsHopByHop(fields, "Connection"));
  BOOST_CHECK(IsHopByHop(fields, "x-private"));
  BOOST_CHECK(!IsHopByHop(fields, "X-Public"));
}

// Guards against the reuse of a connection that its upstream has closed.
BOOST_AUTO_TEST_CASE(IdleTimeIsReadFromKeepAlive) {
  BOOST_CHECK(KeepAliveSeconds(FieldsOf({{"Keep-Alive", "timeout=10"}})) == 10);
  BOOST_CHECK(!KeepAliveSeconds(FieldsOf({{"Keep-Alive", "timeout=soon"}})));
  BOOST_CHECK(!KeepAliveSeconds(FieldsOf({})));
}

BOOST_AUTO_TEST_CASE(ChunkHasItsLengthInHex) {
  std::string out;
  AppendChunk("0123456789abcdef!", &out);
  BOOST_CHECK_EQUAL(out, "11\r\n0123456789abcdef!\r\n");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(EventScannerTest)

// Guards against a stream that is resumed after an incomplete event, so that a
// part of the event is sent twice.
BOOST_AUTO_TEST_CASE(IncompleteEventIsDropped) {
  EventScanner scanner;
  BOOST_CHECK_EQUAL(scanner.Add("id: 1\ndata: a\n\nid: 2\nda"),
                    "id: 1\ndata: a\n\n");
  BOOST_CHECK_EQUAL(scanner.LastId(), "1");
  BOOST_CHECK_EQUAL(scanner.Partial(), "id: 2\nda");
  scanner.DropPartial();
  BOOST_CHECK_EQUAL(scanner.Add("id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
  BOOST_CHECK_EQUAL(scanner.LastId(), "2");
  BOOST_CHECK_EQUAL(scanner.Events(), 2);
}

// Guards against a result that depends on how the network splits a stream.
BOOST_AUTO_TEST_CASE(SplitsDoNotChangeTheResult) {
  test::CheckProperty("cuts change nothing", [](const std::vector<bool>& cuts) {
    const std::string stream =
        "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\nid: 3\nda";
    EventScanner whole;
    const std::string expected(whole.Add(stream));
    EventScanner scanner;
    std::string seen;
    std::string piece;
    for (std::size_t i = 0; i < stream.size(); ++i) {
      piece += stream[i];
      if (i < cuts.size() && cuts[i]) {
        seen += scanner.Add(std::exchange(piece, ""));
      }
    }
    seen += scanner.Add(piece);
    RC_ASSERT(seen == expected);
    RC_ASSERT(scanner.LastId() == whole.LastId());
    RC_ASSERT(scanner.Events() == whole.Events());
    RC_ASSERT(scanner.Partial() == whole.Partial());
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::forwarding
