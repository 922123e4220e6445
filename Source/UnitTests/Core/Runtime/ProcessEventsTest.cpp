#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>
#include <stdexcept>

#include "Common/HandlerGuard.h"
#include "Runtime/ProcessEvents.h"
#include "Transport/Datagrams.h"

namespace shallotbeam::runtime {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
namespace net = boost::asio;

}  // namespace

BOOST_AUTO_TEST_SUITE(ProcessEventsTest)

// The tests guard against an unexpected exception that ends the whole process,
// or leaves it running but deaf.

BOOST_AUTO_TEST_CASE(LaterHandlersRunAfterAnException) {
  net::io_context context;
  const auto failures = common::HandlerFailures();
  bool reached = false;
  net::post(context, [] { throw std::runtime_error("unexpected"); });
  net::post(context, [&reached] { reached = true; });
  RunContext(context);
  BOOST_CHECK(reached);
  BOOST_CHECK_EQUAL(common::HandlerFailures(), failures + 1);
}

BOOST_AUTO_TEST_CASE(TicksGoOnAfterAnException) {
  net::io_context context;
  int ticks = 0;
  const Ticker ticker(context, 1ms, [&] {
    if (++ticks == 3) context.stop();
    throw std::runtime_error("unexpected");
  });
  context.run_for(5s);
  BOOST_CHECK_EQUAL(ticks, 3);
}

BOOST_AUTO_TEST_CASE(DatagramsAreReceivedAfterAnException) {
  net::io_context context;
  const common::Endpoint endpoint{.address = "127.0.0.1", .port = 28'490};
  int received = 0;
  const auto receiver = transport::DatagramReceiver::Open(
      context, endpoint, [&received](std::string_view) {
        ++received;
        throw std::runtime_error("unexpected");
      });
  BOOST_REQUIRE(receiver.ok());
  transport::DatagramSender sender(context);
  for (int i = 0; i < 3; ++i) sender.Send(endpoint, "x");
  for (int i = 0; i < 50 && received < 3; ++i) context.run_one_for(20ms);
  BOOST_CHECK_EQUAL(received, 3);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::runtime
