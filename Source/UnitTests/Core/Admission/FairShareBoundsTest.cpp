#include "ShareGap.h"

namespace shallotbeam::admission {

// The bound of design 4.2 where it is not met yet; see KNOWN-RED.txt.
BOOST_AUTO_TEST_SUITE(FairShareBoundsTest)

// Guards against a gap beyond the bound while no cost is known.
BOOST_AUTO_TEST_CASE(GapFromTheStart) {
  FleetModel fleet({}, UnevenTenants());
  BOOST_CHECK_LE(WorstGap(fleet, seconds(60)), 1);
}

// Guards against a gap beyond the bound with costs that are known only at the
// end of a request, with requests cancelled half-way, and with weights.
BOOST_AUTO_TEST_CASE(GapStaysWithinTheBoundWithoutStreams) {
  std::vector<Tenant> tenants = UnevenTenants();
  tenants[3].weight = 3;
  FleetModel fleet({.streamed = false, .cancelled_every = 5}, tenants);
  fleet.For(kStartUp);
  BOOST_CHECK_LE(WorstGap(fleet, std::chrono::minutes(5)), 1);
}

// Guards against bounds that hold only for the scripted mix.
BOOST_AUTO_TEST_CASE(GapStaysWithinTheBoundForAnyMix) {
  test::CheckProperty("gap within the bound", [] {
    std::vector<Tenant> tenants;
    const int n = *rc::gen::inRange(2, 7);
    for (int i = 0; i < n; ++i) {
      const int low = *rc::gen::inRange(5, 300);
      const int high = *rc::gen::inRange(5, 1200);
      tenants.push_back(
          {.name = std::string(1, static_cast<char>('a' + i)),
           .tokens = Either(low, high),
           .routers = {*rc::gen::inRange(0, 3)},
           .weight = static_cast<double>(*rc::gen::inRange(1, 4))});
    }
    FleetModel fleet({.agents = *rc::gen::inRange(1, 5),
                      .slots = *rc::gen::inRange(2, 10),
                      .cancelled_every = *rc::gen::inRange(0, 6)},
                     tenants);
    fleet.For(kStartUp);
    RC_ASSERT(WorstGap(fleet, seconds(60)) <= 1);
  });
}

// Guards against credit saved while idle. Without the lift on return the same
// check fails.
BOOST_AUTO_TEST_CASE(IdleWorkspaceSavesNoCredit) {
  const auto run = [](bool lift) {
    FleetOptions options;
    if (!lift) {
      options.tamper = [](AgentState& state) {
        state.options.idle_after = std::chrono::hours(24);
        state.options.debt_cap = std::chrono::hours(24);
      };
    }
    FleetModel fleet(options, UnevenTenants());
    fleet.For(kStartUp);
    fleet.tenants[0].backlogged = false;
    fleet.For(seconds(60));
    fleet.tenants[0].backlogged = true;
    return WorstGap(fleet, seconds(60));
  };
  BOOST_CHECK_LE(run(true), 1);
  BOOST_CHECK_GT(run(false), 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::admission
