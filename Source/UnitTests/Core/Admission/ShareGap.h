#ifndef SHALLOTBEAM_UNITTESTS_CORE_ADMISSION_SHAREGAP_H_
#define SHALLOTBEAM_UNITTESTS_CORE_ADMISSION_SHAREGAP_H_

#include <algorithm>
#include <limits>
#include <map>
#include <string>
#include <vector>

#include "FleetModel.h"
#include "Property.h"

namespace shallotbeam::admission {

inline std::function<int(std::mt19937&)> FixedTokens(int n) {
  return [n](std::mt19937&) { return n; };
}

inline std::function<int(std::mt19937&)> EitherTokens(int low, int high) {
  return [=](std::mt19937& random) { return random() % 2 == 0 ? low : high; };
}

// The first requests get slots before the demand of all workspaces and any cost
// are known. They have ended after this time.
inline constexpr common::Duration kWarmUp = seconds(120);

// Returns the largest gap in weighted service, measured from the call on,
// between any two workspaces that are backlogged throughout `period`, as a
// fraction of the required bound.
inline double WorstGapRatio(FleetModel& fleet, common::Duration period) {
  std::map<std::string, double> before;
  for (const ModelWorkspace& it : fleet.model_workspaces) {
    before[it.name] = fleet.WeightedService(it.name);
  }
  double worst = 0;
  fleet.RunFor(period, [&] {
    double low = std::numeric_limits<double>::infinity();
    double high = -low;
    for (const ModelWorkspace& it : fleet.model_workspaces) {
      if (!it.backlogged) continue;
      const double gained = fleet.WeightedService(it.name) - before[it.name];
      low = std::min(low, gained);
      high = std::max(high, gained);
    }
    worst = std::max(worst, high - low);
  });
  BOOST_TEST_MESSAGE("gap " << worst << " bound " << fleet.Bound()
                            << " utilisation " << fleet.Utilisation());
  return worst / fleet.Bound();
}

inline std::vector<ModelWorkspace> UnevenWorkspaces() {
  return {{.name = "chat",
           .tokens = FixedTokens(40),
           .routers = {0, 1, 2},
           .arrivals = 10},
          {.name = "brief", .tokens = FixedTokens(1500), .routers = {0}},
          {.name = "mixed", .tokens = EitherTokens(10, 900), .routers = {2}},
          {.name = "steady", .tokens = FixedTokens(200), .routers = {1, 2}}};
}

}  // namespace shallotbeam::admission

#endif  // SHALLOTBEAM_UNITTESTS_CORE_ADMISSION_SHAREGAP_H_
