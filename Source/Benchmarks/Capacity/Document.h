#ifndef SHALLOTBEAM_BENCHMARKS_CAPACITY_DOCUMENT_H_
#define SHALLOTBEAM_BENCHMARKS_CAPACITY_DOCUMENT_H_

#include <string>

#include "Common/Clock.h"
#include "Common/Types.h"
#include "World.h"

// The configuration of the measured fleet.
namespace shallotbeam::benchmarks::capacity {

inline constexpr int kSlots = 16;  // of an agent, fixed

common::PoolName Pool();
common::WorkspaceName Workspace(int n);
common::KindName Kind();

// The document after a number of changes.
std::string Document(const Size& size, int changes);

// Time between events, `per_hour` above 0.
common::Duration IntervalOf(double per_hour);

}  // namespace shallotbeam::benchmarks::capacity

#endif  // SHALLOTBEAM_BENCHMARKS_CAPACITY_DOCUMENT_H_
