#include <boost/test/unit_test.hpp>
#include <string>

#include "Core/Gateway/GatewayFixture.h"

namespace shallotbeam::gateway {

namespace {

FakeUpstream::Reaction RespondReplaced(const std::string& /*request*/) {
  return {.bytes =
              "HTTP/1.1 421 x\r\nId: r1\r\nNot-Run: 1\r\n"
              "Content-Length: 0\r\n\r\n"};
}

}  // namespace

// Upstreams whose address another incarnation has taken over.
BOOST_AUTO_TEST_SUITE(ReplacedUpstreamsTest)

// Guards against a sound upstream that is taken out of use because of the
// response of another one to an earlier attempt of the same request.
BOOST_AUTO_TEST_CASE(AttemptWithoutResponseInheritsNothing) {
  GatewayFixture fleet;
  FakeUpstream replaced(fleet.context, RespondReplaced);
  FakeUpstream sound(fleet.context, [](const std::string& request) {
    const bool silent = Contains(request, "/order/silent");
    return FakeUpstream::Reaction{.close = !silent};
  });
  fleet.AddUpstream("sound", sound.Endpoint());
  Caller waiting(fleet.context, fleet.gateway->CallersPort());
  waiting.Send(GatewayFixture::Request("/order/silent"));
  fleet.RunUntil([&] { return sound.Requests().size() == 1; });
  // Chosen first, as it has no request in flight.
  fleet.AddUpstream("replaced", replaced.Endpoint());
  BOOST_CHECK(Contains(fleet.Exchange("/look/1"), "HTTP/1.1 502"));
  BOOST_CHECK_EQUAL(replaced.Requests().size(), 1);
  BOOST_CHECK_EQUAL(sound.Requests().size(), 2);
  fleet.Exchange("/order/1");
  BOOST_CHECK_EQUAL(sound.Requests().size(), 3);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::gateway
