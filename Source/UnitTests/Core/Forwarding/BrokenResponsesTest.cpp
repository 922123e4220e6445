#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <string>

#include "Core/Forwarding/UpstreamFixture.h"

namespace shallotbeam::forwarding {

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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::forwarding
