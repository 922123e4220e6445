#include <boost/test/unit_test.hpp>

#include "Balancing/StartSearch.h"
#include "Common/Clock.h"

namespace shallotbeam::balancing {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

const common::UpstreamName kA("a");
const common::UpstreamName kB("b");
const common::UpstreamName kC("c");

struct Fixture {
  common::ManualClock clock;
  StartBook book;
  SearchActions actions;

  Fixture() {
    clock.Advance(1h);
    for (const auto& it : {kA, kB, kC}) Hear(it);
  }

  void Hear(const common::UpstreamName& upstream, common::Duration wait = 0ms,
            int incarnation = 1) {
    OnSchedulerHeard(book, clock.Now(), upstream,
                     static_cast<common::Incarnation>(incarnation),
                     {.expected_wait = wait}, &actions);
  }
  void Begin() {
    BeginSearch(book, clock.Now(),
                {.id = SearchId{1}, .candidates = {kA, kB, kC}}, &actions);
  }
  // A request with 400 of its 500 tokens in shared parts, for which C is home.
  void BeginShared() {
    BeginSearch(book, clock.Now(),
                {.id = SearchId{1},
                 .prompt = {.prompt_tokens = 500,
                            .parts = {{.id = 1, .tokens = 400},
                                      {.id = 2, .tokens = 100}}},
                 .candidates = {kA, kB},
                 .home = kC},
                &actions);
  }
  void BeginSurplus() {
    BeginSearch(book, clock.Now(),
                {.id = SearchId{1},
                 .within_share = false,
                 .patience = clock.Now() + 600ms,
                 .candidates = {kA, kB, kC}},
                &actions);
  }
  void HearSurplusWait(const common::UpstreamName& upstream,
                       common::Duration wait) {
    OnSchedulerHeard(book, clock.Now(), upstream,
                     static_cast<common::Incarnation>(1),
                     {.surplus_wait = wait}, &actions);
  }
  void Reply(const common::UpstreamName& upstream, OfferNumber number,
             common::StartVerdict verdict, common::Duration wait = 0ms,
             int cached = 0) {
    OnReply(book, clock.Now(), upstream, number,
            {.verdict = verdict, .wait = wait, .cached_tokens = cached},
            &actions);
  }
  void Tick(common::Duration time) {
    clock.Advance(time);
    OnSearchTick(book, clock.Now(), &actions);
  }

  template <typename Action>
  std::vector<Action> Of() const {
    std::vector<Action> found;
    for (const SearchAction& it : actions) {
      if (const auto* action = std::get_if<Action>(&it)) {
        found.push_back(*action);
      }
    }
    return found;
  }
  // The newest offer to an upstream; 0 if there was none.
  OfferNumber OfferTo(const common::UpstreamName& upstream) const {
    OfferNumber number = 0;
    for (const MakeOffer& it : Of<MakeOffer>()) {
      if (it.upstream == upstream) number = it.number;
    }
    return number;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(StartSearchTest, Fixture)

// Guards against prompts that go past the engine that caches them.
BOOST_AUTO_TEST_CASE(FirstCandidateGetsTheOfferAndTheStart) {
  Begin();
  BOOST_REQUIRE_EQUAL(Of<MakeOffer>().size(), 1);
  Reply(kA, OfferTo(kA), common::StartVerdict::kStart);
  BOOST_REQUIRE_EQUAL(Of<StartAt>().size(), 1);
  BOOST_CHECK(Of<StartAt>()[0].upstream == kA);
  BOOST_CHECK(book.searches.empty());
  BOOST_CHECK(book.offers.empty());
}

// Pattern: a hot subject. Guards against prompts that all wait for one engine
// while its neighbour is free.
BOOST_AUTO_TEST_CASE(BusyEngineIsPassedOver) {
  Hear(kA, 800ms);
  Begin();
  BOOST_CHECK_EQUAL(OfferTo(kA), 0);
  BOOST_CHECK_NE(OfferTo(kB), 0);
}

// Guards against a subject that spreads over the fleet for a short wait, so
// that every engine reads it anew.
BOOST_AUTO_TEST_CASE(SlightlyBusyEngineKeepsItsPrompts) {
  Hear(kA, book.options.away_penalty / 2);
  Begin();
  BOOST_CHECK_NE(OfferTo(kA), 0);
}

// Guards against two engines that both start a request.
BOOST_AUTO_TEST_CASE(SecondStartIsWithdrawn) {
  Begin();
  const OfferNumber first = OfferTo(kA);
  Reply(kA, first, common::StartVerdict::kQueued, 400ms);
  const OfferNumber second = OfferTo(kB);
  BOOST_REQUIRE_NE(second, 0);
  Reply(kB, second, common::StartVerdict::kStart);
  // Crosses the withdrawal.
  Reply(kA, first, common::StartVerdict::kStart);
  BOOST_CHECK_EQUAL(Of<StartAt>().size(), 1);
  const auto withdrawn = Of<WithdrawOffer>();
  BOOST_REQUIRE(!withdrawn.empty());
  BOOST_CHECK(withdrawn.back().upstream == kA);
  BOOST_CHECK_EQUAL(withdrawn.back().number, first);
}

// Guards against a refusal before all engines that may help have been asked,
// and against a caller that is told a longer time than the shortest.
BOOST_AUTO_TEST_CASE(AllDeclinesEndTheSearchWithTheShortestWait) {
  Begin();
  Reply(kA, OfferTo(kA), common::StartVerdict::kDeclined, 900ms);
  BOOST_CHECK(Of<NoStart>().empty());
  Reply(kB, OfferTo(kB), common::StartVerdict::kDeclined, 500ms);
  BOOST_REQUIRE_EQUAL(Of<NoStart>().size(), 1);
  BOOST_CHECK(Of<NoStart>()[0].shortest_wait == 500ms);
}

// Pattern: a prompt starts away from the engine that caches its shared parts.
// Guards against parts that are read again although another engine has them.
BOOST_AUTO_TEST_CASE(SharedPartsAreFetchedFromTheirHome) {
  BeginShared();
  BOOST_CHECK_EQUAL(Of<MakeOffer>()[0].fetchable_tokens, 400);
  Reply(kA, OfferTo(kA), common::StartVerdict::kStart);
  BOOST_REQUIRE_EQUAL(Of<StartAt>().size(), 1);
  BOOST_CHECK(Of<StartAt>()[0].cache_source == kC);
}

// Guards against a fetch of what the engine has itself.
BOOST_AUTO_TEST_CASE(NothingIsFetchedForACachedPrompt) {
  BeginShared();
  Reply(kA, OfferTo(kA), common::StartVerdict::kStart, 0ms, 400);
  BOOST_REQUIRE_EQUAL(Of<StartAt>().size(), 1);
  BOOST_CHECK(Of<StartAt>()[0].cache_source.empty());
}

// Guards against a fetch from the home where another engine has more.
BOOST_AUTO_TEST_CASE(PartsAreFetchedWhereMostIsCached) {
  BeginShared();
  Reply(kA, OfferTo(kA), common::StartVerdict::kQueued, 400ms, 450);
  Reply(kB, OfferTo(kB), common::StartVerdict::kStart);
  BOOST_REQUIRE_EQUAL(Of<StartAt>().size(), 1);
  BOOST_CHECK(Of<StartAt>()[0].cache_source == kA);
}

// Pattern: a prompt starts at its home, whose cache was lost, while another
// engine has the shared parts. Guards against parts that are read again.
BOOST_AUTO_TEST_CASE(PartsAreFetchedWhereTheHomeKnowsThem) {
  BeginShared();
  OnReply(book, clock.Now(), kA, OfferTo(kA),
          {.verdict = common::StartVerdict::kStart, .cached_at = kB}, &actions);
  BOOST_REQUIRE_EQUAL(Of<StartAt>().size(), 1);
  BOOST_CHECK(Of<StartAt>()[0].home == kC);
  // The home has not replied and is taken to have as much.
  BOOST_CHECK(!Of<StartAt>()[0].cache_source.empty());
  BOOST_CHECK(Of<StartAt>()[0].cache_source != kA);
}

// Pattern: one workspace floods its gateway beyond its share. Guards against
// offers, which cost more than the refusal, while no engine has room.
BOOST_AUTO_TEST_CASE(SurplusIsRefusedWithoutAnOfferWhereThereIsNoRoom) {
  for (const auto& it : {kA, kB}) HearSurplusWait(it, 900ms);
  BeginSurplus();
  BOOST_CHECK(Of<MakeOffer>().empty());
  BOOST_REQUIRE_EQUAL(Of<NoStart>().size(), 1);
  BOOST_CHECK(!Of<NoStart>()[0].offered);
  BOOST_CHECK(Of<NoStart>()[0].shortest_wait == 900ms);
  BOOST_CHECK(book.searches.empty());
}

// Guards against a refusal while one engine has room, and of requests within
// their workspace's share.
BOOST_AUTO_TEST_CASE(RoomAtOneEngineIsUsed) {
  HearSurplusWait(kA, 900ms);
  BeginSurplus();
  BOOST_CHECK_EQUAL(Of<MakeOffer>().size(), 1);
  EndSearch(book, SearchId{1}, &actions);
  HearSurplusWait(kB, 900ms);
  Begin();
  BOOST_CHECK_EQUAL(Of<MakeOffer>().size(), 2);
}

// Pattern: a lost datagram.
BOOST_AUTO_TEST_CASE(UnansweredOfferIsRepeatedThenGoesElsewhere) {
  Begin();
  const OfferNumber first = OfferTo(kA);
  Tick(book.options.repeat_after);
  BOOST_CHECK_EQUAL(Of<MakeOffer>().size(), 2);
  BOOST_CHECK_EQUAL(OfferTo(kA), first);
  Tick(book.options.reply_timeout);
  BOOST_CHECK_NE(OfferTo(kB), 0);
  BOOST_CHECK(!IsAnswering(book, clock.Now(), kA));
}

// Pattern: the hosts of all schedulers are frozen or gone. Guards against
// requests that wait for nobody.
BOOST_AUTO_TEST_CASE(SilenceOfAllSchedulersIsReported) {
  Begin();
  for (int i = 0; i < 10; ++i) Tick(book.options.reply_timeout);
  BOOST_CHECK_EQUAL(Of<NoScheduler>().size(), 1);
  BOOST_CHECK(Of<NoStart>().empty());
  BOOST_CHECK(book.searches.empty());
}

// Pattern: a scheduler restarts and knows nothing of its queue.
BOOST_AUTO_TEST_CASE(OfferAtARestartedSchedulerIsMadeAnew) {
  Begin();
  Reply(kA, OfferTo(kA), common::StartVerdict::kQueued, 10ms);
  Hear(kA, 0ms, 2);
  BOOST_CHECK_NE(OfferTo(kB), 0);
  BOOST_CHECK_EQUAL(Of<WithdrawOffer>().size(), 1);
}

// Pattern: an engine drains. Guards against requests that stay queued there.
BOOST_AUTO_TEST_CASE(OfferAtALeavingEngineGoesElsewhere) {
  Begin();
  Reply(kA, OfferTo(kA), common::StartVerdict::kQueued, 10ms);
  OnUpstreamLeaving(book, clock.Now(), kA, &actions);
  BOOST_CHECK_NE(OfferTo(kB), 0);
  BOOST_CHECK(!IsAnswering(book, clock.Now(), kA));
}

// Guards against offers that stay queued for a caller that has left.
BOOST_AUTO_TEST_CASE(EndedSearchWithdrawsItsOffers) {
  Begin();
  Reply(kA, OfferTo(kA), common::StartVerdict::kQueued, 10ms);
  EndSearch(book, SearchId{1}, &actions);
  BOOST_CHECK_EQUAL(Of<WithdrawOffer>().size(), 1);
  BOOST_CHECK(book.offers.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::balancing
