#include <boost/test/unit_test.hpp>
#include <string>

#include "Common/Clock.h"
#include "Scheduling/EngineScheduler.h"

namespace shallotbeam::scheduling {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

// A scheduler of an engine with one slot, from which a request ends every 100
// ms.
struct Fixture {
  Fixture() {
    clock.Advance(1h);
    SetCapacity(scheduler, {.slots = 1});
    scheduler.end_interval = 100ms;
  }

  // Returns the decision on an offer whose request has one token.
  common::OfferDecision Send(std::uint64_t number, common::Duration target,
                             common::Duration time_to_deadline) {
    replies.clear();
    OnOffer(scheduler, clock.Now(),
            {.id = {.number = number},
             .prompt = {.model = "m",
                        .prompt_tokens = 1,
                        .parts = {{.id = number, .tokens = 1}}},
             .within_share = true,
             .time_to_target = target,
             .time_to_deadline = time_to_deadline},
            &replies);
    for (const OfferReply& it : replies) {
      if (it.id.number == number) return it.decision;
    }
    BOOST_FAIL("no reply");
    return {};
  }

  common::ManualClock clock;
  EngineScheduler scheduler;
  Replies replies;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(DeclinedOffersTest, Fixture)

// Guards against a request that is declined although it could start in time:
// its expected wait was taken from a list from which another one was being
// removed.
BOOST_AUTO_TEST_CASE(DeclinedRequestDoesNotLengthenOtherWaits) {
  const common::Duration first_event = BaseLatency(scheduler.prefill_rate) +
                                       PrefillTime(scheduler.prefill_rate, 1);
  // Enough for one other request to start before.
  const common::Duration short_time = first_event + 250ms;
  BOOST_CHECK(Send(1, 2s, 10s) == common::OfferDecision::kStart);
  // The last in order, which is declined once two others come before it.
  BOOST_CHECK(Send(2, 30s, 9'900ms + short_time) ==
              common::OfferDecision::kQueued);
  clock.Advance(9'900ms);
  BOOST_CHECK(Send(3, 1s, 10s) == common::OfferDecision::kQueued);
  BOOST_CHECK(Send(4, 2s, short_time) == common::OfferDecision::kQueued);
  BOOST_CHECK_EQUAL(scheduler.waiting.size(), 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::scheduling
