#ifndef SHALLOTBEAM_BENCHMARKS_CAPACITY_DOCUMENT_H_
#define SHALLOTBEAM_BENCHMARKS_CAPACITY_DOCUMENT_H_

#include <string>

#include "Common/Clock.h"
#include "Common/Types.h"
#include "FleetSimulation.h"

// The configuration of the simulated fleet.
namespace shallotbeam::benchmarks::capacity {

// Slots per agent. The pool's minimum and maximum are the same, so the limit
// does not adapt.
inline constexpr int kSlots = 16;

common::PoolName Pool();
common::WorkspaceName Workspace(int n);
common::KindName Kind();

// Returns the configuration document after `changes` changes. Each change
// alters the weight of every workspace.
std::string FormatDocument(const FleetSize& size, int changes);

// Time between events that occur `per_hour` times an hour. `per_hour` must be
// above 0.
common::Duration IntervalBetween(double per_hour);

}  // namespace shallotbeam::benchmarks::capacity

#endif  // SHALLOTBEAM_BENCHMARKS_CAPACITY_DOCUMENT_H_
