#include <algorithm>
#include <boost/test/unit_test.hpp>
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

// A scheduler before an engine that needs 10 us a prompt token.
struct Fixture {
  common::ManualClock clock;
  EngineScheduler scheduler;
  Replies replies;
  std::uint64_t last_number = 0;

  Fixture() {
    clock.Advance(1h);
    SetSpec(scheduler, {.slots = 4, .memory_tokens = 500'000});
  }

  struct OfferSpec {
    std::string workspace = "w";
    int tokens = 1'000;
    int output = 100;  // expected
    int max_output = 100;
    int rank = 0;
    common::Duration target = 2s;
    common::Duration patience = 10s;
    double served = 0;
    bool within_share = true;
    std::uint64_t subject = 0;  // shares all but 100 tokens if not 0
    common::Incarnation gateway = kGateway;
  };

  OfferId Give(const OfferSpec& spec) {
    const OfferId id{.gateway = spec.gateway, .number = ++last_number};
    constexpr int kOwnTokens = 100;
    common::Prompt prompt{.model = "m",
                          .prompt_tokens = spec.tokens,
                          .max_output_tokens = spec.max_output,
                          .expected_output_tokens = spec.output};
    if (spec.subject != 0) {
      prompt.parts = {{.id = spec.subject, .tokens = spec.tokens - kOwnTokens},
                      {.id = 1'000'000 + last_number, .tokens = kOwnTokens}};
    }
    OnOffer(scheduler, clock.Now(),
            {.id = id,
             .workspace = common::WorkspaceName(spec.workspace),
             .prompt = prompt,
             .rank = spec.rank,
             .within_share = spec.within_share,
             .target_left = spec.target,
             .patience = spec.patience,
             .served = spec.served},
            &replies);
    return id;
  }

  // The last verdict on an offer.
  std::optional<common::StartVerdict> VerdictOf(OfferId id) const {
    const auto it =
        std::find_if(replies.rbegin(), replies.rend(),
                     [id](const OfferReply& r) { return r.id == id; });
    if (it == replies.rend()) return std::nullopt;
    return it->verdict;
  }
  bool Started(OfferId id) const {
    return VerdictOf(id) == common::StartVerdict::kStart;
  }
  int Starts() const {
    return static_cast<int>(
        std::count_if(replies.begin(), replies.end(), [](const auto& it) {
          return it.verdict == common::StartVerdict::kStart;
        }));
  }

  // Time passes with ticks; the gateways stay alive.
  void Pass(common::Duration time) {
    constexpr auto kTick = 20ms;
    for (common::Duration t{0}; t < time; t += kTick) {
      clock.Advance(kTick);
      OnHeard(scheduler, clock.Now(), kGateway);
      OnTick(scheduler, clock.Now(), &replies);
    }
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(EngineSchedulerTest, Fixture)

// Pattern: a burst of prompts. Guards against a queue inside the engine, which
// knows no priorities.
BOOST_AUTO_TEST_CASE(BurstWaitsBeforeTheEngine) {
  for (int i = 0; i < 30; ++i) Give({.tokens = 8'000});
  const auto sent = ReadingTime(scheduler.pace, 8'000.0 * Starts());
  BOOST_CHECK_GE(Starts(), 1);
  // One prompt may exceed what is sent ahead.
  BOOST_CHECK_LE(sent.count(), (scheduler.options.reading_ahead +
                                ReadingTime(scheduler.pace, 8'000))
                                   .count());
}

// Guards against an engine that idles between two prompts of a burst.
BOOST_AUTO_TEST_CASE(BurstIsReadWithoutPauses) {
  scheduler.spec.slots = 1'000;
  for (int i = 0; i < 40; ++i) Give({.tokens = 8'000});
  Pass(1s);
  const auto read = ReadingTime(scheduler.pace, 8'000.0 * Starts());
  BOOST_CHECK_GE(read.count(), common::Duration(700ms).count());
}

// Pattern: long and urgent requests wait together.
BOOST_AUTO_TEST_CASE(UrgentRequestStartsFirst) {
  scheduler.spec.slots = 100;
  for (int i = 0; i < 4; ++i) Give({.tokens = 20'000});
  const OfferId slow = Give({.tokens = 20'000, .rank = 1});
  const OfferId urgent = Give({.tokens = 20'000, .rank = 0});
  BOOST_CHECK(!Started(urgent));
  for (int i = 0; i < 200 && !Started(urgent); ++i) {
    Pass(20ms);
    if (Started(slow)) break;
  }
  BOOST_CHECK(Started(urgent));
  BOOST_CHECK(!Started(slow));
}

// Pattern: one workspace floods an engine. Guards against a small workspace
// that waits behind the flood.
BOOST_AUTO_TEST_CASE(WorkspaceWithLessServiceStartsFirst) {
  for (int i = 0; i < 20; ++i) {
    Give({.workspace = "hot", .tokens = 10'000, .served = 900'000});
  }
  const OfferId small = Give({.workspace = "small", .served = 100});
  replies.clear();
  for (int i = 0; i < 200 && Starts() == 0; ++i) Pass(20ms);
  const auto first =
      std::find_if(replies.begin(), replies.end(), [](const auto& it) {
        return it.verdict == common::StartVerdict::kStart;
      });
  BOOST_REQUIRE(first != replies.end());
  BOOST_CHECK(first->id == small);
}

// Pattern: a backlog from before. Guards against an engine that serves only
// what is late already, so that all later requests become late as well.
BOOST_AUTO_TEST_CASE(RequestThatCanBeOnTimeStartsBeforeALateOne) {
  scheduler.spec.slots = 100;
  for (int i = 0; i < 4; ++i) Give({.tokens = 10'000});
  const OfferId late = Give({.tokens = 20'000, .target = -1s});
  const OfferId timely = Give({.tokens = 20'000, .target = 2s});
  for (int i = 0; i < 200 && !Started(timely) && !Started(late); ++i) {
    Pass(20ms);
  }
  BOOST_CHECK(Started(timely));
  BOOST_CHECK(!Started(late));
}

// Guards against requests that are kept until their callers have gone.
BOOST_AUTO_TEST_CASE(HopelessRequestIsDeclinedAtOnce) {
  for (int i = 0; i < 60; ++i) Give({.tokens = 10'000});
  const OfferId hopeless = Give({.tokens = 10'000, .patience = 500ms});
  BOOST_CHECK(VerdictOf(hopeless) == common::StartVerdict::kDeclined);
}

// Guards against a decline while the request would start in time.
BOOST_AUTO_TEST_CASE(RequestThatStartsInTimeIsNotDeclined) {
  for (int i = 0; i < 3; ++i) Give({.tokens = 10'000});
  const OfferId last = Give({.tokens = 10'000, .patience = 2s});
  Pass(1s);
  BOOST_CHECK(Started(last));
}

// Pattern: short prompts, long answers. Guards against more requests than the
// engine runs at once.
BOOST_AUTO_TEST_CASE(SlotsAreNotExceeded) {
  const OfferId first = Give({.tokens = 10});
  for (int i = 0; i < 7; ++i) Give({.tokens = 10});
  BOOST_CHECK_EQUAL(Starts(), 4);
  OnFirstEvent(scheduler, clock.Now(), first, &replies);
  OnDone(scheduler, clock.Now(), first, &replies);
  BOOST_CHECK_EQUAL(Starts(), 5);
}

// Pattern: one workspace asks for many times its share. Guards against other
// workspaces that wait for what is beyond it.
BOOST_AUTO_TEST_CASE(HotWorkspaceLeavesRoomForOthers) {
  scheduler.spec.slots = 100;
  for (int i = 0; i < 200; ++i) {
    Give({.workspace = "hot", .tokens = 8'000, .within_share = false});
    Pass(20ms);
    if (i % 10 != 9) continue;
    const OfferId small = Give({.workspace = "small", .tokens = 2'000});
    // At most one prompt of the hot workspace is being read.
    Pass(std::chrono::duration_cast<common::Duration>(
        ReadingTime(scheduler.pace, 8'000) / scheduler.reading_share.share));
    BOOST_CHECK(Started(small));
  }
}

// Guards against surplus requests that fill the slots until one within a share
// has none.
BOOST_AUTO_TEST_CASE(SurplusLeavesSlotsFree) {
  scheduler.spec.slots = 20;
  for (int i = 0; i < 40; ++i) {
    Give({.workspace = "hot", .tokens = 100, .within_share = false});
    Pass(20ms);
  }
  BOOST_CHECK_EQUAL(Starts(), 8);
  for (int i = 0; i < 5; ++i) BOOST_CHECK(Started(Give({.tokens = 100})));
}

// Guards against an engine that idles while surplus requests wait.
BOOST_AUTO_TEST_CASE(SurplusUsesAnIdleEngine) {
  scheduler.spec.slots = 1'000;
  for (int i = 0; i < 40; ++i) {
    Give({.workspace = "hot", .tokens = 8'000, .within_share = false});
  }
  Pass(1s);
  const auto read = ReadingTime(scheduler.pace, 8'000.0 * Starts());
  const double busy = std::chrono::duration<double>(read).count();
  BOOST_CHECK_GE(busy, 0.9 * scheduler.options.surplus_reading_share);
}

// Guards against a surplus request of an idle workspace that a request within a
// share overtakes only by its lateness.
BOOST_AUTO_TEST_CASE(SurplusStartsLast) {
  scheduler.spec.slots = 1;
  const OfferId first = Give({});
  const OfferId surplus = Give({.within_share = false});
  const OfferId late = Give({.target = -1s, .served = 1'000'000});
  OnDone(scheduler, clock.Now(), first, &replies);
  BOOST_CHECK(Started(late));
  BOOST_CHECK(!Started(surplus));
}

// Pattern: callers allow long outputs and expect short ones. Guards against
// memory that is kept for outputs that nobody expects, while requests wait.
BOOST_AUTO_TEST_CASE(MemoryIsKeptForExpectedOutputs) {
  SetSpec(scheduler, {.slots = 100, .memory_tokens = 30'000});
  for (int i = 0; i < 10; ++i) {
    Give({.tokens = 500, .output = 300, .max_output = 6'000});
  }
  Pass(200ms);
  BOOST_CHECK_EQUAL(Starts(), 10);
}

// Guards against memory that runs over, so that the engine drops a request that
// it had begun.
BOOST_AUTO_TEST_CASE(MemoryIsNotExceeded) {
  SetSpec(scheduler, {.slots = 100, .memory_tokens = 30'000});
  for (int i = 0; i < 10; ++i) Give({.tokens = 9'000});
  Pass(3s);
  BOOST_CHECK_EQUAL(Starts(), 3);
}

// Pattern: a hot subject. Guards against reading time that is charged for what
// is cached, so that the engine is kept idle.
BOOST_AUTO_TEST_CASE(CachedPromptsCostLittle) {
  scheduler.spec.slots = 100;
  Give({.tokens = 12'000, .subject = 7});
  Pass(200ms);
  const int before = Starts();
  for (int i = 0; i < 20; ++i) Give({.tokens = 12'000, .subject = 7});
  BOOST_CHECK_EQUAL(Starts() - before, 20);
  BOOST_CHECK_EQUAL(replies.back().cached_tokens, 11'900);
}

// Guards against a start that is lost on the way: the offer comes again.
BOOST_AUTO_TEST_CASE(RepeatedOfferGetsTheSameStart) {
  const OfferId id = Give({});
  --last_number;
  BOOST_CHECK(Give({}) == id);
  BOOST_CHECK(Started(id));
  BOOST_CHECK_EQUAL(scheduler.running.size(), 1);
}

// Pattern: streams run while prompts come in without end. Guards against
// reading without a break, which makes every event of the streams late.
BOOST_AUTO_TEST_CASE(LongPausesOfStreamsSlowReadingDown) {
  scheduler.spec.slots = 100;
  const double before = scheduler.reading_share.share;
  std::vector<OfferId> ids;
  ids.reserve(20);
  for (int i = 0; i < 20; ++i) ids.push_back(Give({.tokens = 100}));
  Pass(100ms);
  for (int i = 0; i < 3; ++i) {
    for (const OfferId& id : ids) {
      scheduler.running.at(id).paused = false;
      OnPaused(scheduler, clock.Now(), id);
      OnPaused(scheduler, clock.Now(), id);
    }
    Pass(500ms);
  }
  BOOST_CHECK_LT(scheduler.reading_share.share, before * 0.8);
  BOOST_CHECK_GT(scheduler.reading_share.share, before * 0.6);
}

// Pattern: one long prompt among many streams, which all pause at once. Guards
// against an engine that hardly reads for a minute after it.
BOOST_AUTO_TEST_CASE(OneLongPromptCountsOnce) {
  scheduler.spec.slots = 100;
  const double before = scheduler.reading_share.share;
  std::vector<OfferId> ids;
  ids.reserve(60);
  for (int i = 0; i < 60; ++i) ids.push_back(Give({.tokens = 100}));
  Pass(100ms);
  for (const OfferId& id : ids) OnPaused(scheduler, clock.Now(), id);
  BOOST_CHECK_LT(scheduler.reading_share.share, before);
  BOOST_CHECK_GT(scheduler.reading_share.share, before * 0.85);
}

// Pattern: calm again. Guards against an engine that is kept idle after a
// burst, and against a share that grows while nothing runs.
BOOST_AUTO_TEST_CASE(CalmAllowsMoreReading) {
  const double before = scheduler.reading_share.share;
  Pass(60s);
  BOOST_CHECK_EQUAL(scheduler.reading_share.share, before);
  Give({.tokens = 100});
  Pass(4s);
  BOOST_CHECK_GT(scheduler.reading_share.share, before + 0.05);
  Pass(60s);
  BOOST_CHECK_LE(scheduler.reading_share.share, 1);
}

// Pattern: a burst of prompts among running streams. Guards against reading
// that fills a whole pause between two events of the streams.
BOOST_AUTO_TEST_CASE(ReadingOfABurstHasBreaks) {
  constexpr auto kPause = 400ms;
  constexpr int kTokens = 4'000;
  scheduler.spec.slots = 1'000;
  scheduler.reading_share.share = 0.5;
  for (int i = 0; i < 60; ++i) Give({.tokens = kTokens});
  Pass(400ms);  // what was allowed at once
  const int before = Starts();
  Pass(kPause);
  const auto read = ReadingTime(scheduler.pace, kTokens * (Starts() - before));
  const common::Duration most =
      kPause / 2 + ReadingTime(scheduler.pace, kTokens);
  BOOST_CHECK_LE(read.count(), most.count());
}

// Guards against slots that stay taken by requests whose end was lost.
BOOST_AUTO_TEST_CASE(UnnamedStartIsDropped) {
  const OfferId kept = Give({});
  Give({});
  Pass(1s);
  OnInProgress(scheduler, clock.Now(), kGateway, {kept.number}, &replies);
  BOOST_CHECK_EQUAL(scheduler.running.size(), 1);
  BOOST_CHECK_EQUAL(scheduler.running.count(kept), 1);
}

// Guards against a start that is dropped before its gateway can name it.
BOOST_AUTO_TEST_CASE(RecentStartIsKept) {
  Give({});
  Pass(100ms);
  OnInProgress(scheduler, clock.Now(), kGateway, {}, &replies);
  BOOST_CHECK_EQUAL(scheduler.running.size(), 1);
}

// Pattern: a gateway dies with requests in flight and waiting.
BOOST_AUTO_TEST_CASE(SilentGatewayLosesItsPlaces) {
  for (int i = 0; i < 8; ++i) Give({.tokens = 10, .gateway = kOtherGateway});
  const OfferId alive = Give({.tokens = 10});
  BOOST_CHECK(!Started(alive));
  Pass(scheduler.options.gateway_silence + 100ms);
  BOOST_CHECK(Started(alive));
  BOOST_CHECK_EQUAL(scheduler.running.size(), 1);
}

// Guards against an unused start that takes reading time from others.
BOOST_AUTO_TEST_CASE(WithdrawnStartGivesItsTimeBack) {
  const OfferId first = Give({.tokens = 50'000});
  const OfferId second = Give({.tokens = 1'000});
  BOOST_CHECK(!Started(second));
  OnWithdrawn(scheduler, clock.Now(), first, &replies);
  BOOST_CHECK(Started(second));
}

// Pattern: an engine restarts. Guards against a cache that is trusted after its
// engine has lost it.
BOOST_AUTO_TEST_CASE(RestartedEngineCachesNothing) {
  Give({.tokens = 12'000, .subject = 7});
  Pass(200ms);
  ForgetEngine(scheduler);
  Give({.tokens = 12'000, .subject = 7});
  BOOST_CHECK_EQUAL(replies.back().cached_tokens, 0);
}

// Pattern: others use the engine as well. Guards against a count of slots that
// leaves out what the engine reports.
BOOST_AUTO_TEST_CASE(ReportedRequestsTakeSlots) {
  OnReport(scheduler, clock.Now(), {.running = 4, .waiting = 0}, &replies);
  const OfferId id = Give({.tokens = 10});
  BOOST_CHECK(!Started(id));
  OnReport(scheduler, clock.Now(), {.running = 3, .waiting = 0}, &replies);
  BOOST_CHECK(Started(id));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::scheduling
