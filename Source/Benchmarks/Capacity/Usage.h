#ifndef SHALLOTBEAM_BENCHMARKS_CAPACITY_USAGE_H_
#define SHALLOTBEAM_BENCHMARKS_CAPACITY_USAGE_H_

#include "Fairness/ShareLedger.h"
#include "World.h"

namespace shallotbeam::benchmarks::capacity {

// Processor time of this thread.
double ThreadCpuSeconds();

// What reading that clock twice costs; taken off each measured piece.
double ClockCost();

// Records the size of a ledger.
void CountEntries(const fairness::ShareLedger& ledger, Usage* usage);

}  // namespace shallotbeam::benchmarks::capacity

#endif  // SHALLOTBEAM_BENCHMARKS_CAPACITY_USAGE_H_
