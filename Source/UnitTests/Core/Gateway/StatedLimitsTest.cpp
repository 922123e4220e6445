#include <boost/test/unit_test.hpp>
#include <string>

#include "Core/Gateway/GatewayFixture.h"
#include "Wire/Codec.h"

// What a gateway does with the limits that upstreams state in their responses.
namespace shallotbeam::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

const common::Endpoint kRelay{.address = "127.0.0.9", .port = 8083};

struct Fixture : GatewayFixture {
  Fixture() : GatewayFixture(false, {kRelay}) {}

  // The same while the time advances.
  std::string ExchangeInTime(const std::string& path) {
    Caller caller(context, gateway->CallersPort());
    caller.Send(Request(path));
    for (int i = 0; i < 20 && caller.Received().empty(); ++i) Advance(20ms);
    return caller.Received();
  }

  // Sends a request for which the gateway has to ask for a permit, and returns
  // what it asks.
  protocol::PermitRequest SendAndTakePermitRequest(Caller& caller) {
    sent_messages.clear();
    caller.Send(Request("/order/"));
    RunPending();
    const auto requests = SentBodies<protocol::PermitRequest>();
    BOOST_REQUIRE(!requests.empty());
    return requests.back();
  }

  void Reply(const protocol::PermitRequest& request, bool granted,
             std::chrono::microseconds wait = 0us) {
    gateway->OnControlMessage(wire::Encode(protocol::SchedulingEnvelope{
        .sender = common::ProcessName("relay"),
        .body = protocol::PermitReply{.number = request.number,
                                      .granted = granted,
                                      .wait = wait,
                                      .limit = request.limit}}));
  }
};

// Responds with a limit while `limited` is set.
FakeUpstream::Behaviour RespondWithLimit(const bool& limited) {
  return [&limited](const std::string& request) -> FakeUpstream::Reaction {
    return {.bytes = ResponseWithDigest(request, "done", 200,
                                        limited ? "Limit: 5\r\n" : "")};
  };
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(StatedLimitsTest, Fixture)

// Guards against requests beyond the limit that an upstream states, and against
// callers that are refused while another upstream could serve them.
BOOST_AUTO_TEST_CASE(LimitedUpstreamIsRelieved) {
  bool limited = true;
  FakeUpstream limited_upstream(context, RespondWithLimit(limited));
  FakeUpstream other(context, RespondDone);
  AddUpstream("limited", limited_upstream.Endpoint());
  AddUpstream("other", other.Endpoint());
  for (int i = 0; i < 30; ++i) {
    BOOST_CHECK(Contains(ExchangeInTime("/order/"), "200"));
  }
  // The limit is known after the first response; no desk answers.
  BOOST_CHECK_EQUAL(limited_upstream.Requests().size(), 1);
  BOOST_CHECK_EQUAL(other.Requests().size(), 29);
}

// Guards against a refusal without the time at which to come back, and against
// callers that are held although no permit will come in time.
BOOST_AUTO_TEST_CASE(CallerIsToldWhenToComeBack) {
  bool limited = true;
  FakeUpstream upstream(context, RespondWithLimit(limited));
  AddUpstream("u", upstream.Endpoint());
  BOOST_CHECK(Contains(ExchangeInTime("/order/"), "200"));
  Caller caller(context, gateway->CallersPort());
  const auto request = SendAndTakePermitRequest(caller);
  BOOST_CHECK(request.limit.limited);
  BOOST_CHECK_EQUAL(request.limit.per_second, 5);
  Reply(request, false, 200ms);
  RunUntil([&] { return !caller.Received().empty(); });
  BOOST_CHECK(Contains(caller.Received(), "503"));
  BOOST_CHECK(Contains(caller.Received(), "Retry-After: 0."));
  BOOST_CHECK_EQUAL(upstream.Requests().size(), 1);
}

// Guards against a permit that is not used, or used before its time.
BOOST_AUTO_TEST_CASE(PermittedRequestIsSentInTime) {
  bool limited = true;
  FakeUpstream upstream(context, RespondWithLimit(limited));
  AddUpstream("u", upstream.Endpoint());
  BOOST_CHECK(Contains(ExchangeInTime("/order/"), "200"));
  Caller caller(context, gateway->CallersPort());
  const auto request = SendAndTakePermitRequest(caller);
  Reply(request, true, 100ms);
  Advance(60ms);
  BOOST_CHECK_EQUAL(upstream.Requests().size(), 1);
  Advance(60ms);
  RunUntil([&] { return Contains(caller.Received(), "200"); });
  BOOST_CHECK_EQUAL(upstream.Requests().size(), 2);
}

// Guards against a limit that outlasts the upstream's need.
BOOST_AUTO_TEST_CASE(LimitEndsWithALaterResponse) {
  bool limited = true;
  FakeUpstream upstream(context, RespondWithLimit(limited));
  AddUpstream("u", upstream.Endpoint());
  BOOST_CHECK(Contains(ExchangeInTime("/order/"), "200"));
  limited = false;
  clock.Advance(100ms);
  Caller caller(context, gateway->CallersPort());
  const auto request = SendAndTakePermitRequest(caller);
  Reply(request, true);
  RunUntil([&] { return Contains(caller.Received(), "200"); });
  for (int i = 0; i < 10; ++i) {
    BOOST_CHECK(Contains(ExchangeInTime("/order/"), "200"));
  }
  BOOST_CHECK_EQUAL(upstream.Requests().size(), 12);
}

// Guards against a gateway that has just started and sends what it likes to an
// upstream whose limit the others know.
BOOST_AUTO_TEST_CASE(LimitIsLearnedFromOthers) {
  FakeUpstream upstream(context, RespondDone);
  AddUpstream("u", upstream.Endpoint());
  gateway->OnControlMessage(wire::Encode(protocol::SchedulingEnvelope{
      .sender = common::ProcessName("scheduler"),
      .body =
          protocol::LimitReport{.rows = {{.upstream = common::UpstreamName("u"),
                                          .started = 1,
                                          .limited = true,
                                          .per_second = 5}}}}));
  BOOST_CHECK(Contains(ExchangeInTime("/order/"), "503"));
  BOOST_CHECK_EQUAL(upstream.Requests().size(), 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::gateway
