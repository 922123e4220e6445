#include <boost/test/unit_test.hpp>

#include "Balancing/PlacementSearch.h"
#include "Common/Clock.h"

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

}  // namespace shallotbeam::balancing
