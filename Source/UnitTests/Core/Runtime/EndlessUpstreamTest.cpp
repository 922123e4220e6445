#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <string>

#include "Core/Forwarding/EndlessSender.h"
#include "Core/Runtime/RelayFixture.h"

namespace shallotbeam::runtime {

namespace {

// Beside the collected body, the receive buffers of both processes.
constexpr std::size_t kGrowthBound = 24 * forwarding::kMebibyte;

struct Fixture : RelayFixture {
  // Sends a body of stated length without end, and checks that the call ends
  // before the body takes much memory.
  void CheckEndlessBodyEnds() {
    boost::asio::write(
        peer, boost::asio::buffer(std::string(
                  "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n")));
    peer.non_blocking(true);
    const auto result = forwarding::SendEndlessly(
        context, peer, forwarding::kFiller, [this] { return HasEnded(); });
    RunUntil([this] { return HasEnded(); });
    BOOST_CHECK_LT(result.growth, kGrowthBound);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(EndlessUpstreamTest, Fixture)

// Guards against a faulty upstream that fills the memory of its agent with a
// body without end. It has not crashed, so that no request becomes a suspect.
BOOST_AUTO_TEST_CASE(AgentEndsABodyWithoutEnd) {
  StartAsAgent();
  CheckEndlessBodyEnds();
  BOOST_CHECK(upstream_outcome == admission::UpstreamOutcome::kError);
}

// The same for a router and the response of an agent.
BOOST_AUTO_TEST_CASE(RouterEndsABodyWithoutEnd) {
  StartAsRouter();
  CheckEndlessBodyEnds();
  BOOST_CHECK(dispatch_outcome == routing::DispatchOutcome::kLost);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::runtime
