#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "Balancing/PlacementSearch.h"

// Load: long prompts whose reserved engine is full, while engines of the other
// group have room.
namespace shallotbeam::balancing {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

const common::UpstreamName kReserved("reserved");
const common::UpstreamName kFast("fast");
const common::UpstreamName kSlow("slow");
const common::UpstreamName kBusy("busy");

struct Fixture {
  common::ManualClock clock;
  PlacementState state;
  SearchActions actions;

  Fixture() {
    clock.Advance(1h);
    Hear(kReserved, 0ms, 4);
    Hear(kFast, 0ms, 4, 10'000);
    Hear(kSlow, 0ms, 4);
    Hear(kBusy, 0ms, state.options.max_stalled_requests + 1, 20'000);
  }

  void Hear(const common::UpstreamName& upstream, common::Duration wait,
            int running, double ns_per_token = 25'000) {
    OnSchedulerLoad(state, clock.Now(), upstream,
                    static_cast<common::Incarnation>(1),
                    {.expected_wait = wait,
                     .ns_per_token = ns_per_token,
                     .running = running},
                    &actions);
  }
  void Begin(bool within_share = true) {
    BeginSearch(
        state, clock.Now(),
        {.id = SearchId{1},
         .prompt = {.prompt_tokens = 12'000},
         .within_share = within_share,
         .target = clock.Now() + 1s,
         .first_event_deadline = clock.Now() + 4s,
         .candidates = {kReserved},
         .overflow = {.if_late = {kFast}, .if_declined = {kBusy, kSlow}}},
        &actions);
  }
  // Answers the newest offer to an upstream.
  void Reply(const common::UpstreamName& upstream,
             common::OfferDecision decision, common::Duration wait = 0ms) {
    OfferNumber number = 0;
    for (const auto& it : actions) {
      const auto* offer = std::get_if<SendOffer>(&it);
      if (offer != nullptr && offer->upstream == upstream) {
        number = offer->number;
      }
    }
    OnReply(state, clock.Now(), upstream, number,
            {.decision = decision, .wait = wait}, &actions);
  }
  // Engines that were asked, in order.
  std::vector<std::string> Asked() const {
    std::vector<std::string> names;
    for (const auto& it : actions) {
      const auto* offer = std::get_if<SendOffer>(&it);
      if (offer != nullptr) names.push_back(offer->upstream.value);
    }
    return names;
  }
  int Rejections() const {
    int n = 0;
    for (const auto& it : actions) {
      if (std::holds_alternative<SearchRejected>(it)) ++n;
    }
    return n;
  }
};

using Names = std::vector<std::string>;

}  // namespace

BOOST_FIXTURE_TEST_SUITE(OverflowTest, Fixture)

// Guards against a long prompt that is refused while an engine of the other
// group has room, and against one that is asked where it stalls many streams.
BOOST_AUTO_TEST_CASE(EveryGroupIsAskedBeforeARefusal) {
  Begin();
  Reply(kReserved, common::OfferDecision::kDeclined, 3s);
  BOOST_CHECK(Asked() == Names({"reserved", "fast"}));
  Reply(kFast, common::OfferDecision::kDeclined, 2s);
  BOOST_CHECK(Asked() == Names({"reserved", "fast", "slow"}));
  BOOST_CHECK_EQUAL(Rejections(), 0);
  Reply(kSlow, common::OfferDecision::kDeclined, 2s);
  BOOST_CHECK_EQUAL(Rejections(), 1);
  BOOST_CHECK(state.searches.empty());
}

// Guards against prompts that leave their engines although these start them on
// time, and against long prompts on engines that they disturb for the sake of
// time alone.
BOOST_AUTO_TEST_CASE(OnlyALatePromptLeavesItsEngines) {
  Begin();
  Reply(kReserved, common::OfferDecision::kQueued, 900ms);
  BOOST_CHECK(Asked() == Names({"reserved"}));
  Reply(kReserved, common::OfferDecision::kQueued, 1'100ms);
  BOOST_CHECK(Asked() == Names({"reserved", "fast"}));
  Reply(kFast, common::OfferDecision::kDeclined, 2s);
  BOOST_CHECK(Asked() == Names({"reserved", "fast"}));
}

// Guards against requests beyond their workspace's share that take room from
// other requests.
BOOST_AUTO_TEST_CASE(OverShareRequestStaysInItsGroup) {
  Begin(/*within_share=*/false);
  Reply(kReserved, common::OfferDecision::kDeclined, 3s);
  BOOST_CHECK(Asked() == Names({"reserved"}));
  BOOST_CHECK_EQUAL(Rejections(), 1);
}

// Guards against an offer to an engine that has left, and against a search that
// hangs when no engine is left.
BOOST_AUTO_TEST_CASE(EnginesThatLeftAreNotAsked) {
  Begin();
  for (const auto& it : {kFast, kSlow, kBusy}) {
    OnUpstreamLeaving(state, clock.Now(), it, &actions);
    Hear(it, 0ms, 0);
  }
  Reply(kReserved, common::OfferDecision::kDeclined, 3s);
  BOOST_CHECK(Asked() == Names({"reserved"}));
  BOOST_CHECK_EQUAL(Rejections(), 1);
}

// Guards against a second start of a request that two groups were offered.
BOOST_AUTO_TEST_CASE(SecondStartIsWithdrawn) {
  Begin();
  Reply(kReserved, common::OfferDecision::kQueued, 2s);
  Reply(kFast, common::OfferDecision::kStart);
  Reply(kReserved, common::OfferDecision::kStart);
  int starts = 0;
  int withdrawn = 0;
  for (const auto& it : actions) {
    if (std::holds_alternative<StartAt>(it)) ++starts;
    const auto* action = std::get_if<WithdrawOffer>(&it);
    if (action != nullptr && action->upstream == kReserved) ++withdrawn;
  }
  BOOST_CHECK_EQUAL(starts, 1);
  BOOST_CHECK_GT(withdrawn, 0);
  BOOST_CHECK(state.offers.empty());
}

// Guards against a prompt that goes where many requests wait for it.
BOOST_AUTO_TEST_CASE(LeastTotalDelayCountsTheRequestsThatRun) {
  BOOST_CHECK(!LeastTotalDelay({}, 10'000));
  BOOST_CHECK_EQUAL(LeastTotalDelay({{.ns_per_token = 10'000, .running = 9},
                                     {.ns_per_token = 25'000, .running = 2}},
                                    10'000)
                        .value(),
                    1);
  BOOST_CHECK_EQUAL(LeastTotalDelay({{.wait = 500ms, .ns_per_token = 10'000},
                                     {.ns_per_token = 25'000}},
                                    10'000)
                        .value(),
                    1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::balancing
