#ifndef SHALLOTBEAM_CORE_OVERLOAD_LOADSHEDDER_H_
#define SHALLOTBEAM_CORE_OVERLOAD_LOADSHEDDER_H_

#include <unordered_map>

#include "Common/Clock.h"
#include "Common/Types.h"

// Load pattern: one workspace sends many times its usual through one entry host
// with little processor time, whose other callers then wait as well. The
// gateway turns away what it can't carry, of the heaviest workspaces only;
// callers come back at other entry hosts. Decisions only.
namespace shallotbeam::overload {

struct LoadShedderOptions {
  // Ticks that come later than this on average tell that the process has no
  // processor time left. An idle process is late by a millisecond or two.
  common::Duration lateness_limit = std::chrono::milliseconds(10);
  double lateness_weight = 0.15;  // of the newest tick
  // A tick counts as at most this late, so that only ticks that are late again
  // and again tell of load; one after a suspension of the host does not.
  common::Duration longest_lateness = std::chrono::milliseconds(60);
  common::Duration adjust_interval = std::chrono::milliseconds(100);
  // Multiplicative decrease and additive increase of the share that passes.
  double decrease = 0.92;
  // Instead, while ticks are later than this many limits.
  double steep_decrease = 0.7;
  double steep_limits = 4;
  double increase = 0.015;
  double least_share = 0.05;
  // A process is overloaded from the first share down until it is back at the
  // second.
  double overloaded_below = 0.6;
  double recovered_above = 0.95;
  // Arrivals fade to 1/e over this time.
  common::Duration memory = std::chrono::seconds(1);
};

struct LoadShedder {
  LoadShedderOptions options;
  common::Duration lateness{0};  // mean
  double share = 1;              // of the offered load that passes
  // New connections should go elsewhere.
  bool overloaded = false;
  common::TimePoint next_adjustment;
  common::TimePoint faded;
  std::unordered_map<common::WorkspaceName, double> arrivals;  // cost
  // Largest cost of a workspace that passes entirely.
  double level = 0;
};

// A periodic tick came `late` after its time.
void OnTick(LoadShedder& shedder, common::TimePoint now, common::Duration late);

// A request of `workspace` has arrived; `cost` is its expected processor time
// in any unit. Returns whether to turn it away; `draw` is uniform in [0, 1).
bool ShouldShed(LoadShedder& shedder, const common::WorkspaceName& workspace,
                double cost, double draw);

}  // namespace shallotbeam::overload

#endif  // SHALLOTBEAM_CORE_OVERLOAD_LOADSHEDDER_H_
