#include <boost/test/unit_test.hpp>

#include "Core/Gateway/GatewayFixture.h"

namespace shallotbeam::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

FakeUpstream::Reaction Break(const std::string& /*request*/) {
  return {.close = true};
}

FakeUpstream::Reaction SayNotRun(const std::string& /*request*/) {
  return {.bytes =
              "HTTP/1.1 503 x\r\nId: r1\r\nNot-Run: 1\r\n"
              "Content-Length: 0\r\n\r\n"};
}

FakeUpstream::Reaction Fail(const std::string& request) {
  return {.bytes = Sealed(request, "sorry", 500)};
}

// Sends one request over a connection of its own; returns what came back.
std::string Ask(GatewayFixture& fleet, const std::string& path) {
  Caller caller(fleet.context, fleet.gateway->CallersPort());
  caller.Send(GatewayFixture::Request(path));
  fleet.Until([&] {
    return Contains(caller.Received(), "done") ||
           Contains(caller.Received(), "sorry") ||
           Contains(caller.Received(), "HTTP/1.1 50");
  });
  return caller.Received();
}

}  // namespace

// What becomes of a request whose upstream fails.
BOOST_AUTO_TEST_SUITE(FailingUpstreamsTest)

// Guards against an order that runs twice because its answer was lost.
BOOST_AUTO_TEST_CASE(OrderIsNotSentAgainAfterABreak) {
  GatewayFixture fleet;
  FakeUpstream broken(fleet.context, Break);
  FakeUpstream sound(fleet.context, AnswerWhole);
  fleet.AddUpstream("u1", broken.Endpoint());
  Caller caller(fleet.context, fleet.gateway->CallersPort());
  caller.Send(GatewayFixture::Request("/order/1"));
  fleet.Until([&] { return Contains(caller.Received(), "HTTP/1.1 "); });
  BOOST_CHECK(Contains(caller.Received(), "HTTP/1.1 502"));
  BOOST_CHECK(sound.Requests().empty());
}

// Guards against a statement "not run" about an order that may have run.
BOOST_AUTO_TEST_CASE(OrderThatMayHaveRunIsNeverReportedAsNotRun) {
  GatewayFixture fleet;
  FakeUpstream silent(fleet.context, [](const std::string&) {
    return FakeUpstream::Reaction{};
  });
  fleet.AddUpstream("u1", silent.Endpoint());
  Caller caller(fleet.context, fleet.gateway->CallersPort());
  caller.Send(GatewayFixture::Request("/order/1"));
  fleet.Until([&] { return !silent.Requests().empty(); });
  fleet.Advance(6s);
  fleet.Until([&] { return Contains(caller.Received(), "HTTP/1.1 "); });
  BOOST_CHECK(Contains(caller.Received(), "HTTP/1.1 504"));
}

// Guards against orders that are refused although another upstream is free.
BOOST_AUTO_TEST_CASE(OrderGoesOnAfterAStatementThatItDidNotRun) {
  GatewayFixture fleet;
  FakeUpstream full(fleet.context, SayNotRun);
  fleet.AddUpstream("u1", full.Endpoint());
  Caller caller(fleet.context, fleet.gateway->CallersPort());
  caller.Send(GatewayFixture::Request("/order/1"));
  fleet.Until([&] { return Contains(caller.Received(), "HTTP/1.1 "); });
  BOOST_CHECK(Contains(caller.Received(), "HTTP/1.1 503"));
  BOOST_CHECK(Contains(caller.Received(), "Retry-After: "));

  FakeUpstream sound(fleet.context, AnswerWhole);
  fleet.AddUpstream("u2", sound.Endpoint());
  Caller second(fleet.context, fleet.gateway->CallersPort());
  second.Send(GatewayFixture::Request("/order/1"));
  fleet.Until([&] { return Contains(second.Received(), "done"); });
}

// Guards against a lookup that fails with one upstream although it may simply
// be asked again.
BOOST_AUTO_TEST_CASE(LookupIsAskedAgainElsewhere) {
  // Any of the two may be asked first, and the budget allows one repeat.
  for (int i = 0; i < 8; ++i) {
    GatewayFixture fleet;
    FakeUpstream broken(fleet.context, Break);
    FakeUpstream sound(fleet.context, AnswerWhole);
    fleet.AddUpstream("u1", broken.Endpoint());
    fleet.AddUpstream("u2", sound.Endpoint());
    Caller caller(fleet.context, fleet.gateway->CallersPort());
    caller.Send(GatewayFixture::Request("/look/1"));
    fleet.Until([&] { return Contains(caller.Received(), "done"); });
  }
}

// Guards against a budget that is spent on repeats for which no upstream is
// left.
BOOST_AUTO_TEST_CASE(RepeatWithoutAnUpstreamCostsNothing) {
  GatewayFixture fleet;
  FakeUpstream first(fleet.context, Break);
  fleet.AddUpstream("u1", first.Endpoint());
  for (int i = 0; i < 3; ++i) Ask(fleet, "/look/1");
  FakeUpstream second(fleet.context, Break);
  fleet.AddUpstream("u2", second.Endpoint());
  Ask(fleet, "/look/1");
  BOOST_CHECK_EQUAL(first.Requests().size() + second.Requests().size(), 5);
}

// Guards against a lookup that ends with the failure of one upstream although
// another can answer: on hlasnik-prod trouble-1 engines failed four tenths of
// their requests at once, and 447 of their answers with status 500 went out.
BOOST_AUTO_TEST_CASE(LookupIsAskedAgainAfterAServerError) {
  // Any of the two may be asked first, and the budget allows one repeat.
  for (int i = 0; i < 8; ++i) {
    GatewayFixture fleet;
    FakeUpstream failing(fleet.context, Fail);
    FakeUpstream sound(fleet.context, AnswerWhole);
    fleet.AddUpstream("u1", failing.Endpoint());
    fleet.AddUpstream("u2", sound.Endpoint());
    BOOST_CHECK(Contains(Ask(fleet, "/look/1"), "done"));
  }
}

// Guards against an order that is sent again after an upstream's failure, in
// which it may have run, and against an answer that is lost.
BOOST_AUTO_TEST_CASE(OrderKeepsTheServerErrorOfItsUpstream) {
  GatewayFixture fleet;
  FakeUpstream first(fleet.context, Fail);
  FakeUpstream second(fleet.context, Fail);
  fleet.AddUpstream("u1", first.Endpoint());
  fleet.AddUpstream("u2", second.Endpoint());
  const std::string answer = Ask(fleet, "/order/1");
  BOOST_CHECK(Contains(answer, "HTTP/1.1 500"));
  BOOST_CHECK(Contains(answer, "sorry"));
  BOOST_CHECK_EQUAL(first.Requests().size() + second.Requests().size(), 1);
}

// Guards against a server error that is replaced by one of the gateway's own.
BOOST_AUTO_TEST_CASE(LookupKeepsTheServerErrorIfNobodyElseCanAnswer) {
  GatewayFixture fleet;
  FakeUpstream failing(fleet.context, Fail);
  fleet.AddUpstream("u1", failing.Endpoint());
  const std::string answer = Ask(fleet, "/look/1");
  BOOST_CHECK(Contains(answer, "HTTP/1.1 500"));
  BOOST_CHECK(Contains(answer, "sorry"));
}

// Guards against an upstream that breaks what it is sent and, having nothing in
// progress, is always the least used.
BOOST_AUTO_TEST_CASE(UpstreamThatBreaksOrdersIsEjected) {
  GatewayFixture fleet;
  FakeUpstream broken(fleet.context, Break);
  FakeUpstream sound(fleet.context, AnswerWhole);
  fleet.AddUpstream("u1", broken.Endpoint());
  fleet.AddUpstream("u2", sound.Endpoint());
  int failed = 0;
  for (int i = 0; i < 60; ++i) {
    if (!Contains(Ask(fleet, "/order/1"), "done")) ++failed;
  }
  // Half of them without an ejection.
  BOOST_CHECK_LE(failed, 10);
}

// Guards against one upstream that takes all requests of a calm moment.
BOOST_AUTO_TEST_CASE(IdleUpstreamsTakeTurns) {
  GatewayFixture fleet;
  FakeUpstream first(fleet.context, AnswerWhole);
  FakeUpstream second(fleet.context, AnswerWhole);
  fleet.AddUpstream("u1", first.Endpoint());
  fleet.AddUpstream("u2", second.Endpoint());
  for (int i = 0; i < 60; ++i) Ask(fleet, "/order/1");
  BOOST_CHECK_GE(first.Requests().size(), 12);
  BOOST_CHECK_GE(second.Requests().size(), 12);
}

// Guards against a stream whose pieces are doubled or lost where a second
// upstream takes over, and against a piece that was broken in the middle.
BOOST_AUTO_TEST_CASE(StreamGoesOnAfterTheLastWholeEvent) {
  GatewayFixture fleet;
  const auto behave = [](const std::string& request) {
    const std::string head =
        "HTTP/1.1 200 x\r\nId: r1\r\nSeal: s\r\n"
        "Transfer-Encoding: chunked\r\n\r\n";
    if (Contains(request, "After-Event: 1\r\n")) {
      return FakeUpstream::Reaction{
          .bytes = head + "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n"};
    }
    return FakeUpstream::Reaction{
        .bytes = head + "14\r\nid: 1\ndata: a\n\nid: 2\r\n", .close = true};
  };
  FakeUpstream first(fleet.context, behave);
  FakeUpstream second(fleet.context, behave);
  fleet.AddUpstream("u1", first.Endpoint());
  fleet.AddUpstream("u2", second.Endpoint());
  Caller caller(fleet.context, fleet.gateway->CallersPort());
  caller.Send(GatewayFixture::Request("/told/1"));
  fleet.Until([&] { return Contains(caller.Received(), "0\r\n\r\n"); });
  const std::string& text = caller.Received();
  BOOST_CHECK(Contains(text, "data: a\n\n"));
  BOOST_CHECK(Contains(text, "id: 2\ndata: b\n\n"));
  BOOST_CHECK_EQUAL(text.find("id: 2"), text.rfind("id: 2"));
}

// Guards against a cut stream that looks complete to its caller.
BOOST_AUTO_TEST_CASE(StreamThatMayNotBeResumedEndsWithItsConnection) {
  GatewayFixture fleet;
  FakeUpstream upstream(fleet.context, [](const std::string&) {
    return FakeUpstream::Reaction{.bytes =
                                      "HTTP/1.1 200 x\r\nId: r1\r\nSeal: s\r\n"
                                      "Transfer-Encoding: chunked\r\n\r\n"
                                      "f\r\nid: 1\ndata: a\n\n\r\n",
                                  .close = true};
  });
  fleet.AddUpstream("u1", upstream.Endpoint());
  Caller caller(fleet.context, fleet.gateway->CallersPort());
  caller.Send(GatewayFixture::Request("/talk/1"));
  fleet.Until([&] { return caller.IsClosed(); });
  BOOST_CHECK(Contains(caller.Received(), "data: a"));
  BOOST_CHECK(!Contains(caller.Received(), "0\r\n\r\n"));
  BOOST_CHECK_EQUAL(upstream.Requests().size(), 1);
}

// Guards against an answer that reaches the caller of another request: an
// upstream may answer twice, and the second answer comes on a kept connection.
BOOST_AUTO_TEST_CASE(LateSecondAnswerReachesNobody) {
  GatewayFixture fleet;
  int requests = 0;
  FakeUpstream upstream(fleet.context, [&](const std::string& request) {
    ++requests;
    if (requests == 1) return AnswerWhole(request);
    // The stray answer to r1 comes first.
    return FakeUpstream::Reaction{.bytes =
                                      "HTTP/1.1 200 x\r\nId: r1\r\nSeal: s\r\n"
                                      "Content-Length: 5\r\n\r\nstray" +
                                      Sealed(request, "fresh")};
  });
  fleet.AddUpstream("u1", upstream.Endpoint());
  Caller caller(fleet.context, fleet.gateway->CallersPort());
  caller.Send(GatewayFixture::Request("/order/1"));
  fleet.Until([&] { return Contains(caller.Received(), "done"); });
  Caller other(fleet.context, fleet.gateway->CallersPort());
  other.Send(
      "POST /order/2 HTTP/1.1\r\nHost: service\r\nId: r2\r\n"
      "Content-Length: 0\r\n\r\n");
  fleet.Until([&] { return Contains(other.Received(), "HTTP/1.1 "); });
  fleet.Settle();
  BOOST_CHECK(Contains(other.Received(), "fresh"));
  BOOST_CHECK(!Contains(other.Received(), "stray"));
}

// Guards against repeats for an upstream that was restarted or whose address
// another one has: found by hunt-fd38-23 on hlasnik-prod, where each request
// was refused once by the successor until the old entry lapsed.
BOOST_AUTO_TEST_CASE(ReplacedUpstreamIsLeftAloneUntilItIsListedAnew) {
  GatewayFixture fleet;
  FakeUpstream replaced(fleet.context, [](const std::string&) {
    return FakeUpstream::Reaction{
        .bytes =
            "HTTP/1.1 421 x\r\nId: r1\r\nNot-Run: 1\r\n"
            "Content-Length: 0\r\n\r\n"};
  });
  FakeUpstream sound(fleet.context, [](const std::string& request) {
    return Contains(request, "/look/held") ? FakeUpstream::Reaction{}
                                           : AnswerWhole(request);
  });
  fleet.AddUpstream("u2", sound.Endpoint());
  // With one request in progress at u2, u1 is the less used.
  Caller held(fleet.context, fleet.gateway->CallersPort());
  held.Send(GatewayFixture::Request("/look/held"));
  fleet.Until([&] { return sound.Requests().size() == 1; });
  fleet.AddUpstream("u1", replaced.Endpoint());
  for (int i = 0; i < 6; ++i) {
    Caller caller(fleet.context, fleet.gateway->CallersPort());
    caller.Send(GatewayFixture::Request("/order/1"));
    fleet.Until([&] { return Contains(caller.Received(), "done"); });
  }
  BOOST_CHECK_LE(replaced.Requests().size(), 1);
}

// Guards against repeats that multiply the load while every upstream fails.
BOOST_AUTO_TEST_CASE(RepeatsStayWithinTheBudget) {
  GatewayFixture fleet;
  FakeUpstream first(fleet.context, Break);
  FakeUpstream second(fleet.context, Break);
  fleet.AddUpstream("u1", first.Endpoint());
  fleet.AddUpstream("u2", second.Endpoint());
  constexpr int kRequests = 60;
  for (int i = 0; i < kRequests; ++i) {
    Caller caller(fleet.context, fleet.gateway->CallersPort());
    caller.Send(GatewayFixture::Request("/look/1"));
    fleet.Until([&] { return Contains(caller.Received(), "HTTP/1.1 502"); });
  }
  const std::size_t arrivals =
      first.Requests().size() + second.Requests().size();
  // A fifth of the requests, and what a burst may take.
  BOOST_CHECK_LE(arrivals, kRequests + kRequests / 5 + 5);
}

// Guards against an upstream's failure of its own, or an encoded body, that
// reaches the caller as a success.
BOOST_AUTO_TEST_CASE(SuccessWithoutDigestOrWithEncodingIsNone) {
  for (const std::string& header :
       {std::string("Other: 1\r\n"),
        std::string("Seal: s\r\nContent-Encoding: gzip\r\n")}) {
    GatewayFixture fleet;
    FakeUpstream upstream(fleet.context, [&](const std::string&) {
      return FakeUpstream::Reaction{.bytes = "HTTP/1.1 200 x\r\nId: r1\r\n" +
                                             header +
                                             "Content-Length: 3\r\n\r\nbad"};
    });
    fleet.AddUpstream("u1", upstream.Endpoint());
    Caller caller(fleet.context, fleet.gateway->CallersPort());
    caller.Send(GatewayFixture::Request("/order/1"));
    fleet.Until([&] { return Contains(caller.Received(), "HTTP/1.1 502"); });
    BOOST_CHECK(!Contains(caller.Received(), "bad"));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::gateway
