#ifndef SHALLOTBEAM_TESTTOOLS_SOAK_SOAKPLAN_H_
#define SHALLOTBEAM_TESTTOOLS_SOAK_SOAKPLAN_H_

#include <cstdint>

#include "Common/Clock.h"
#include "Fakes/Scenario.h"

// Random schedules of load and faults for a fleet of real processes.
namespace shallotbeam::soak {

struct SoakOptions {
  std::uint64_t seed = 1;  // equal seeds give equal schedules
  // In which faults begin; each ends at most 2 s later.
  common::Duration faulty = std::chrono::seconds(5);
  // Faults of one process that follow each other, at most; those of different
  // processes overlap.
  int series = 3;
};

// Load of four sorts (plain calls, streams, orders by key, orders by ticket)
// through all routers, and series of kills, stops, freezes, outages of the
// store and faults of upstreams. After the last fault everything is started
// again, must become ready, agree on the configuration and serve one call of
// each workspace through each router.
fakes::Scenario MakeSoak(const SoakOptions& options);

}  // namespace shallotbeam::soak

#endif  // SHALLOTBEAM_TESTTOOLS_SOAK_SOAKPLAN_H_
