#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <string>

#include "Core/Gateway/GatewayFixture.h"

namespace shallotbeam::gateway {

namespace {

// Heads of responses that are none in HTTP, up to the digest.
const std::string kBrokenHeads[] = {
    "HTTP/1.1 000 x\r\n",
    "HTTP/1.1 099 x\r\n",
    "HTTP/1.1 600 x\r\n",
    "HTTP/1.1 999 x\r\n",
    "HTTP/1.1 200 OK\r\nNa me: x\r\n",
    "HTTP/1.1 200 OK\r\nNa\x01me: x\r\n",
    "HTTP/1.1 200 OK\r\nName : x\r\n",
    "HTTP/1.1 200 OK\r\n Name: x\r\n",
    "HTTP/1.1 200 OK\r\nType: a\r\n Name: x\r\n",
    "HTTP/1.1 200 OK\r\nType: a\r\n\tName: x\r\n",
};

FakeUpstream::Reaction BrokenReaction(const std::string& head) {
  return {.bytes = head + "Id: r1\r\nSeal: s\r\nContent-Length: 5\r\n\r\nwhole",
          .close = true};
}

}  // namespace

// What callers get if an upstream sends bytes that are no response.
BOOST_AUTO_TEST_SUITE(BrokenResponsesTest)

// Guards against such bytes that reach the caller as a response, and against an
// order that runs twice, because it may have run at the upstream that sent
// them.
BOOST_DATA_TEST_CASE(OrderIsAnsweredByTheGateway,
                     boost::unit_test::data::make(kBrokenHeads), head) {
  FaultyFirstFixture it(BrokenReaction(head));
  const std::string response = it.fleet.Exchange("/order/1");
  BOOST_CHECK_EQUAL(response.substr(0, 13), "HTTP/1.1 502 ");
  BOOST_CHECK(!Contains(response, "Seal"));
  BOOST_CHECK(!Contains(response, "whole"));
  BOOST_CHECK_EQUAL(it.requests, 1);
}

// Guards against a lookup that fails though another upstream can serve it.
BOOST_DATA_TEST_CASE(LookupIsServedByTheOtherUpstream,
                     boost::unit_test::data::make(kBrokenHeads), head) {
  FaultyFirstFixture it(BrokenReaction(head));
  const std::string response = it.fleet.Exchange("/look/1");
  BOOST_CHECK_EQUAL(response.substr(0, 13), "HTTP/1.1 200 ");
  BOOST_CHECK(Contains(response, "done"));
  BOOST_CHECK_EQUAL(it.requests, 2);
}

// Guards against a part of a body that counts as whole for a caller of
// HTTP/1.0, to which only a reset shows that a body has no end.
BOOST_AUTO_TEST_CASE(BodyThatBreaksOffIsResetForOldCallers) {
  // More than the gateway collects before it begins a response.
  const std::string part(500'000, 'p');
  GatewayFixture fleet;
  FakeUpstream upstream(fleet.context, [&part](const std::string&) {
    return FakeUpstream::Reaction{
        "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\nContent-Length: "
        "900000\r\n\r\n" +
            part,
        /*close=*/true};
  });
  fleet.AddUpstream("u1", upstream.Endpoint());
  for (const std::string version : {"1.0", "1.1"}) {
    Caller caller(fleet.context, fleet.gateway->CallersPort());
    std::string request = GatewayFixture::Request("/order/1");
    request.replace(request.find("1.1"), 3, version);
    caller.Send(request);
    fleet.RunUntil([&] { return caller.IsClosed(); });
    BOOST_CHECK(Contains(caller.Received(), "HTTP/1.1 200"));
    BOOST_CHECK(!Contains(caller.Received(), "\r\n0\r\n\r\n"));
    BOOST_CHECK_EQUAL(caller.WasReset(), version == "1.0");
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::gateway
