#include <array>
#include <boost/test/unit_test.hpp>
#include <limits>

#include "Balancing/PlacementSearch.h"
#include "Common/Clock.h"
#include "Property.h"

namespace shallotbeam::balancing {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

const common::UpstreamName kA("a");
const common::UpstreamName kB("b");
const common::UpstreamName kC("c");

struct Fixture {
  common::ManualClock clock;
  PlacementState state;
  SearchActions actions;

  Fixture() {
    clock.Advance(1h);
    for (const auto& it : {kA, kB, kC}) Hear(it);
  }

  void Hear(const common::UpstreamName& upstream, common::Duration wait = 0ms,
            int incarnation = 1) {
    OnSchedulerLoad(state, clock.Now(), upstream,
                    static_cast<common::Incarnation>(incarnation),
                    {.expected_wait = wait}, &actions);
  }
  void Begin() {
    BeginSearch(state, clock.Now(),
                {.id = SearchId{1}, .candidates = {kA, kB, kC}}, &actions);
  }
  // A request with 400 of its 500 tokens in shared parts. Its preferred engine
  // is C.
  void BeginShared() {
    BeginSearch(state, clock.Now(),
                {.id = SearchId{1},
                 .prompt = {.prompt_tokens = 500,
                            .parts = {{.id = 1, .tokens = 400},
                                      {.id = 2, .tokens = 100}}},
                 .candidates = {kA, kB},
                 .preferred_engine = kC},
                &actions);
  }
  void BeginOverShare() {
    BeginSearch(state, clock.Now(),
                {.id = SearchId{1},
                 .within_share = false,
                 .first_event_deadline = clock.Now() + 600ms,
                 .candidates = {kA, kB, kC}},
                &actions);
  }
  void HearOverShareWait(const common::UpstreamName& upstream,
                         common::Duration wait) {
    OnSchedulerLoad(state, clock.Now(), upstream,
                    static_cast<common::Incarnation>(1),
                    {.over_share_wait = wait}, &actions);
  }
  void Reply(const common::UpstreamName& upstream, OfferNumber number,
             common::OfferDecision decision, common::Duration wait = 0ms,
             int cached = 0) {
    OnReply(state, clock.Now(), upstream, number,
            {.decision = decision, .wait = wait, .cached_tokens = cached},
            &actions);
  }
  void Tick(common::Duration time) {
    clock.Advance(time);
    OnSearchTick(state, clock.Now(), &actions);
  }

  template <typename Action>
  std::vector<Action> ActionsOf() const {
    std::vector<Action> found;
    for (const SearchAction& it : actions) {
      if (const auto* action = std::get_if<Action>(&it)) {
        found.push_back(*action);
      }
    }
    return found;
  }
  // Returns the number of the newest offer to an upstream, or 0 if there was
  // none.
  OfferNumber LastOfferTo(const common::UpstreamName& upstream) const {
    OfferNumber number = 0;
    for (const SendOffer& it : ActionsOf<SendOffer>()) {
      if (it.upstream == upstream) number = it.number;
    }
    return number;
  }
};

// A search with weighed candidates. A token takes 15 us at all engines, so that
// the 5,000 shared ones take 75 ms, and 7.5 ms if they are fetched.
struct WeighedFixture : Fixture {
  WeighedFixture() {
    state.options.order = PlacementOrder::kWeighed;
    for (const auto& it : {kA, kB, kC}) HearLoad(it, 0ms);
  }

  void HearLoad(const common::UpstreamName& upstream, common::Duration wait,
                double ns_per_token = 15'000, int incarnation = 1) {
    OnSchedulerLoad(state, clock.Now(), upstream,
                    static_cast<common::Incarnation>(incarnation),
                    {.expected_wait = wait, .ns_per_token = ns_per_token},
                    &actions);
  }
  // Returns the engine that is asked first.
  common::UpstreamName FirstOffer(int shared,
                                  const common::UpstreamName& preferred = kA) {
    actions.clear();
    const auto id = static_cast<SearchId>(++last_search);
    BeginSearch(state, clock.Now(),
                {.id = id,
                 .prompt = {.prompt_tokens = shared + 1'000,
                            .parts = {{.id = 1, .tokens = shared},
                                      {.id = 2, .tokens = 1'000}}},
                 .candidates = {kA, kB, kC},
                 .preferred_engine = preferred},
                &actions);
    const auto offers = ActionsOf<SendOffer>();
    return offers.empty() ? common::UpstreamName() : offers[0].upstream;
  }

  std::uint64_t last_search = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(PlacementSearchTest, Fixture)

// A prompt must be offered first to the engine that likely has it cached.
BOOST_AUTO_TEST_CASE(FirstCandidateGetsTheOfferAndTheStart) {
  Begin();
  BOOST_REQUIRE_EQUAL(ActionsOf<SendOffer>().size(), 1);
  Reply(kA, LastOfferTo(kA), common::OfferDecision::kStart);
  BOOST_REQUIRE_EQUAL(ActionsOf<StartAt>().size(), 1);
  BOOST_CHECK(ActionsOf<StartAt>()[0].upstream == kA);
  BOOST_CHECK(state.searches.empty());
  BOOST_CHECK(state.offers.empty());
}

// Many prompts share one prefix. They must not all wait for one engine while
// another is idle.
BOOST_AUTO_TEST_CASE(BusyEngineIsSkipped) {
  Hear(kA, 800ms);
  Begin();
  BOOST_CHECK_EQUAL(LastOfferTo(kA), 0);
  BOOST_CHECK_NE(LastOfferTo(kB), 0);
}

// A short wait must not spread a shared prefix over the fleet, because every
// engine would then have to process it again.
BOOST_AUTO_TEST_CASE(SlightlyBusyEngineKeepsItsPrompts) {
  Hear(kA, state.options.away_penalty / 2);
  Begin();
  BOOST_CHECK_NE(LastOfferTo(kA), 0);
}

// Two engines must not both start the same request.
BOOST_AUTO_TEST_CASE(SecondStartIsWithdrawn) {
  Begin();
  const OfferNumber first = LastOfferTo(kA);
  Reply(kA, first, common::OfferDecision::kQueued, 400ms);
  const OfferNumber second = LastOfferTo(kB);
  BOOST_REQUIRE_NE(second, 0);
  Reply(kB, second, common::OfferDecision::kStart);
  // This start was sent before the withdrawal arrived.
  Reply(kA, first, common::OfferDecision::kStart);
  BOOST_CHECK_EQUAL(ActionsOf<StartAt>().size(), 1);
  const auto withdrawn = ActionsOf<WithdrawOffer>();
  BOOST_REQUIRE(!withdrawn.empty());
  BOOST_CHECK(withdrawn.back().upstream == kA);
  BOOST_CHECK_EQUAL(withdrawn.back().number, first);
}

// A request must not be rejected before it was offered to all engines that may
// help, and its caller must be told the shortest wait.
BOOST_AUTO_TEST_CASE(AllDeclinesEndTheSearchWithTheShortestWait) {
  Begin();
  Reply(kA, LastOfferTo(kA), common::OfferDecision::kDeclined, 900ms);
  BOOST_CHECK(ActionsOf<SearchRejected>().empty());
  Reply(kB, LastOfferTo(kB), common::OfferDecision::kDeclined, 500ms);
  BOOST_REQUIRE_EQUAL(ActionsOf<SearchRejected>().size(), 1);
  BOOST_CHECK(ActionsOf<SearchRejected>()[0].shortest_wait == 500ms);
}

// A prompt starts at an engine that does not have its shared parts cached. They
// must not be processed again if another engine has them.
BOOST_AUTO_TEST_CASE(SharedPartsAreFetchedFromThePreferredEngine) {
  BeginShared();
  BOOST_CHECK_EQUAL(ActionsOf<SendOffer>()[0].fetchable_tokens, 400);
  Reply(kA, LastOfferTo(kA), common::OfferDecision::kStart);
  BOOST_REQUIRE_EQUAL(ActionsOf<StartAt>().size(), 1);
  BOOST_CHECK(ActionsOf<StartAt>()[0].cache_source == kC);
}

// An engine must not fetch what it has cached itself.
BOOST_AUTO_TEST_CASE(NothingIsFetchedForACachedPrompt) {
  BeginShared();
  Reply(kA, LastOfferTo(kA), common::OfferDecision::kStart, 0ms, 400);
  BOOST_REQUIRE_EQUAL(ActionsOf<StartAt>().size(), 1);
  BOOST_CHECK(ActionsOf<StartAt>()[0].cache_source.empty());
}

// Shared parts must not be fetched from the preferred engine if another engine
// has a longer prefix cached.
BOOST_AUTO_TEST_CASE(PartsAreFetchedWhereMostIsCached) {
  BeginShared();
  Reply(kA, LastOfferTo(kA), common::OfferDecision::kQueued, 400ms, 450);
  Reply(kB, LastOfferTo(kB), common::OfferDecision::kStart);
  BOOST_REQUIRE_EQUAL(ActionsOf<StartAt>().size(), 1);
  BOOST_CHECK(ActionsOf<StartAt>()[0].cache_source == kA);
}

// The preferred engine has lost its cache, but another engine has the shared
// parts, as a scheduler's reply states. They must not be processed again.
BOOST_AUTO_TEST_CASE(PartsAreFetchedWhereTheSchedulerReportsThem) {
  BeginShared();
  OnReply(state, clock.Now(), kA, LastOfferTo(kA),
          {.decision = common::OfferDecision::kStart, .prefix_holder = kB},
          &actions);
  BOOST_REQUIRE_EQUAL(ActionsOf<StartAt>().size(), 1);
  BOOST_CHECK(ActionsOf<StartAt>()[0].preferred_engine == kC);
  // The preferred engine has not replied and is assumed to have the same prefix
  // cached.
  BOOST_CHECK(!ActionsOf<StartAt>()[0].cache_source.empty());
  BOOST_CHECK(ActionsOf<StartAt>()[0].cache_source != kA);
}

// One workspace floods its gateway beyond its fair share. While no engine has
// room, its over-share requests must be rejected without offers, which cost
// more than the rejection.
BOOST_AUTO_TEST_CASE(OverShareRequestIsRejectedWithoutAnOfferIfThereIsNoRoom) {
  for (const auto& it : {kA, kB}) HearOverShareWait(it, 900ms);
  BeginOverShare();
  BOOST_CHECK(ActionsOf<SendOffer>().empty());
  BOOST_REQUIRE_EQUAL(ActionsOf<SearchRejected>().size(), 1);
  BOOST_CHECK(!ActionsOf<SearchRejected>()[0].offered);
  BOOST_CHECK(ActionsOf<SearchRejected>()[0].shortest_wait == 900ms);
  BOOST_CHECK(state.searches.empty());
}

// A request beyond its fair share must not be rejected while one engine has
// room; a request within its share must always be offered.
BOOST_AUTO_TEST_CASE(RoomAtOneEngineIsUsed) {
  HearOverShareWait(kA, 900ms);
  BeginOverShare();
  BOOST_CHECK_EQUAL(ActionsOf<SendOffer>().size(), 1);
  EndSearch(state, SearchId{1}, &actions);
  HearOverShareWait(kB, 900ms);
  Begin();
  BOOST_CHECK_EQUAL(ActionsOf<SendOffer>().size(), 2);
}

// A datagram with an offer or its reply is lost.
BOOST_AUTO_TEST_CASE(UnansweredOfferIsRepeatedThenGoesElsewhere) {
  Begin();
  const OfferNumber first = LastOfferTo(kA);
  Tick(state.options.repeat_after);
  BOOST_CHECK_EQUAL(ActionsOf<SendOffer>().size(), 2);
  BOOST_CHECK_EQUAL(LastOfferTo(kA), first);
  Tick(state.options.reply_timeout);
  BOOST_CHECK_NE(LastOfferTo(kB), 0);
  BOOST_CHECK(!IsResponsive(state, clock.Now(), kA));
}

// The hosts of all schedulers are frozen or down. Requests must not wait for
// them without an end.
BOOST_AUTO_TEST_CASE(SilenceOfAllSchedulersIsReported) {
  Begin();
  for (int i = 0; i < 10; ++i) Tick(state.options.reply_timeout);
  BOOST_CHECK_EQUAL(ActionsOf<NoReachableScheduler>().size(), 1);
  BOOST_CHECK(ActionsOf<SearchRejected>().empty());
  BOOST_CHECK(state.searches.empty());
}

// A restarted scheduler has lost its queue.
BOOST_AUTO_TEST_CASE(OfferAtARestartedSchedulerIsMadeAnew) {
  Begin();
  Reply(kA, LastOfferTo(kA), common::OfferDecision::kQueued, 10ms);
  Hear(kA, 0ms, 2);
  BOOST_CHECK_NE(LastOfferTo(kB), 0);
  BOOST_CHECK_EQUAL(ActionsOf<WithdrawOffer>().size(), 1);
}

// Requests must not stay queued at an engine that drains.
BOOST_AUTO_TEST_CASE(OfferAtALeavingEngineGoesElsewhere) {
  Begin();
  Reply(kA, LastOfferTo(kA), common::OfferDecision::kQueued, 10ms);
  OnUpstreamLeaving(state, clock.Now(), kA, &actions);
  BOOST_CHECK_NE(LastOfferTo(kB), 0);
  BOOST_CHECK(!IsResponsive(state, clock.Now(), kA));
}

// Offers must not stay queued after their caller has disconnected.
BOOST_AUTO_TEST_CASE(EndedSearchWithdrawsItsOffers) {
  Begin();
  Reply(kA, LastOfferTo(kA), common::OfferDecision::kQueued, 10ms);
  EndSearch(state, SearchId{1}, &actions);
  BOOST_CHECK_EQUAL(ActionsOf<WithdrawOffer>().size(), 1);
  BOOST_CHECK(state.offers.empty());
}

// A scheduler is frozen or its reports are lost for 1, 3 or 10 s. Guards
// against running work of its engine that is started again elsewhere or given
// up, and against an engine that gets no new work after its scheduler's return.
BOOST_AUTO_TEST_CASE(SilentSchedulerKeepsItsRunningWork) {
  for (const common::Duration silence : {1s, 3s, 10s}) {
    actions.clear();
    for (const auto& it : {kA, kB, kC}) Hear(it);
    Begin();
    Reply(kA, LastOfferTo(kA), common::OfferDecision::kStart);
    actions.clear();
    for (common::Duration t{0}; t < silence; t += 20ms) {
      Tick(20ms);
      Hear(kB);
    }
    BOOST_CHECK(ActionsOf<SendOffer>().empty());
    BOOST_CHECK(ActionsOf<WithdrawOffer>().empty());
    BOOST_CHECK(ActionsOf<StartAt>().empty());
    Hear(kA);
    actions.clear();
    Begin();
    BOOST_CHECK_NE(LastOfferTo(kA), 0);
    EndSearch(state, SearchId{1}, &actions);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WeighedPlacementTest, WeighedFixture)

// A wait must be accepted only as far as the cache saves more.
BOOST_AUTO_TEST_CASE(WaitIsAcceptedUpToTheSaving) {
  HearLoad(kA, 7ms);
  BOOST_CHECK(FirstOffer(5'000) == kA);
  HearLoad(kA, 8ms);
  BOOST_CHECK(FirstOffer(5'000) == kB);
  BOOST_CHECK(FirstOffer(1'000) == kB);
}

// A prompt without shared parts must not wait for any cache.
BOOST_AUTO_TEST_CASE(PromptWithoutSharedPartsTakesTheShortestWait) {
  BOOST_CHECK(FirstOffer(0, {}) == kA);
  HearLoad(kA, 1ms);
  BOOST_CHECK(FirstOffer(0, {}) == kB);
}

// An engine that was sent the prefix has it as well and need not fetch it
// again, until it restarts.
BOOST_AUTO_TEST_CASE(EngineThatWasSentThePrefixHoldsIt) {
  HearLoad(kA, 8ms);
  BOOST_REQUIRE(FirstOffer(5'000) == kB);
  Reply(kB, LastOfferTo(kB), common::OfferDecision::kStart);
  HearLoad(kA, 1ms);
  BOOST_CHECK(FirstOffer(5'000) == kB);
  HearLoad(kB, 0ms, 15'000, 2);
  BOOST_CHECK(FirstOffer(5'000) == kA);
}

// The knowledge of an engine's cache must not outlive what it keeps.
BOOST_AUTO_TEST_CASE(HolderIsForgottenWithTime) {
  HearLoad(kA, 8ms);
  BOOST_REQUIRE(FirstOffer(5'000) == kB);
  Reply(kB, LastOfferTo(kB), common::OfferDecision::kStart);
  clock.Advance(state.holders.options.lifetime + 1ms);
  HearLoad(kA, 1ms);
  HearLoad(kB, 0ms);
  BOOST_CHECK(FirstOffer(5'000) == kA);
}

// Nothing can be fetched from a crashed engine. The prefix must stay where it
// was sent since, instead of being processed again by each next engine.
BOOST_AUTO_TEST_CASE(PrefixOfASilentEngineStaysAtItsHolder) {
  const common::UpstreamName silent("silent");
  HearLoad(kA, 200ms);
  BOOST_REQUIRE(FirstOffer(5'000, silent) == kB);
  BOOST_CHECK_EQUAL(ActionsOf<SendOffer>()[0].fetchable_tokens, 0);
  Reply(kB, LastOfferTo(kB), common::OfferDecision::kStart);
  BOOST_CHECK(ActionsOf<StartAt>()[0].cache_source.empty());
  HearLoad(kA, 0ms);
  HearLoad(kB, 5ms);
  BOOST_CHECK(FirstOffer(5'000, silent) == kB);
  // The holder is worth fetching from if it is busy for longer.
  HearLoad(kB, 50ms);
  BOOST_CHECK(FirstOffer(5'000, silent) == kA);
  Reply(kA, LastOfferTo(kA), common::OfferDecision::kStart);
  BOOST_CHECK(ActionsOf<StartAt>()[0].cache_source == kB);
}

// A gateway that never heard a prefill time, or only absurd ones, must still
// place requests.
BOOST_AUTO_TEST_CASE(AbsurdReportsAreIgnored) {
  HearLoad(kB, 300ms);
  for (const double it : {std::numeric_limits<double>::quiet_NaN(),
                          std::numeric_limits<double>::infinity(), -1.0}) {
    HearLoad(kA, 0ms, it);
    HearLoad(kB, 0ms, it);
    BOOST_CHECK(state.schedulers.at(kB).expected_wait == 300ms);
    BOOST_CHECK(state.schedulers.at(kA).ns_per_token == 15'000);
  }
  HearLoad(kB, -1h);
  HearLoad(kB, 100h);
  BOOST_CHECK(state.schedulers.at(kB).expected_wait == 300ms);
  BOOST_CHECK_EQUAL(state.schedulers.at(kB).ignored_reports, 5);
  BOOST_CHECK(FirstOffer(5'000) == kA);
}

// A lost or late report may cost time, but the request must start or be
// refused, and at one engine only.
BOOST_AUTO_TEST_CASE(LostReportsOnlyCostTime) {
  test::CheckProperty("every search ends with one outcome", [] {
    WeighedFixture it;
    const int shared = *rc::gen::inRange(0, 10'000);
    const auto waits =
        *rc::gen::container<std::vector<int>>(30, rc::gen::inRange(0, 1'000));
    const auto lost =
        *rc::gen::container<std::vector<bool>>(60, rc::gen::arbitrary<bool>());
    it.FirstOffer(shared);
    // Each engine starts the request after the time that it really takes,
    // whatever its last report said. Some offers, replies and reports are lost.
    const std::array engines = {kA, kB, kC};
    std::size_t outcomes = 0;
    for (std::size_t step = 0; step < 60 && outcomes == 0; ++step) {
      const auto& name = engines.at(step % 3);
      if (step < waits.size() && !lost[step]) {
        it.HearLoad(name, std::chrono::milliseconds(waits[step]));
      }
      const auto number = it.LastOfferTo(name);
      if (number != 0 && !lost[59 - step]) {
        it.Reply(name, number,
                 step < 6 ? common::OfferDecision::kQueued
                          : common::OfferDecision::kStart,
                 std::chrono::milliseconds(step < 6 ? 100 : 0));
      }
      it.Tick(15ms);
      outcomes = it.ActionsOf<StartAt>().size() +
                 it.ActionsOf<SearchRejected>().size() +
                 it.ActionsOf<NoReachableScheduler>().size();
    }
    for (int i = 0; i < 300 && outcomes == 0; ++i) {
      it.Tick(15ms);
      outcomes = it.ActionsOf<StartAt>().size() +
                 it.ActionsOf<SearchRejected>().size() +
                 it.ActionsOf<NoReachableScheduler>().size();
    }
    RC_ASSERT(outcomes == 1U);
    RC_ASSERT(it.state.offers.empty());
    RC_ASSERT(it.state.searches.empty());
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::balancing
