#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "Core/Gateway/GatewayFixture.h"

namespace shallotbeam::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

const common::Endpoint kRelay{.address = "127.0.0.9", .port = 8083};

// Closes the connection of a request whose body is "deadly". Once `replaced`,
// another incarnation has the address, whose refusals may lack their end.
struct Victim {
  FakeUpstream::Reaction operator()(const std::string& request) const {
    if (replaced) {
      return {.bytes =
                  "HTTP/1.1 421 x\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\n" +
                  std::string(whole_refusals ? "gone" : "")};
    }
    if (Contains(request, "deadly")) return {.close = true};
    return RespondDone(request);
  }

  bool replaced = false;
  bool whole_refusals = true;
};

// A request with the body "deadly" has crashed one upstream, and the connection
// to another one, `victim`, has broken under it. Nothing shows yet whether that
// one has crashed, too.
struct Fixture : GatewayFixture {
  Fixture() : GatewayFixture(false, {kRelay}) {
    PassRecoveryOfStore();
    AddUpstream("first", first.Endpoint());
    BOOST_CHECK(Contains(Send("deadly"), "HTTP/1.1 502"));
    Advance(kTickInterval);
    RemoveUpstream("first");
    AddUpstream("victim", victim_upstream.Endpoint());
    BOOST_CHECK(Contains(Send("deadly"), "HTTP/1.1 502"));
    RunPending();
    victim.replaced = true;
  }

  std::unique_ptr<Caller> StartSending(const std::string& body) {
    auto caller = std::make_unique<Caller>(context, gateway->CallersPort());
    caller->Send(
        "POST /order/1 HTTP/1.1\r\nHost: service\r\nId: r1\r\n"
        "Content-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body);
    return caller;
  }
  std::string Send(const std::string& body) {
    const auto caller = StartSending(body);
    RunUntil([&] { return !caller->Received().empty(); });
    return caller->Received();
  }
  bool HasMetric(const std::string& line) const {
    return Contains(gateway->MetricsText(), line);
  }

  Victim victim;
  FakeUpstream first{context, [this](const std::string&) {
                       first.StopListening();
                       return FakeUpstream::Reaction{.close = true};
                     }};
  FakeUpstream victim_upstream{
      context, [this](const std::string& request) { return victim(request); }};
};

}  // namespace

// Requests that are answered while the gateway handles the end of an attempt.
BOOST_FIXTURE_TEST_SUITE(RemovedRequestsTest, Fixture)

// Guards against a request that goes on after its answer, and is used after it
// was freed: its own refusal shows the crash for which it is banned.
BOOST_AUTO_TEST_CASE(BannedRequestIsNotDispatchedAgain) {
  FakeUpstream limited(context, [](const std::string& request) {
    if (Contains(request, "silent")) return FakeUpstream::Reaction{};
    return FakeUpstream::Reaction{
        .bytes = ResponseWithDigest(request, "done", 200, "Limit: 5\r\n")};
  });
  AddUpstream("victim", victim_upstream.Endpoint(), /*draining=*/true);
  AddUpstream("limited", limited.Endpoint());
  const auto waiting = StartSending("silent");
  RunUntil([&] { return limited.Requests().size() == 1; });
  BOOST_CHECK(Contains(Send("sound"), "HTTP/1.1 200"));
  // Chosen first, as it has no request in flight.
  AddUpstream("victim", victim_upstream.Endpoint());
  sent_messages.clear();
  BOOST_CHECK(Contains(Send("deadly"), "HTTP/1.1 422"));
  for (int i = 0; i < 5; ++i) Advance(kTickInterval);
  BOOST_CHECK(SentBodies<protocol::PermitRequest>().empty());
  BOOST_CHECK_EQUAL(limited.Requests().size(), 2);
}

// Guards against a request that is answered twice.
BOOST_AUTO_TEST_CASE(BannedRequestIsAnsweredOnce) {
  BOOST_CHECK(Contains(Send("deadly"), "HTTP/1.1 422"));
  BOOST_CHECK(HasMetric("reason=\"crashes_upstreams\",status=\"422\"} 1\n"));
  BOOST_CHECK(!HasMetric("refused_by_upstream"));
}

// Guards against a crash of the gateway: the end of one refusal answers another
// request whose refusal is to be ended next.
BOOST_AUTO_TEST_CASE(RefusalsOfBannedRequestsEndTogether) {
  victim.whole_refusals = false;
  constexpr int kCallers = 4;
  std::vector<std::unique_ptr<Caller>> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) callers.push_back(StartSending("deadly"));
  RunUntil([&] { return victim_upstream.Requests().size() == 5; });
  RunPending();
  Advance(200ms);
  for (const auto& it : callers) {
    RunUntil([&] { return !it->Received().empty(); });
    BOOST_CHECK(Contains(it->Received(), "HTTP/1.1 422"));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::gateway
