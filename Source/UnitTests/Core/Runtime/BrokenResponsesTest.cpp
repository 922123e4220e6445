#include <boost/asio/write.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <string>

#include "Core/Runtime/RelayFixture.h"

namespace shallotbeam::runtime {

namespace {

// A response after its status line, as an agent sends it.
const std::string kRest =
    "Shallotbeam-Verdict: completed\r\nContent-Length: 5\r\n\r\nwhole";
const std::string kUndefinedStatuses[] = {"000", "099", "101", "600", "999"};

const std::string kInterim =
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n";

struct Fixture : RelayFixture {
  void Reply(const std::string& bytes) {
    boost::asio::write(peer, boost::asio::buffer(bytes));
    RunUntil([this] { return HasEnded(); });
    // What was passed on reaches the caller.
    constexpr int kRounds = 20;
    for (int i = 0; i < kRounds; ++i) {
      context.run_one_for(std::chrono::milliseconds(2));
    }
  }

  void CheckReceivedWhole() {
    RunUntil([this] { return received.has_value(); });
    BOOST_CHECK_EQUAL(received->status, 200);
    BOOST_CHECK_EQUAL(received->body, "whole");
  }
};

std::string ResponseWithStatus(const std::string& status) {
  return "HTTP/1.1 " + status + " x\r\n" + kRest;
}

}  // namespace

// What callers get if an upstream sends an agent bytes that are no response.
BOOST_AUTO_TEST_SUITE(BrokenResponsesTest)

// Guards against a response without a status of HTTP that is passed on. The
// upstream has not crashed, so that no request becomes a suspect.
BOOST_DATA_TEST_CASE(AgentPassesOnNoUndefinedStatus,
                     boost::unit_test::data::make(kUndefinedStatuses), status) {
  Fixture it;
  it.StartAsAgent();
  it.Reply(ResponseWithStatus(status));
  BOOST_CHECK(it.upstream_outcome == admission::UpstreamOutcome::kError);
  BOOST_CHECK(!it.received);
}

// The same for a router and the response of an agent.
BOOST_DATA_TEST_CASE(RouterPassesOnNoUndefinedStatus,
                     boost::unit_test::data::make(kUndefinedStatuses), status) {
  Fixture it;
  it.StartAsRouter();
  it.Reply(ResponseWithStatus(status));
  BOOST_CHECK(it.dispatch_outcome == routing::DispatchOutcome::kLost);
  BOOST_CHECK(!it.received);
}

// Guards against an interim response that is passed on as the final one.
BOOST_FIXTURE_TEST_CASE(AgentSkipsInterimResponses, Fixture) {
  StartAsAgent();
  Reply(kInterim + ResponseWithStatus("200"));
  BOOST_CHECK(upstream_outcome == admission::UpstreamOutcome::kCompleted);
  CheckReceivedWhole();
}

BOOST_FIXTURE_TEST_CASE(RouterSkipsInterimResponses, Fixture) {
  StartAsRouter();
  Reply(kInterim + ResponseWithStatus("200"));
  BOOST_CHECK(dispatch_outcome == routing::DispatchOutcome::kCompleted);
  CheckReceivedWhole();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::runtime
