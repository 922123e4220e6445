#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Common/Clock.h"
#include "SchedulerRuntime/SchedulerDriver.h"
#include "Wire/Codec.h"

namespace shallotbeam::scheduler_runtime {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr auto kGateway = static_cast<common::Incarnation>(1);
const common::UpstreamName kEarlierEngine("earlier");
const common::UpstreamName kCurrentEngine("current");

struct Fixture {
  common::ManualClock clock;
  std::vector<protocol::SchedulingEnvelope> sent;
  SchedulerDriver driver{{},
                         static_cast<common::Incarnation>(7),
                         {.clock = clock,
                          .send = [this](const common::Endpoint& /*peer*/,
                                         std::string_view bytes) {
                            sent.push_back(*wire::DecodeScheduling(bytes));
                          }}};
  std::uint64_t last_number = 0;

  Fixture() { clock.Advance(1h); }

  void Receive(protocol::SchedulingBody body) {
    driver.OnControlMessage(wire::Encode(
        protocol::SchedulingEnvelope{.sender = common::ProcessName("g"),
                                     .incarnation = kGateway,
                                     .body = std::move(body)}));
  }
  void SendGatewayReport(const common::UpstreamName& upstream,
                         std::uint64_t started) {
    Receive(protocol::GatewayReport{.upstream = upstream,
                                    .upstream_started = started,
                                    .slots = 32,
                                    .memory_tokens = 500'000,
                                    .in_progress = {last_number}});
  }
  // Offers a prompt that starts with the same 400 shared tokens each time.
  // Returns the number of prompt tokens that the scheduler expects in the
  // engine's cache, or -1 without a reply.
  int OfferSharedPrompt() {
    ++last_number;
    Receive(protocol::StartOffer{
        .number = last_number,
        .request_id = "r",
        .prompt = {.prompt_tokens = 500,
                   .parts = {{.id = 1, .tokens = 400},
                             {.id = 100 + last_number, .tokens = 100}}},
        .first = true,
        .time_to_target = 1s,
        .time_to_deadline = 2s});
    clock.Advance(100ms);
    driver.OnTick();
    for (auto it = sent.rbegin(); it != sent.rend(); ++it) {
      const auto* reply = std::get_if<protocol::StartReply>(&it->body);
      if (reply != nullptr && reply->number == last_number) {
        return reply->cached_tokens;
      }
    }
    return -1;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(SchedulerDriverTest, Fixture)

// Guards against a scheduler that resets its engine state whenever a
// gateway reports another engine. After a power failure of all hosts, some
// gateways still know the engine that ran at this address before.
BOOST_AUTO_TEST_CASE(StaleEngineAtTheAddressIsIgnored) {
  SendGatewayReport(kCurrentEngine, 20);
  BOOST_CHECK_EQUAL(OfferSharedPrompt(), 0);
  for (int i = 0; i < 3; ++i) {
    SendGatewayReport(kEarlierEngine, 10);
    SendGatewayReport(kCurrentEngine, 20);
    BOOST_CHECK_EQUAL(OfferSharedPrompt(), 400);
  }
}

// Guards against cache state that is kept after the engine was replaced.
BOOST_AUTO_TEST_CASE(NewerEngineStartsWithAnEmptyCache) {
  SendGatewayReport(kEarlierEngine, 10);
  OfferSharedPrompt();
  SendGatewayReport(kCurrentEngine, 20);
  BOOST_CHECK_EQUAL(OfferSharedPrompt(), 0);
}

// Guards against an engine that is ignored for ever because it appears to have
// started earlier than its predecessor. This happens when the clock of its host
// was set back.
BOOST_AUTO_TEST_CASE(UnreportedEngineExpires) {
  SendGatewayReport(kCurrentEngine, 20);
  OfferSharedPrompt();
  clock.Advance(3s);
  SendGatewayReport(kEarlierEngine, 10);
  BOOST_CHECK_EQUAL(OfferSharedPrompt(), 0);
  BOOST_CHECK_EQUAL(OfferSharedPrompt(), 400);
}

// Guards against gateways that don't learn of a crash: the scheduler passes it
// on to all that it knows, once more in case a message is lost, and to those
// that start later.
BOOST_AUTO_TEST_CASE(CrashesArePassedOnToAllGateways) {
  const protocol::CrashRow row{
      .trait = {.fingerprint = static_cast<common::Fingerprint>(7)},
      .crashes = {{.crash = static_cast<protocol::CrashId>(1), .age = 40ms}}};
  const auto reports = [&] {
    return std::count_if(sent.begin(), sent.end(), [](const auto& it) {
      return std::holds_alternative<protocol::CrashReport>(it.body);
    });
  };
  SendGatewayReport(kCurrentEngine, 20);
  BOOST_CHECK_EQUAL(reports(), 0);
  for (int i = 0; i < 3; ++i) Receive(protocol::CrashReport{.rows = {row}});
  for (int i = 0; i < 40; ++i) {
    clock.Advance(20ms);
    driver.OnTick();
  }
  BOOST_CHECK_EQUAL(reports(), 2);
  driver.OnControlMessage(wire::Encode(protocol::SchedulingEnvelope{
      .sender = common::ProcessName("later"),
      .incarnation = static_cast<common::Incarnation>(2),
      .body = protocol::GatewayReport{}}));
  BOOST_CHECK_EQUAL(reports(), 3);
}

// Guards against gateways that don't learn of an engine's limit, or of its end.
BOOST_AUTO_TEST_CASE(LimitOfTheEngineIsReported) {
  SendGatewayReport(kCurrentEngine, 20);
  const auto last_row = [&] {
    std::optional<protocol::LimitRow> row;
    for (const auto& it : sent) {
      const auto* report = std::get_if<protocol::LimitReport>(&it.body);
      if (report != nullptr && !report->rows.empty()) row = report->rows[0];
    }
    return row;
  };
  const auto run = [&](std::optional<double> limit) {
    for (int i = 0; i < 60; ++i) {
      driver.OnStatus({.rate_limit = limit}, 5ms);
      clock.Advance(20ms);
      driver.OnTick();
    }
  };
  run(std::nullopt);
  BOOST_CHECK(!last_row());
  run(7);
  BOOST_REQUIRE(last_row());
  BOOST_CHECK(last_row()->upstream == kCurrentEngine);
  BOOST_CHECK(last_row()->limited);
  BOOST_CHECK_EQUAL(last_row()->per_second, 7);
  SendGatewayReport(kCurrentEngine, 20);
  run(std::nullopt);
  BOOST_CHECK(!last_row()->limited);
}

// Guards against a scheduler whose engine answers its calls without the limit,
// or not at all, while gateways see it.
BOOST_AUTO_TEST_CASE(LimitSeenByAGatewayHolds) {
  SendGatewayReport(kCurrentEngine, 20);
  Receive(protocol::LimitReport{.rows = {{.upstream = kCurrentEngine,
                                          .started = 20,
                                          .limited = true,
                                          .per_second = 0.1}}});
  BOOST_CHECK_EQUAL(OfferSharedPrompt(), 0);
  const auto starts =
      std::count_if(sent.begin(), sent.end(), [](const auto& it) {
        const auto* reply = std::get_if<protocol::StartReply>(&it.body);
        return reply != nullptr &&
               reply->decision == common::OfferDecision::kStart;
      });
  BOOST_CHECK_EQUAL(starts, 0);
}

// Number of starts granted in each full second while offers arrive at many
// times the rate of a cold engine. `on_second` is called before each.
std::vector<int> StartsUnderFlood(
    Fixture& fixture, int seconds,
    const std::function<void(int second)>& on_second) {
  std::vector<int> starts;
  for (int second = 0; second < seconds; ++second) {
    on_second(second);
    fixture.sent.clear();
    for (int i = 0; i < 50; ++i) {
      ++fixture.last_number;
      fixture.Receive(protocol::StartOffer{.number = fixture.last_number,
                                           .request_id = "r",
                                           .prompt = {.prompt_tokens = 10},
                                           .first = true,
                                           .time_to_target = 1s,
                                           .time_to_deadline = 2s});
      fixture.clock.Advance(20ms);
      fixture.driver.OnTick();
      // Short requests, so that neither slots nor prefill limit the starts.
      fixture.Receive(protocol::StartProgress{.number = fixture.last_number});
    }
    starts.push_back(0);
    for (const auto& it : fixture.sent) {
      const auto* reply = std::get_if<protocol::StartReply>(&it.body);
      if (reply != nullptr &&
          reply->decision == common::OfferDecision::kStart) {
        ++starts.back();
      }
    }
  }
  return starts;
}

protocol::GatewayReport ColdReport(std::uint64_t started,
                                   std::chrono::microseconds left) {
  return {.upstream = kCurrentEngine,
          .upstream_started = started,
          .slots = 32,
          .memory_tokens = 500'000,
          .cold_per_second = 11,
          .cold_time = 3s,
          .cold_left = left};
}

// Load: all gateways send at once what waited while a data centre was away.
// Guards against a cold engine that crashes under it, and against a limit that
// outlasts the cold period.
BOOST_AUTO_TEST_CASE(ColdEngineIsPaced) {
  const auto starts = StartsUnderFlood(*this, 5, [this](int second) {
    Receive(ColdReport(20, second == 0 ? 3'100ms : 0ms));
  });
  for (int i = 0; i < 3; ++i) {
    BOOST_CHECK_LE(starts[i], 11);
    BOOST_CHECK_GE(starts[i], 8);
  }
  BOOST_CHECK_GT(starts[4], 30);
}

// The same for an engine whose restart its own report shows before any gateway
// knows of it.
BOOST_AUTO_TEST_CASE(RestartedEngineIsPacedAtOnce) {
  Receive(ColdReport(20, 0s));
  driver.OnStatus({.started = 20}, 5ms);
  const auto starts = StartsUnderFlood(*this, 3, [this](int second) {
    if (second == 1) driver.OnStatus({.started = 30}, 5ms);
    Receive(ColdReport(20, 0s));
  });
  BOOST_CHECK_GT(starts[0], 30);
  BOOST_CHECK_LE(starts[2], 11);
}

// The same for a scheduler that starts together with its engine, while gateways
// know the earlier one, and beside a gateway with an older configuration.
BOOST_AUTO_TEST_CASE(EngineThatStartsWithItsSchedulerIsPaced) {
  Receive(ColdReport(20, 0s));
  driver.OnStatus({.started = 30}, 5ms);
  const auto starts = StartsUnderFlood(*this, 2, [this](int /*second*/) {
    auto older = ColdReport(20, 0s);
    older.cold_per_second = 0;
    Receive(older);
    Receive(ColdReport(20, 0s));
  });
  BOOST_CHECK_LE(starts[1], 11);
}

// Guards against absurd figures of a gateway that stop all starts.
BOOST_AUTO_TEST_CASE(AbsurdColdFiguresAreIgnored) {
  auto report = ColdReport(20, 3s);
  report.cold_per_second = -1;
  const auto starts =
      StartsUnderFlood(*this, 1, [&](int /*second*/) { Receive(report); });
  BOOST_CHECK_GT(starts[0], 30);
}

// Guards against a permit desk that grants more than its part of the limit.
BOOST_AUTO_TEST_CASE(PermitsStayWithinTheLimit) {
  constexpr double kLimit = 10;
  int granted = 0;
  for (int i = 0; i < 400; ++i) {
    Receive(protocol::PermitRequest{
        .number = static_cast<std::uint64_t>(i),
        .limit = {.upstream = common::UpstreamName("plain"),
                  .limited = true,
                  .per_second = kLimit}});
    const auto* reply = std::get_if<protocol::PermitReply>(&sent.back().body);
    BOOST_REQUIRE(reply != nullptr);
    BOOST_CHECK_EQUAL(reply->number, i);
    if (reply->granted) ++granted;
    clock.Advance(20ms);
  }
  // 8 s at the part of one of two desks.
  BOOST_CHECK_LE(granted, 8 * kLimit / 2);
  BOOST_CHECK_GE(granted, 8 * kLimit * 0.4);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::scheduler_runtime
