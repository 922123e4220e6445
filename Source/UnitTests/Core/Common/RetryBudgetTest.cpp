#include "Common/RetryBudget.h"
#include "Property.h"

namespace shallotbeam::common {

BOOST_AUTO_TEST_SUITE(RetryBudgetTest)

// Guards against retries that multiply the load of a failing pool.
BOOST_AUTO_TEST_CASE(RetriesStayWithinRatioAndMinimum) {
  test::CheckProperty("retries <= ratio * dispatches + minimum", [] {
    const RetryOptions options;
    RetryBudget budget;
    const TimePoint start = TimePoint() + std::chrono::hours(1);
    TimePoint now = start;
    int dispatches = 0;
    int retries = 0;
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 500));
    for (const int step : steps) {
      now += std::chrono::milliseconds(step % 50 == 0 ? step : 0);
      if (step % 3 == 0) {
        RecordDispatch(budget, options);
        ++dispatches;
      } else if (TryRetry(budget, options, now)) {
        ++retries;
      }
      const std::chrono::duration<double> elapsed = now - start;
      // Up to one second's worth of the minimum accumulates if it isn't used.
      const double allowed = options.ratio * dispatches +
                             options.minimum_per_second * (elapsed.count() + 1);
      RC_ASSERT(retries <= allowed + 1e-6);
    }
  });
}

// Guards against a pool with little traffic that gets no retries at all.
BOOST_AUTO_TEST_CASE(MinimumIsGrantedWithoutDispatches) {
  const RetryOptions options;
  RetryBudget budget;
  TimePoint now = TimePoint() + std::chrono::hours(1);
  for (int second = 0; second < 3; ++second) {
    for (int i = 0; i < 3; ++i) BOOST_CHECK(TryRetry(budget, options, now));
    BOOST_CHECK(!TryRetry(budget, options, now));
    now += std::chrono::seconds(1);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::common
