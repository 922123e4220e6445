#ifndef SHALLOTBEAM_CORE_OVERLOAD_LOADSHEDDER_H_
#define SHALLOTBEAM_CORE_OVERLOAD_LOADSHEDDER_H_

#include <unordered_map>

#include "Common/Clock.h"
#include "Common/Types.h"

// Load shedding for a gateway that runs out of processor time. One workspace
// may send many times its usual load to an entry host that has little processor
// time. All other callers of that host then wait as well. The gateway
// therefore rejects the load that it cannot handle, only from the workspaces
// with the highest load; rejected callers retry at other entry hosts. This code
// only decides; it performs no I/O.
namespace shallotbeam::overload {

struct LoadShedderOptions {
  // If periodic ticks are later than this on average, the process has no
  // processor time left. In an idle process ticks are late by a millisecond or
  // two.
  common::Duration tick_delay_limit = std::chrono::milliseconds(10);
  // Up to this mean delay of its ticks, the process is on time.
  common::Duration on_time_limit = std::chrono::milliseconds(10);
  double tick_delay_weight = 0.15;  // weight of the newest tick in the mean
  // A tick counts as at most this late, so that only repeated late ticks
  // indicate overload; a single one after a suspension of the host does not.
  common::Duration max_tick_delay = std::chrono::milliseconds(60);
  common::Duration adjust_interval = std::chrono::milliseconds(100);
  // The share of the load that is let through is adapted by multiplicative
  // decrease and additive increase.
  double decrease = 0.92;
  // Factor used instead of `decrease` while the mean tick delay is more than
  // `severe_overload_ratio` times the limit.
  double severe_decrease = 0.7;
  double severe_overload_ratio = 4;
  double increase = 0.015;
  double min_share = 0.05;
  // Hysteresis: a process becomes overloaded when the share falls below the
  // first value, and recovers when it rises above the second.
  double overloaded_below = 0.6;
  double recovered_above = 0.95;
  // Time constant: arrived cost decays to 1/e over this time.
  common::Duration time_constant = std::chrono::seconds(1);
};

// Options of a shedder whose gateway accepts connections only as its quota of
// processor time allows, and which acts where that is not enough.
LoadShedderOptions OptionsBehindController();

struct LoadShedder {
  LoadShedderOptions options;
  common::Duration tick_delay{0};  // exponential moving average
  double share = 1;                // fraction of the offered load let through
  // While set, new connections should go to other entry hosts.
  bool overloaded = false;
  common::TimePoint next_adjustment;
  common::TimePoint decayed_at;
  // Decayed cost of the arrived requests of each workspace.
  std::unordered_map<common::WorkspaceName, double> arrivals;
  // Requests of a workspace with at most this arrived cost are all let through.
  double cost_limit = 0;
};

// Handles a periodic tick that came `late` after its scheduled time.
void OnTick(LoadShedder& shedder, common::TimePoint now, common::Duration late);

// Records the arrival of a request of `workspace` and returns whether to reject
// it. `cost` is its expected processor time, in any unit that is the same for
// all requests; `draw` is a uniform random number in [0, 1).
bool ShouldShed(LoadShedder& shedder, const common::WorkspaceName& workspace,
                double cost, double draw);

}  // namespace shallotbeam::overload

#endif  // SHALLOTBEAM_CORE_OVERLOAD_LOADSHEDDER_H_
