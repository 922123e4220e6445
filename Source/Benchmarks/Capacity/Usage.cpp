#include "Usage.h"

#include <time.h>

#include <algorithm>

namespace shallotbeam::benchmarks::capacity {

double ThreadCpuSeconds() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) * 1e-9;
}

double ClockReadOverhead() {
  double lowest = 1;
  for (int i = 0; i < 1000; ++i) {
    const double start = ThreadCpuSeconds();
    lowest = std::min(lowest, ThreadCpuSeconds() - start);
  }
  return lowest;
}

void CountEntries(const fairness::ShareLedger& ledger, Usage* usage) {
  double rows = 0;
  for (const auto& [key, share] : ledger.shares) {
    rows += static_cast<double>(share.rows.size());
  }
  usage->entries["share rows"] = rows;
  usage->entries["workspaces"] = static_cast<double>(ledger.shares.size());
}

}  // namespace shallotbeam::benchmarks::capacity
