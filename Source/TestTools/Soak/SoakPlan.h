#ifndef SHALLOTBEAM_TESTTOOLS_SOAK_SOAKPLAN_H_
#define SHALLOTBEAM_TESTTOOLS_SOAK_SOAKPLAN_H_

#include <cstdint>

#include "Common/Clock.h"
#include "Fakes/Scenario.h"

// Random schedules of load and faults for a fleet of real processes.
namespace shallotbeam::soak {

struct SoakOptions {
  std::uint64_t seed = 1;  // equal seeds give equal schedules
  // Period in which faults begin. Each fault ends at most 2 s after it began.
  common::Duration fault_period = std::chrono::seconds(5);
  // Maximum number of successive faults of one process. Faults of different
  // processes may overlap.
  int max_faults_in_series = 3;
};

// Returns a random scenario. Its load consists of four types of calls (plain
// calls, streams, orders with a key, orders with a ticket) through randomly
// chosen routers. Its faults are series of kills, shutdowns, freezes, store
// outages and upstream faults. After the last fault all processes are running
// again; they must become ready, agree on the configuration and complete one
// call of each workspace through each router. Finally the agents must exit on
// SIGTERM.
fakes::Scenario MakeSoakScenario(const SoakOptions& options);

}  // namespace shallotbeam::soak

#endif  // SHALLOTBEAM_TESTTOOLS_SOAK_SOAKPLAN_H_
