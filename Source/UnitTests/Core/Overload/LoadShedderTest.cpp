#include <boost/test/unit_test.hpp>
#include <random>

#include "Common/Clock.h"
#include "Overload/LoadShedder.h"

namespace shallotbeam::overload {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

const common::WorkspaceName kHot("hot");
const common::WorkspaceName kSmall("small");

// Simulates a gateway that handles `capacity` requests per second. Its ticks
// are late by the backlog of work.
struct SimulatedGateway {
  LoadShedder shedder;
  common::ManualClock clock;
  std::mt19937 random{1};
  double capacity = 400;
  double backlog = 0;  // in seconds of work
  int hot_passed = 0;
  int small_passed = 0;
  int small_arrived = 0;

  // Sends requests of both workspaces at the given rates, in requests per
  // second, for `time`.
  void Run(common::Duration time, double hot_rate, double small_rate) {
    hot_passed = small_passed = small_arrived = 0;
    constexpr auto kTick = 20ms;
    const double seconds = std::chrono::duration<double>(kTick).count();
    std::uniform_real_distribution<double> uniform(0, 1);
    std::poisson_distribution<int> hot(hot_rate * seconds);
    std::poisson_distribution<int> small(small_rate * seconds);
    for (common::Duration t{0}; t < time; t += kTick) {
      int work = 0;
      for (int i = hot(random); i > 0; --i) {
        if (ShouldShed(shedder, kHot, 1, uniform(random))) continue;
        ++hot_passed;
        ++work;
      }
      for (int i = small(random); i > 0; --i) {
        ++small_arrived;
        if (ShouldShed(shedder, kSmall, 1, uniform(random))) continue;
        ++small_passed;
        ++work;
      }
      // Work that is not finished by the next tick delays that tick and the
      // following ones.
      backlog = std::max(backlog + work / capacity - seconds, 0.0);
      clock.Advance(kTick);
      OnTick(shedder, clock.Now(),
             std::chrono::duration_cast<common::Duration>(
                 std::chrono::duration<double>(backlog)));
    }
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(LoadShedderTest, SimulatedGateway)

// No request must be rejected while the gateway has time to handle it.
BOOST_AUTO_TEST_CASE(NothingIsShedBelowCapacity) {
  Run(20s, 240, 40);
  BOOST_CHECK_EQUAL(small_passed, small_arrived);
  BOOST_CHECK_GE(hot_passed, 240 * 20 * 0.9);
  BOOST_CHECK(!shedder.overloaded);
}

// One workspace sends six times the load that the gateway can handle, like the
// heaviest workspace at the smallest entry host of the test deployment
// hlasnik-prod-grown. Other workspaces must not lose requests, and the capacity
// must still be used.
BOOST_AUTO_TEST_CASE(OnlyTheHeaviestWorkspaceIsLimited) {
  Run(5s, 2400, 40);
  Run(20s, 2400, 40);
  BOOST_CHECK_GE(small_passed, small_arrived * 0.95);
  BOOST_CHECK_GE(hot_passed, 360 * 20 * 0.6);
  BOOST_CHECK_LE(hot_passed, 360 * 20 * 1.25);
  BOOST_CHECK(shedder.overloaded);
}

// The host was suspended for some seconds. The gateway must not mistake the
// suspension for overload and reject callers after it.
BOOST_AUTO_TEST_CASE(SuspensionIsNoOverload) {
  Run(5s, 240, 40);
  clock.Advance(5s);
  OnTick(shedder, clock.Now(), 5s);
  BOOST_CHECK(!shedder.overloaded);
  Run(5s, 240, 40);
  BOOST_CHECK(!shedder.overloaded);
  BOOST_CHECK_EQUAL(small_passed, small_arrived);
}

// A gateway must stop shedding after the load has dropped.
BOOST_AUTO_TEST_CASE(RecoversAfterTheFlood) {
  Run(10s, 2400, 40);
  Run(8s, 80, 40);
  Run(5s, 80, 40);
  BOOST_CHECK(!shedder.overloaded);
  BOOST_CHECK_EQUAL(small_passed, small_arrived);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::overload
