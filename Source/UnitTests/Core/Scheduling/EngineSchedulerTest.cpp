#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Common/Clock.h"
#include "Scheduling/EngineScheduler.h"

namespace shallotbeam::scheduling {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr auto kGateway = static_cast<common::Incarnation>(1);
constexpr auto kOtherGateway = static_cast<common::Incarnation>(2);

// A scheduler of an engine whose prefill takes 10 us per prompt token.
struct Fixture {
  common::ManualClock clock;
  EngineScheduler scheduler;
  Replies replies;
  std::uint64_t last_number = 0;

  Fixture() {
    clock.Advance(1h);
    SetCapacity(scheduler, {.slots = 4, .memory_tokens = 500'000});
  }

  struct OfferSpec {
    std::string workspace = "w";
    int tokens = 1'000;
    int output = 100;  // expected
    int max_output = 100;
    int priority = 0;
    common::Duration target = 2s;
    common::Duration time_to_deadline = 10s;
    double recent_service = 0;
    bool within_share = true;
    // Key of the shared prefix, which is all but 100 tokens; 0 for none.
    std::uint64_t prefix_key = 0;
    common::Incarnation gateway = kGateway;
  };

  OfferId Send(const OfferSpec& spec) {
    const OfferId id{.gateway = spec.gateway, .number = ++last_number};
    constexpr int kOwnTokens = 100;
    common::Prompt prompt{.model = "m",
                          .prompt_tokens = spec.tokens,
                          .max_output_tokens = spec.max_output,
                          .expected_output_tokens = spec.output};
    if (spec.prefix_key != 0) {
      prompt.parts = {
          {.id = spec.prefix_key, .tokens = spec.tokens - kOwnTokens},
          {.id = 1'000'000 + last_number, .tokens = kOwnTokens}};
    }
    OnOffer(scheduler, clock.Now(),
            {.id = id,
             .workspace = common::WorkspaceName(spec.workspace),
             .prompt = prompt,
             .priority = spec.priority,
             .within_share = spec.within_share,
             .time_to_target = spec.target,
             .time_to_deadline = spec.time_to_deadline,
             .recent_service = spec.recent_service},
            &replies);
    return id;
  }

  // Returns the last decision on an offer, or nothing if there was none.
  std::optional<common::OfferDecision> DecisionOf(OfferId id) const {
    const auto it =
        std::find_if(replies.rbegin(), replies.rend(),
                     [id](const OfferReply& r) { return r.id == id; });
    if (it == replies.rend()) return std::nullopt;
    return it->decision;
  }
  bool Started(OfferId id) const {
    return DecisionOf(id) == common::OfferDecision::kStart;
  }
  int CountStarts() const {
    return static_cast<int>(
        std::count_if(replies.begin(), replies.end(), [](const auto& it) {
          return it.decision == common::OfferDecision::kStart;
        }));
  }

  // Advances the clock with regular ticks while the gateway stays alive.
  void RunFor(common::Duration time) {
    constexpr auto kTick = 20ms;
    for (common::Duration t{0}; t < time; t += kTick) {
      clock.Advance(kTick);
      OnGatewayAlive(scheduler, clock.Now(), kGateway);
      OnTick(scheduler, clock.Now(), &replies);
    }
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(EngineSchedulerTest, Fixture)

// A burst of prompts must not queue inside the engine, which has no priorities.
BOOST_AUTO_TEST_CASE(BurstWaitsInTheScheduler) {
  for (int i = 0; i < 30; ++i) Send({.tokens = 8'000});
  const auto sent =
      PrefillTime(scheduler.prefill_rate, 8'000.0 * CountStarts());
  BOOST_CHECK_GE(CountStarts(), 1);
  // One prompt may exceed the prefill time that is sent in advance.
  BOOST_CHECK_LE(sent.count(), (scheduler.options.prefill_ahead +
                                PrefillTime(scheduler.prefill_rate, 8'000))
                                   .count());
}

// The engine must not idle between two prompts of a burst.
BOOST_AUTO_TEST_CASE(BurstIsProcessedWithoutIdleTime) {
  scheduler.spec.slots = 1'000;
  for (int i = 0; i < 40; ++i) Send({.tokens = 8'000});
  RunFor(1s);
  const auto read =
      PrefillTime(scheduler.prefill_rate, 8'000.0 * CountStarts());
  BOOST_CHECK_GE(read.count(), common::Duration(700ms).count());
}

// Long prompts of different priority wait together.
BOOST_AUTO_TEST_CASE(UrgentRequestStartsFirst) {
  scheduler.spec.slots = 100;
  for (int i = 0; i < 4; ++i) Send({.tokens = 20'000});
  const OfferId slow = Send({.tokens = 20'000, .priority = 1});
  const OfferId urgent = Send({.tokens = 20'000, .priority = 0});
  BOOST_CHECK(!Started(urgent));
  for (int i = 0; i < 200 && !Started(urgent); ++i) {
    RunFor(20ms);
    if (Started(slow)) break;
  }
  BOOST_CHECK(Started(urgent));
  BOOST_CHECK(!Started(slow));
}

// One workspace floods an engine. A small workspace must not wait behind the
// flood.
BOOST_AUTO_TEST_CASE(WorkspaceWithLessServiceStartsFirst) {
  for (int i = 0; i < 20; ++i) {
    Send({.workspace = "hot", .tokens = 10'000, .recent_service = 900'000});
  }
  const OfferId small = Send({.workspace = "small", .recent_service = 100});
  replies.clear();
  for (int i = 0; i < 200 && CountStarts() == 0; ++i) RunFor(20ms);
  const auto first =
      std::find_if(replies.begin(), replies.end(), [](const auto& it) {
        return it.decision == common::OfferDecision::kStart;
      });
  BOOST_REQUIRE(first != replies.end());
  BOOST_CHECK(first->id == small);
}

// An engine with a backlog must not serve only requests that are late already,
// because all later requests would then become late as well.
BOOST_AUTO_TEST_CASE(RequestThatCanBeOnTimeStartsBeforeALateOne) {
  scheduler.spec.slots = 100;
  for (int i = 0; i < 4; ++i) Send({.tokens = 10'000});
  const OfferId late = Send({.tokens = 20'000, .target = -1s});
  const OfferId timely = Send({.tokens = 20'000, .target = 2s});
  for (int i = 0; i < 200 && !Started(timely) && !Started(late); ++i) {
    RunFor(20ms);
  }
  BOOST_CHECK(Started(timely));
  BOOST_CHECK(!Started(late));
}

// A request that cannot start in time must not be kept until its caller gives
// up.
BOOST_AUTO_TEST_CASE(UnservableRequestIsDeclinedAtOnce) {
  for (int i = 0; i < 60; ++i) Send({.tokens = 10'000});
  const OfferId hopeless = Send({.tokens = 10'000, .time_to_deadline = 500ms});
  BOOST_CHECK(DecisionOf(hopeless) == common::OfferDecision::kDeclined);
}

// A request that can start in time must not be declined.
BOOST_AUTO_TEST_CASE(RequestThatStartsInTimeIsNotDeclined) {
  for (int i = 0; i < 3; ++i) Send({.tokens = 10'000});
  const OfferId last = Send({.tokens = 10'000, .time_to_deadline = 2s});
  RunFor(1s);
  BOOST_CHECK(Started(last));
}

// Short prompts with long outputs: no more requests may start than the engine
// runs at once.
BOOST_AUTO_TEST_CASE(SlotsAreNotExceeded) {
  const OfferId first = Send({.tokens = 10});
  for (int i = 0; i < 7; ++i) Send({.tokens = 10});
  BOOST_CHECK_EQUAL(CountStarts(), 4);
  OnFirstEvent(scheduler, clock.Now(), first, &replies);
  OnFinished(scheduler, clock.Now(), first, &replies);
  BOOST_CHECK_EQUAL(CountStarts(), 5);
}

// One workspace requests many times its fair share. Other workspaces must not
// wait for its requests beyond the share.
BOOST_AUTO_TEST_CASE(HotWorkspaceLeavesRoomForOthers) {
  scheduler.spec.slots = 100;
  for (int i = 0; i < 200; ++i) {
    Send({.workspace = "hot", .tokens = 8'000, .within_share = false});
    RunFor(20ms);
    if (i % 10 != 9) continue;
    const OfferId small = Send({.workspace = "small", .tokens = 2'000});
    // At most one prompt of the hot workspace is being processed.
    RunFor(std::chrono::duration_cast<common::Duration>(
        PrefillTime(scheduler.prefill_rate, 8'000) /
        scheduler.prefill_share.share));
    BOOST_CHECK(Started(small));
  }
}

// Over-share requests must leave slots free for requests within a fair share.
BOOST_AUTO_TEST_CASE(OverShareRequestsLeaveSlotsFree) {
  scheduler.spec.slots = 20;
  for (int i = 0; i < 40; ++i) {
    Send({.workspace = "hot", .tokens = 100, .within_share = false});
    RunFor(20ms);
  }
  BOOST_CHECK_EQUAL(CountStarts(), 8);
  for (int i = 0; i < 5; ++i) BOOST_CHECK(Started(Send({.tokens = 100})));
}

// An engine must not idle while over-share requests wait.
BOOST_AUTO_TEST_CASE(OverShareRequestsUseAnIdleEngine) {
  scheduler.spec.slots = 1'000;
  for (int i = 0; i < 40; ++i) {
    Send({.workspace = "hot", .tokens = 8'000, .within_share = false});
  }
  RunFor(1s);
  const auto read =
      PrefillTime(scheduler.prefill_rate, 8'000.0 * CountStarts());
  const double busy = std::chrono::duration<double>(read).count();
  BOOST_CHECK_GE(busy, 0.9 * scheduler.options.over_share_prefill_share);
}

// A request within a fair share must start before an over-share request, even
// if it is late and its workspace has received more service.
BOOST_AUTO_TEST_CASE(OverShareRequestStartsLast) {
  scheduler.spec.slots = 1;
  const OfferId first = Send({});
  const OfferId over_share = Send({.within_share = false});
  const OfferId late = Send({.target = -1s, .recent_service = 1'000'000});
  OnFinished(scheduler, clock.Now(), first, &replies);
  BOOST_CHECK(Started(late));
  BOOST_CHECK(!Started(over_share));
}

// Callers allow long outputs but expect short ones. Memory must not be reserved
// for the longest output while requests wait.
BOOST_AUTO_TEST_CASE(MemoryIsReservedForExpectedOutputs) {
  SetCapacity(scheduler, {.slots = 100, .memory_tokens = 30'000});
  for (int i = 0; i < 10; ++i) {
    Send({.tokens = 500, .output = 300, .max_output = 6'000});
  }
  RunFor(200ms);
  BOOST_CHECK_EQUAL(CountStarts(), 10);
}

// The memory of the engine must not be exceeded, because the engine would then
// drop a request that it has begun.
BOOST_AUTO_TEST_CASE(MemoryIsNotExceeded) {
  SetCapacity(scheduler, {.slots = 100, .memory_tokens = 30'000});
  for (int i = 0; i < 10; ++i) Send({.tokens = 9'000});
  RunFor(3s);
  BOOST_CHECK_EQUAL(CountStarts(), 3);
}

// Many prompts share one prefix. No prefill time must be counted for cached
// tokens, because the engine would then idle.
BOOST_AUTO_TEST_CASE(CachedPromptsCostLittle) {
  scheduler.spec.slots = 100;
  Send({.tokens = 12'000, .prefix_key = 7});
  RunFor(200ms);
  const int before = CountStarts();
  for (int i = 0; i < 20; ++i) Send({.tokens = 12'000, .prefix_key = 7});
  BOOST_CHECK_EQUAL(CountStarts() - before, 20);
  BOOST_CHECK_EQUAL(replies.back().cached_tokens, 11'900);
}

// The message with a start is lost, so the gateway repeats the offer.
BOOST_AUTO_TEST_CASE(RepeatedOfferGetsTheSameStart) {
  const OfferId id = Send({});
  --last_number;
  BOOST_CHECK(Send({}) == id);
  BOOST_CHECK(Started(id));
  BOOST_CHECK_EQUAL(scheduler.running.size(), 1);
}

// Streams run while prompts arrive continuously. Prefill without breaks would
// make every event of the streams late.
BOOST_AUTO_TEST_CASE(StalledStreamsReducePrefill) {
  scheduler.spec.slots = 100;
  const double before = scheduler.prefill_share.share;
  std::vector<OfferId> ids;
  ids.reserve(20);
  for (int i = 0; i < 20; ++i) ids.push_back(Send({.tokens = 100}));
  RunFor(100ms);
  for (int i = 0; i < 3; ++i) {
    for (const OfferId& id : ids) {
      scheduler.running.at(id).stalled = false;
      OnStreamStalled(scheduler, clock.Now(), id);
      OnStreamStalled(scheduler, clock.Now(), id);
    }
    RunFor(500ms);
  }
  BOOST_CHECK_LT(scheduler.prefill_share.share, before * 0.8);
  BOOST_CHECK_GT(scheduler.prefill_share.share, before * 0.6);
}

// One long prompt makes many streams stall at once. This must not reduce
// prefill to almost nothing for the next minute.
BOOST_AUTO_TEST_CASE(OneLongPromptCountsOnce) {
  scheduler.spec.slots = 100;
  const double before = scheduler.prefill_share.share;
  std::vector<OfferId> ids;
  ids.reserve(60);
  for (int i = 0; i < 60; ++i) ids.push_back(Send({.tokens = 100}));
  RunFor(100ms);
  for (const OfferId& id : ids) OnStreamStalled(scheduler, clock.Now(), id);
  BOOST_CHECK_LT(scheduler.prefill_share.share, before);
  BOOST_CHECK_GT(scheduler.prefill_share.share, before * 0.85);
}

// After a burst the prefill share must increase again, so that the engine does
// not idle. It must not increase while nothing runs.
BOOST_AUTO_TEST_CASE(PrefillShareIncreasesWithoutStalls) {
  const double before = scheduler.prefill_share.share;
  RunFor(60s);
  BOOST_CHECK_EQUAL(scheduler.prefill_share.share, before);
  Send({.tokens = 100});
  RunFor(4s);
  BOOST_CHECK_GT(scheduler.prefill_share.share, before + 0.05);
  RunFor(60s);
  BOOST_CHECK_LE(scheduler.prefill_share.share, 1);
}

// A burst of prompts arrives while streams run. Prefill must not fill the whole
// event gap of the streams.
BOOST_AUTO_TEST_CASE(PrefillOfABurstHasBreaks) {
  constexpr auto kEventGap = 400ms;
  constexpr int kTokens = 4'000;
  scheduler.spec.slots = 1'000;
  scheduler.prefill_share.share = 0.5;
  for (int i = 0; i < 60; ++i) Send({.tokens = kTokens});
  RunFor(400ms);  // the prefill that is allowed without a break
  const int before = CountStarts();
  RunFor(kEventGap);
  const auto read =
      PrefillTime(scheduler.prefill_rate, kTokens * (CountStarts() - before));
  const common::Duration most =
      kEventGap / 2 + PrefillTime(scheduler.prefill_rate, kTokens);
  BOOST_CHECK_LE(read.count(), most.count());
}

// A request must not keep its slot if the message about its end was lost.
BOOST_AUTO_TEST_CASE(UnreportedStartIsDropped) {
  const OfferId kept = Send({});
  Send({});
  RunFor(1s);
  OnRequestsInProgress(scheduler, clock.Now(), kGateway, {kept.number},
                       &replies);
  BOOST_CHECK_EQUAL(scheduler.running.size(), 1);
  BOOST_CHECK_EQUAL(scheduler.running.count(kept), 1);
}

// A start must not be dropped before its gateway can report it.
BOOST_AUTO_TEST_CASE(RecentStartIsKept) {
  Send({});
  RunFor(100ms);
  OnRequestsInProgress(scheduler, clock.Now(), kGateway, {}, &replies);
  BOOST_CHECK_EQUAL(scheduler.running.size(), 1);
}

// A gateway fails with requests in flight and waiting.
BOOST_AUTO_TEST_CASE(SilentGatewayLosesItsRequests) {
  for (int i = 0; i < 8; ++i) Send({.tokens = 10, .gateway = kOtherGateway});
  const OfferId alive = Send({.tokens = 10});
  BOOST_CHECK(!Started(alive));
  RunFor(scheduler.options.gateway_timeout + 100ms);
  BOOST_CHECK(Started(alive));
  BOOST_CHECK_EQUAL(scheduler.running.size(), 1);
}

// An unused start must not take prefill time from other requests.
BOOST_AUTO_TEST_CASE(WithdrawnStartReleasesItsPrefillTime) {
  const OfferId first = Send({.tokens = 50'000});
  const OfferId second = Send({.tokens = 1'000});
  BOOST_CHECK(!Started(second));
  OnWithdrawn(scheduler, clock.Now(), first, &replies);
  BOOST_CHECK(Started(second));
}

// The cache of an engine must not be relied on after a restart of the engine,
// which empties it.
BOOST_AUTO_TEST_CASE(RestartedEngineCachesNothing) {
  Send({.tokens = 12'000, .prefix_key = 7});
  RunFor(200ms);
  ResetEngine(scheduler);
  Send({.tokens = 12'000, .prefix_key = 7});
  BOOST_CHECK_EQUAL(replies.back().cached_tokens, 0);
}

// Other clients use the engine as well. Requests that only the engine reports
// must count as occupied slots.
BOOST_AUTO_TEST_CASE(ReportedRequestsTakeSlots) {
  OnReport(scheduler, clock.Now(), {.running = 4, .waiting = 0}, &replies);
  const OfferId id = Send({.tokens = 10});
  BOOST_CHECK(!Started(id));
  OnReport(scheduler, clock.Now(), {.running = 3, .waiting = 0}, &replies);
  BOOST_CHECK(Started(id));
}

// Guards against an engine that gets more requests a second than it states to
// take.
BOOST_AUTO_TEST_CASE(StartsStayWithinTheStatedLimit) {
  constexpr double kLimit = 7;
  SetCapacity(scheduler, {.slots = 1'000, .memory_tokens = 5'000'000});
  SetRateLimit(scheduler, clock.Now(), kLimit);
  std::vector<common::TimePoint> starts;
  for (int i = 0; i < 400; ++i) {
    const std::size_t before = replies.size();
    Send({.tokens = 10, .output = 1, .time_to_deadline = 1s});
    OnTick(scheduler, clock.Now(), &replies);
    for (std::size_t j = before; j < replies.size(); ++j) {
      if (replies[j].decision == common::OfferDecision::kStart) {
        starts.push_back(clock.Now());
      }
    }
    clock.Advance(20ms);
  }
  // 8 s.
  BOOST_CHECK_LE(starts.size(), 8 * kLimit);
  BOOST_CHECK_GE(starts.size(), 8 * kLimit * 0.8);
}

// Guards against a workspace that gets nothing from an engine with a limit,
// because of the service that it received before.
BOOST_AUTO_TEST_CASE(LimitedEngineSharesFromTheStartOfTheLimit) {
  SetCapacity(scheduler, {.slots = 1'000, .memory_tokens = 5'000'000});
  SetRateLimit(scheduler, clock.Now(), 4);
  std::map<std::string, int> starts;
  for (int i = 0; i < 300; ++i) {
    for (const char* workspace : {"served-before", "other"}) {
      const bool before = workspace == std::string("served-before");
      const OfferId id = Send({.workspace = workspace,
                               .tokens = 10,
                               .output = 10,
                               .time_to_deadline = 400ms,
                               .recent_service = before ? 1e6 : 1.0});
      if (Started(id)) ++starts[workspace];
    }
    const std::size_t known = replies.size();
    clock.Advance(20ms);
    OnTick(scheduler, clock.Now(), &replies);
    for (std::size_t j = known; j < replies.size(); ++j) {
      if (replies[j].decision != common::OfferDecision::kStart) continue;
      ++starts[replies[j].id.number % 2 == 1 ? "served-before" : "other"];
    }
  }
  BOOST_CHECK_GE(starts["served-before"], 8);
  BOOST_CHECK_GE(starts["other"], 8);
}

// Guards against waits that leave out the stated limit, by which gateways
// choose between engines and callers are told when to come back.
BOOST_AUTO_TEST_CASE(ExpectedWaitIncludesTheStatedLimit) {
  SetRateLimit(scheduler, clock.Now(), 0.5);
  BOOST_CHECK(ExpectedWait(scheduler, clock.Now(), {}) >= 2s);
  SetRateLimit(scheduler, clock.Now(), std::nullopt);
  BOOST_CHECK(ExpectedWait(scheduler, clock.Now(), {}) < 100ms);
}

// Guards against a start that counts although its gateway did not use it.
BOOST_AUTO_TEST_CASE(WithdrawnStartDoesNotCountAgainstTheLimit) {
  SetRateLimit(scheduler, clock.Now(), 1);
  clock.Advance(2s);
  const OfferId first = Send({.time_to_deadline = 1s});
  BOOST_CHECK(Started(first));
  OnWithdrawn(scheduler, clock.Now(), first, &replies);
  BOOST_CHECK(Started(Send({.time_to_deadline = 1s})));
  BOOST_CHECK(!Started(Send({.time_to_deadline = 1s})));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::scheduling
