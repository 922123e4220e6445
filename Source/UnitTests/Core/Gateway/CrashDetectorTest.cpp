#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>
#include <vector>

#include "Common/Clock.h"
#include "Gateway/CrashDetector.h"

namespace shallotbeam::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using boost::asio::ip::tcp;

common::Endpoint EndpointOf(const tcp::acceptor& acceptor) {
  return {.address = "127.0.0.1", .port = acceptor.local_endpoint().port()};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(CrashDetectorTest)

// Guards against requests that are suspected of a crash which ended another
// incarnation: the connection that was refused had been tried for that one.
BOOST_AUTO_TEST_CASE(TrialTellsOnlyOfItsIncarnation) {
  boost::asio::io_context context;
  common::ManualClock clock;
  std::vector<DetectedCrash> crashes;
  CrashDetector detector(
      context, clock, [&](const DetectedCrash& it) { crashes.push_back(it); });
  tcp::acceptor closed(context, {boost::asio::ip::address_v4::loopback(), 0});
  tcp::acceptor open(context, {boost::asio::ip::address_v4::loopback(), 0});
  const common::Endpoint before = EndpointOf(closed);
  closed.close();
  const common::UpstreamName name("u");
  detector.OnBroken(name, before, /*started=*/1, {});
  detector.OnBroken(name, EndpointOf(open), /*started=*/2, {});
  context.run_for(200ms);
  BOOST_CHECK(crashes.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::gateway
