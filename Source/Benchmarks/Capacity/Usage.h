#ifndef SHALLOTBEAM_BENCHMARKS_CAPACITY_USAGE_H_
#define SHALLOTBEAM_BENCHMARKS_CAPACITY_USAGE_H_

#include "Fairness/ShareLedger.h"
#include "FleetSimulation.h"

namespace shallotbeam::benchmarks::capacity {

// Processor time of this thread.
double ThreadCpuSeconds();

// Lowest processor time between two consecutive readings of that clock. It is
// subtracted from each measurement.
double ClockReadOverhead();

// Adds the number of rows and workspaces of a ledger to `usage`.
void CountEntries(const fairness::ShareLedger& ledger, Usage* usage);

}  // namespace shallotbeam::benchmarks::capacity

#endif  // SHALLOTBEAM_BENCHMARKS_CAPACITY_USAGE_H_
