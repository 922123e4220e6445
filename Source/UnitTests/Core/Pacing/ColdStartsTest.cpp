#include <vector>

#include "Pacing/ColdStarts.h"
#include "Property.h"

namespace shallotbeam::pacing {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr ColdLimit kLimit{.per_second = 11, .time = 3s};

}  // namespace

BOOST_AUTO_TEST_SUITE(ColdStartsTest)

// Guards against processes that disagree for good on how long an upstream is
// cold because they heard of it in another order.
BOOST_AUTO_TEST_CASE(OrderOfStatementsDoesNotMatter) {
  test::CheckProperty("periods merge in any order", [] {
    std::vector<ColdPeriod> periods(4);
    for (ColdPeriod& it : periods) {
      it.started = *rc::gen::inRange<std::uint64_t>(1, 3);
      it.until = common::TimePoint() + 1s * *rc::gen::inRange(0, 5);
    }
    ColdPeriod forwards;
    for (const ColdPeriod& it : periods) Extend(forwards, it);
    ColdPeriod backwards;
    for (auto it = periods.rbegin(); it != periods.rend(); ++it) {
      Extend(backwards, *it);
    }
    RC_ASSERT(forwards.started == backwards.started);
    RC_ASSERT(forwards.until == backwards.until);
  });
}

// Guards against a limit that outlasts the cold period, and against one where
// the configuration states none.
BOOST_AUTO_TEST_CASE(LimitHoldsWhileTheUpstreamIsCold) {
  const common::TimePoint start = common::TimePoint() + 1h;
  const ColdPeriod period{.started = 1, .until = start + 3s};
  BOOST_CHECK(ColdRate(kLimit, period, start) == 11);
  BOOST_CHECK(!ColdRate(kLimit, period, start + 3s));
  BOOST_CHECK(!ColdRate({}, period, start));
}

BOOST_AUTO_TEST_CASE(LowerOfTwoLimitsHolds) {
  BOOST_CHECK(!LowerLimit({}, {}));
  BOOST_CHECK(LowerLimit(3, {}) == 3);
  BOOST_CHECK(LowerLimit({}, 4) == 4);
  BOOST_CHECK(LowerLimit(3, 4) == 3);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::pacing
