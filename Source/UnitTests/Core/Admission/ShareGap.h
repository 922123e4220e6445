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

inline std::function<int(std::mt19937&)> Tokens(int n) {
  return [n](std::mt19937&) { return n; };
}

inline std::function<int(std::mt19937&)> Either(int low, int high) {
  return [=](std::mt19937& random) { return random() % 2 == 0 ? low : high; };
}

// The first requests are given slots before all tenants are known to wait and
// before any cost is known; they have ended after this time.
inline constexpr common::Duration kStartUp = seconds(120);

// Largest gap in weighted service since the call between any two tenants that
// are backlogged throughout, as a share of the required bound.
inline double WorstGap(FleetModel& fleet, common::Duration period) {
  std::map<std::string, double> before;
  for (const Tenant& it : fleet.tenants) {
    before[it.name] = fleet.Weighted(it.name);
  }
  double worst = 0;
  fleet.For(period, [&] {
    double low = std::numeric_limits<double>::infinity();
    double high = -low;
    for (const Tenant& it : fleet.tenants) {
      if (!it.backlogged) continue;
      const double gained = fleet.Weighted(it.name) - before[it.name];
      low = std::min(low, gained);
      high = std::max(high, gained);
    }
    worst = std::max(worst, high - low);
  });
  BOOST_TEST_MESSAGE("gap " << worst << " bound " << fleet.Bound()
                            << " utilisation " << fleet.Utilisation());
  return worst / fleet.Bound();
}

inline std::vector<Tenant> UnevenTenants() {
  return {{.name = "chat",
           .tokens = Tokens(40),
           .routers = {0, 1, 2},
           .arrivals = 10},
          {.name = "brief", .tokens = Tokens(1500), .routers = {0}},
          {.name = "mixed", .tokens = Either(10, 900), .routers = {2}},
          {.name = "steady", .tokens = Tokens(200), .routers = {1, 2}}};
}

}  // namespace shallotbeam::admission

#endif  // SHALLOTBEAM_UNITTESTS_CORE_ADMISSION_SHAREGAP_H_
