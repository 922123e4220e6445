#include <boost/test/unit_test.hpp>

#include "Core/Gateway/GatewayFixture.h"

// What a gateway does with upstreams that state in a response that they leave
// or want no requests for a while.
namespace shallotbeam::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

// Responds with an extra header to the first request.
FakeUpstream::Behaviour RespondOnceWith(const std::string& header,
                                        int status = 200) {
  return [header, status, first = true](
             const std::string& request) mutable -> FakeUpstream::Reaction {
    if (!std::exchange(first, false)) return RespondDone(request);
    return {.bytes = ResponseWithDigest(request, "done", status, header)};
  };
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(LeavingUpstreamsTest, GatewayFixture)

// Guards against requests to an upstream that has stated to this gateway that
// it leaves, while its entry in the store says nothing of it.
BOOST_AUTO_TEST_CASE(UpstreamThatStatesItsLeavingGetsNoMoreRequests) {
  FakeUpstream leaving(context, RespondOnceWith("Leaving: 1\r\n"));
  AddUpstream("leaving", leaving.Endpoint());
  BOOST_CHECK(Contains(Exchange("/order/"), "200"));
  FakeUpstream other(context, RespondDone);
  AddUpstream("other", other.Endpoint());
  for (int i = 0; i < 10; ++i) {
    BOOST_CHECK(Contains(Exchange("/order/"), "200"));
  }
  BOOST_CHECK_EQUAL(leaving.Requests().size(), 1);
  // A renewal of the entry that was written before.
  AddUpstream("leaving", leaving.Endpoint());
  for (int i = 0; i < 10; ++i) {
    BOOST_CHECK(Contains(Exchange("/order/"), "200"));
  }
  BOOST_CHECK_EQUAL(leaving.Requests().size(), 1);
}

// Guards against requests to an upstream that has turned one away for a while,
// and against callers that are refused while another one could serve them.
BOOST_AUTO_TEST_CASE(UpstreamThatWantsNoRequestsIsPaused) {
  FakeUpstream full(context,
                    RespondOnceWith("Not-Run: 1\r\nPause-Ms: 2000\r\n", 503));
  AddUpstream("full", full.Endpoint());
  BOOST_CHECK(Contains(Exchange("/order/"), "503"));
  // The caller is told when the upstream takes requests again.
  const std::string refusal = Exchange("/order/");
  BOOST_CHECK(Contains(refusal, "503"));
  BOOST_CHECK(Contains(refusal, "Retry-After: 2.000"));
  FakeUpstream other(context, RespondDone);
  AddUpstream("other", other.Endpoint());
  for (int i = 0; i < 10; ++i) {
    BOOST_CHECK(Contains(Exchange("/order/"), "200"));
  }
  BOOST_CHECK_EQUAL(full.Requests().size(), 1);
  Advance(2s);
  for (int i = 0; i < 20; ++i) Exchange("/order/");
  BOOST_CHECK_GT(full.Requests().size(), 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::gateway
