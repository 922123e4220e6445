#include <boost/test/unit_test.hpp>
#include <random>

#include "Common/Clock.h"
#include "Overload/LoadShedder.h"

namespace shallotbeam::overload {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

const common::WorkspaceName kHot("hot");
const common::WorkspaceName kSmall("small");

// A gateway that carries `capacity` requests a second and is late by the excess
// of a tick's work.
struct WeakGateway {
  LoadShedder shedder;
  common::ManualClock clock;
  std::mt19937 random{1};
  double capacity = 400;
  double backlog = 0;  // seconds of work
  int hot_passed = 0;
  int small_passed = 0;
  int small_arrived = 0;

  // Offers both workspaces at the given rates (requests a second) for a while.
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
      // Work that is not done by the next tick delays it and those after it.
      backlog = std::max(backlog + work / capacity - seconds, 0.0);
      clock.Advance(kTick);
      OnTick(shedder, clock.Now(),
             std::chrono::duration_cast<common::Duration>(
                 std::chrono::duration<double>(backlog)));
    }
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(LoadShedderTest, WeakGateway)

// Guards against requests that are turned away while there is time for them.
BOOST_AUTO_TEST_CASE(NothingIsShedBelowCapacity) {
  Run(20s, 240, 40);
  BOOST_CHECK_EQUAL(small_passed, small_arrived);
  BOOST_CHECK_GE(hot_passed, 240 * 20 * 0.9);
  BOOST_CHECK(!shedder.overloaded);
}

// Pattern: one workspace sends six times what the gateway carries (the hot
// workspace behind the smallest entry host of hlasnik-prod-grown). Guards
// against other workspaces that lose requests, and against capacity that is
// given away.
BOOST_AUTO_TEST_CASE(OnlyTheHeaviestWorkspaceIsCut) {
  Run(5s, 2400, 40);
  Run(20s, 2400, 40);
  BOOST_CHECK_GE(small_passed, small_arrived * 0.95);
  BOOST_CHECK_GE(hot_passed, 360 * 20 * 0.6);
  BOOST_CHECK_LE(hot_passed, 360 * 20 * 1.25);
  BOOST_CHECK(shedder.overloaded);
}

// Pattern: the host was suspended for some seconds. Guards against a gateway
// that takes the suspension for load and shuts callers out after it.
BOOST_AUTO_TEST_CASE(SuspensionIsNoOverload) {
  Run(5s, 240, 40);
  clock.Advance(5s);
  OnTick(shedder, clock.Now(), 5s);
  BOOST_CHECK(!shedder.overloaded);
  Run(5s, 240, 40);
  BOOST_CHECK(!shedder.overloaded);
  BOOST_CHECK_EQUAL(small_passed, small_arrived);
}

// Guards against a gateway that goes on shedding after the load has gone.
BOOST_AUTO_TEST_CASE(RecoversAfterTheFlood) {
  Run(10s, 2400, 40);
  Run(8s, 80, 40);
  Run(5s, 80, 40);
  BOOST_CHECK(!shedder.overloaded);
  BOOST_CHECK_EQUAL(small_passed, small_arrived);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::overload
