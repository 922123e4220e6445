#include <boost/test/unit_test.hpp>

#include "PlatformClients/ChangeTiming.h"
#include "Property.h"

namespace shallotbeam::platform_clients {

namespace {

using std::chrono::milliseconds;

}  // namespace

BOOST_AUTO_TEST_SUITE(ChangeTimingTest)

// Guards against steps whose sum exceeds the time within which a change must
// take effect: the delay of a relay, a poll of it that is never answered, and
// the call to the store that follows.
BOOST_AUTO_TEST_CASE(LostPollsFitIntoTheLimit) {
  test::CheckProperty("lost polls fit into the limit", [] {
    const milliseconds limit(*rc::gen::inRange(2'000, 20'000));
    const ChangeTiming timing = TimingFor(limit);
    constexpr milliseconds kCall{100};
    RC_ASSERT(timing.relay_max_change_delay + timing.relayed_poll_wait +
                  timing.relay_response_timeout + kCall <
              limit);
    // A relay whose copy is too old refuses, and the store is asked instead.
    RC_ASSERT(timing.relay_max_age + kCall < limit);
    // A copy that was passed on ages for one more wait.
    RC_ASSERT(timing.relay_poll_wait + timing.relayed_poll_wait + kCall <
              limit);
    RC_ASSERT(timing.relay_poll_wait + kCall < timing.relay_max_age);
    // The delay and the wait of a poll of the store add up to `poll_wait`.
    constexpr milliseconds kStoreTimeout{700};
    RC_ASSERT(timing.poll_wait + kStoreTimeout + kCall < limit);
    RC_ASSERT(timing.relay_poll_wait >= timing.relay_max_change_delay);
    // Credentials are refused by a copy that is older.
    constexpr milliseconds kMaxAge{3'900};
    RC_ASSERT(timing.poll_wait + kCall < kMaxAge);
    RC_ASSERT(timing.relay_max_age + timing.relayed_poll_wait + kCall <
              kMaxAge);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::platform_clients
