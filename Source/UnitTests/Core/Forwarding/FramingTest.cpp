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

// Guards against smuggling: a body that an upstream reads as the next request.
BOOST_AUTO_TEST_CASE(AmbiguousFramingIsFound) {
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

// Guards against a connection's own headers that reach its next hop.
BOOST_AUTO_TEST_CASE(NamedHeadersConcernOneHop) {
  const Fields fields = FieldsOf({{"Connection", "keep-alive, X-Private"}});
  BOOST_CHECK(IsHopByHop(fields, "Connection"));
  BOOST_CHECK(IsHopByHop(fields, "x-private"));
  BOOST_CHECK(!IsHopByHop(fields, "X-Public"));
}

// Guards against a channel that is used after its upstream has closed it.
BOOST_AUTO_TEST_CASE(IdleTimeIsReadFromKeepAlive) {
  BOOST_CHECK(IdleSeconds(FieldsOf({{"Keep-Alive", "timeout=10"}})) == 10);
  BOOST_CHECK(!IdleSeconds(FieldsOf({{"Keep-Alive", "timeout=soon"}})));
  BOOST_CHECK(!IdleSeconds(FieldsOf({})));
}

BOOST_AUTO_TEST_CASE(ChunkHasItsLengthInHex) {
  std::string out;
  AppendChunk("0123456789abcdef!", &out);
  BOOST_CHECK_EQUAL(out, "11\r\n0123456789abcdef!\r\n");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(EventScannerTest)

// Guards against a stream that goes on after an event that was not whole, so
// that a part of it comes twice.
BOOST_AUTO_TEST_CASE(RestOfABrokenEventIsDropped) {
  EventScanner scanner;
  BOOST_CHECK_EQUAL(scanner.Add("id: 1\ndata: a\n\nid: 2\nda"),
                    "id: 1\ndata: a\n\n");
  BOOST_CHECK_EQUAL(scanner.LastId(), "1");
  BOOST_CHECK_EQUAL(scanner.Rest(), "id: 2\nda");
  scanner.DropRest();
  BOOST_CHECK_EQUAL(scanner.Add("id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
  BOOST_CHECK_EQUAL(scanner.LastId(), "2");
  BOOST_CHECK_EQUAL(scanner.Events(), 2);
}

// Guards against a result that depends on how the network cuts a stream.
BOOST_AUTO_TEST_CASE(CutsChangeNothing) {
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
    RC_ASSERT(scanner.Rest() == whole.Rest());
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::forwarding
