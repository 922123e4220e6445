#include <boost/test/unit_test.hpp>
#include <cmath>
#include <string>

#include "Balancing/ServiceAccounting.h"
#include "Common/Clock.h"

namespace shallotbeam::balancing {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr auto kScheduler = static_cast<common::Incarnation>(1);
const common::WorkspaceName kWorkspace("w");

struct Fixture {
  common::ManualClock clock;
  ServiceAccounting accounting;

  Fixture() { clock.Advance(1h); }

  void Record(const common::WorkspaceName& workspace,
              const common::ServiceCounters& counters,
              common::Incarnation scheduler = kScheduler) {
    RecordCounters(accounting, clock.Now(), scheduler, workspace, counters);
  }
  void RecordServed(double tokens) { Record(kWorkspace, {.served = tokens}); }
  double Served() const {
    return RecentTokens(accounting, clock.Now(), kWorkspace).served;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ServiceAccountingTest, Fixture)

// The first counter value that a gateway receives covers all service since the
// scheduler started; it must not count as recent service.
BOOST_AUTO_TEST_CASE(FirstCounterIsNotRecentService) {
  RecordServed(5'000'000);
  BOOST_CHECK_EQUAL(Served(), 0);
  RecordServed(5'000'400);
  BOOST_CHECK_CLOSE(Served(), 400, 0.01);
}

// A workspace must not be limited because of service that it received long ago.
BOOST_AUTO_TEST_CASE(ServiceDecays) {
  RecordServed(0);
  RecordServed(1'000);
  clock.Advance(5 * accounting.options.time_constant);
  BOOST_CHECK_LE(Served(), 10);
}

// Messages that arrive out of order must not count service twice.
BOOST_AUTO_TEST_CASE(OlderCounterAddsNothing) {
  for (const double tokens : {0.0, 1'000.0, 600.0, 1'000.0}) {
    RecordServed(tokens);
  }
  BOOST_CHECK_CLOSE(Served(), 1'000, 0.01);
}

// One workspace requests eight times its fair share, through all gateways; the
// others request less than theirs. The shares must account for the counters of
// all schedulers, and the small workspace must not be limited.
BOOST_AUTO_TEST_CASE(HotWorkspaceIsLimitedToUnusedCapacity) {
  constexpr double kRate = 1'000;  // tokens a second
  const common::WorkspaceName hot("hot");
  const common::WorkspaceName small("small");
  double requested = 0;
  for (int i = 0; i < 100; ++i) {
    for (const int scheduler : {1, 2}) {
      const auto incarnation = static_cast<common::Incarnation>(scheduler);
      Record(hot, {.requested = 8 * requested / 2}, incarnation);
      Record(small, {.requested = requested / 5 / 2}, incarnation);
    }
    clock.Advance(500ms);
    requested += kRate / 2;
  }
  const double share = FairShare(accounting, clock.Now(), kRate);
  BOOST_CHECK_EQUAL(FractionWithinShare(accounting, clock.Now(), small, share),
                    1);
  // The small workspace leaves 0.8 of the rate, a tenth of what the hot one
  // requests.
  BOOST_CHECK_CLOSE(FractionWithinShare(accounting, clock.Now(), hot, share),
                    0.1, 10);
}

// Two workspaces flood the fleet, one more than the other. Service beyond the
// fair shares must not all go to the larger flood.
BOOST_AUTO_TEST_CASE(SmallerFloodIsUnderserved) {
  const common::WorkspaceName large("large");
  const common::WorkspaceName small("small");
  for (const double served : {0.0, 100'000.0}) {
    Record(large, {.served = served});
    Record(small, {.served = served / 3});
  }
  const double max_served = MaxRecentService(accounting, clock.Now());
  BOOST_CHECK_EQUAL(max_served, 100'000);
  BOOST_CHECK(IsUnderserved(accounting, clock.Now(), small, max_served));
  BOOST_CHECK(!IsUnderserved(accounting, clock.Now(), large, max_served));
  Record(small, {.served = 90'000});
  BOOST_CHECK(!IsUnderserved(accounting, clock.Now(), small, max_served));
}

// No workspace must count as underserved before any was served.
BOOST_AUTO_TEST_CASE(NobodyIsUnderservedAtTheStart) {
  BOOST_CHECK(!IsUnderserved(accounting, clock.Now(), kWorkspace,
                             MaxRecentService(accounting, clock.Now())));
}

// No request must count as beyond a fair share while the fleet can serve all
// demand, or while its service rate is unknown.
BOOST_AUTO_TEST_CASE(AllIsWithinSharesWhileDemandFits) {
  Record(kWorkspace, {});
  Record(kWorkspace, {.requested = 3'000});
  for (const double rate : {1'000.0, HUGE_VAL}) {
    const double share = FairShare(accounting, clock.Now(), rate);
    BOOST_CHECK_EQUAL(
        FractionWithinShare(accounting, clock.Now(), kWorkspace, share), 1);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::balancing
